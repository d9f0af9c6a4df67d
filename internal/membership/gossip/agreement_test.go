package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Views agree if this pooler had the other pooler's digest a moment ago, or reaches it soon. They disagree once the
// digests have differed for the whole tolerance. Before a digest has been received, the verdict is unknown.
func TestAgreementVerdict(t *testing.T) {
	present := map[string]bool{"b": true}
	at := func(seconds float64) time.Duration { return epoch + time.Duration(seconds*float64(time.Second)) }
	views := newAgreement(10*time.Second, epoch)
	verdict := func(now time.Duration, own uint64) string {
		views.update(now, own, present)
		return views.verdict(now, views.peers["b"])
	}
	require.Equal(t, "?", verdict(at(0), 1))
	views.receive(at(1), "b", 1)
	require.Equal(t, "yes", verdict(at(1), 1))
	verdict(at(2), 2)
	views.receive(at(3), "b", 1)
	require.Equal(t, "yes", verdict(at(3), 2), "it was this pooler's a moment ago")
	views.receive(at(4), "b", 3)
	require.Equal(t, "?", verdict(at(4), 2), "the views may still converge")
	require.Equal(t, "yes", verdict(at(5), 3))
	views.receive(at(6), "b", 4)
	views.receive(at(11), "b", 5) // another digest that differs does not restart the delay
	require.Equal(t, "?", verdict(at(15), 3))
	require.True(t, views.agrees)
	require.Equal(t, "no", verdict(at(16), 3))
	require.False(t, views.agrees)
	require.Equal(t, at(16), views.since)
	views.receive(at(17), "b", 3)
	require.Equal(t, "yes", verdict(at(17), 3))
	require.True(t, views.agrees)
	clear(present)
	views.update(at(18), 3, present)
	require.Empty(t, views.peers)
	views.receive(at(19), "b", 9)
	require.Empty(t, views.peers, "b is not present")
	require.LessOrEqual(t, len(views.ownDigests), 3)
}
