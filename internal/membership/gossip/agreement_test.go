package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Views agree where another's digest has been this pooler's a moment ago, or becomes it soon; they do not once one
// has differed for long; nothing heard is neither.
func TestAgreement(t *testing.T) {
	there := map[string]bool{"b": true}
	at := func(s float64) time.Duration { return epoch + time.Duration(s*float64(time.Second)) }
	a := newAgreement(10*time.Second, epoch)
	say := func(now time.Duration, own uint64) string {
		a.update(now, own, there)
		return a.verdict(now, a.peers["b"])
	}
	require.Equal(t, "?", say(at(0), 1))
	a.receive(at(1), "b", 1)
	require.Equal(t, "yes", say(at(1), 1))
	say(at(2), 2)
	a.receive(at(3), "b", 1)
	require.Equal(t, "yes", say(at(3), 2), "it was this pooler's a moment ago")
	a.receive(at(4), "b", 3)
	require.Equal(t, "?", say(at(4), 2), "it may still come to agree")
	require.Equal(t, "yes", say(at(5), 3))
	a.receive(at(6), "b", 4)
	a.receive(at(11), "b", 5) // another that differs does not begin anew
	require.Equal(t, "?", say(at(15), 3))
	require.True(t, a.agrees)
	require.Equal(t, "no", say(at(16), 3))
	require.False(t, a.agrees)
	require.Equal(t, at(16), a.since)
	a.receive(at(17), "b", 3)
	require.Equal(t, "yes", say(at(17), 3))
	require.True(t, a.agrees)
	clear(there)
	a.update(at(18), 3, there)
	require.Empty(t, a.peers)
	a.receive(at(19), "b", 9)
	require.Empty(t, a.peers, "it is not there")
	require.LessOrEqual(t, len(a.ownDigests), 3)
}
