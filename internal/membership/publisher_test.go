package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An author says what has changed, and the rest again before it is forgotten; told of its own end it refutes it.
func TestAuthor(t *testing.T) {
	bounds := DefaultBounds()
	a, v := NewPublisher("n", 3, bounds), NewView(bounds)
	values := map[Key][]byte{{}: []byte("x"), {OfDatabase, "a"}: []byte("y")}
	at := now
	said := 0
	for ; at < now+3*bounds.Forget; at += bounds.Between / 4 {
		d := a.Publish(at, values)
		said += len(d.Facts)
		v.Merge(at, d)
		v.Forget(at)
		require.Len(t, v.All().Facts, 2)
	}
	require.Less(t, said, 3*2*int(bounds.Forget/bounds.Between)+3)
	delete(values, Key{OfDatabase, "a"})
	v.Merge(at, a.Publish(at, values))
	v.Forget(at + bounds.Forget)
	require.Empty(t, v.FactsUnder(Key{OfDatabase, "a"}))

	require.False(t, a.Refute(at, Delta{Ends: []End{{"n", 2, at, false}, {"m", 9, at, false}}}))
	end := Delta{Ends: []End{{"n", 3, at, false}}}
	v.Merge(at, end)
	require.True(t, a.Refute(at, end))
	v.Merge(at, a.Publish(at, values))
	require.Equal(t, []string{"n"}, v.Live())
	require.True(t, a.Refute(at, Delta{Facts: []Fact{{Owner: "n", Incarnation: 9, At: at}}}), "another bears its name")
	require.Equal(t, uint64(10), a.Incarnation())
	require.False(t, a.Refute(at, Delta{Facts: []Fact{{Owner: "n", Incarnation: 1 << 63, At: at}}}), "of the future: it would never be heard again")
	require.False(t, a.Refute(at, Delta{Ends: []End{{"n", 11, at + time.Hour, false}}}))
	require.Equal(t, uint64(10), a.Incarnation())
}
