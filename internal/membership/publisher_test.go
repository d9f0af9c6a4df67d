package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A publisher publishes what has changed, and the rest again before it expires; it refutes its own end.
func TestPublisherRepublishesAndRefutes(t *testing.T) {
	bounds := DefaultBounds()
	a, v := NewPublisher("n", 3, bounds), NewView(bounds)
	values := map[Key][]byte{{}: []byte("x"), {KindDatabase, "a"}: []byte("y")}
	at := now
	said := 0
	for ; at < now+3*bounds.Retention; at += bounds.RepublishInterval / 4 {
		d := a.Publish(at, values)
		said += len(d.Facts)
		v.Merge(at, d)
		v.Expire(at)
		require.Len(t, v.All().Facts, 2)
	}
	require.Less(t, said, 3*2*int(bounds.Retention/bounds.RepublishInterval)+3)
	delete(values, Key{KindDatabase, "a"})
	v.Merge(at, a.Publish(at, values))
	v.Expire(at + bounds.Retention)
	require.Empty(t, v.FactsUnder(Key{KindDatabase, "a"}))

	require.False(t, a.Refute(at, Delta{Ends: []End{{"n", 2, at, false}, {"m", 9, at, false}}}))
	end := Delta{Ends: []End{{"n", 3, at, false}}}
	v.Merge(at, end)
	require.True(t, a.Refute(at, end))
	v.Merge(at, a.Publish(at, values))
	require.Equal(t, []string{"n"}, v.Live())
	require.True(t, a.Refute(at, Delta{Facts: []Fact{{Owner: "n", Incarnation: 9, At: at}}}), "another bears its name")
	require.Equal(t, uint64(10), a.Incarnation())
	require.False(t, a.Refute(at, Delta{Facts: []Fact{{Owner: "n", Incarnation: 1 << 63, At: at}}}),
		"of the future: it would never be heard again")
	require.False(t, a.Refute(at, Delta{Ends: []End{{"n", 11, at + time.Hour, false}}}))
	require.Equal(t, uint64(10), a.Incarnation())
}
