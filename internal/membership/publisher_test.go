package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A publisher publishes changed values at once and republishes unchanged values before they expire. It refutes reports
// that its incarnation has ended.
func TestPublisherRepublishesAndRefutes(t *testing.T) {
	bounds := DefaultBounds()
	publisher, view := NewPublisher("n", 3, bounds), NewView(bounds)
	values := map[Key][]byte{{}: []byte("x"), {KindDatabase, "a"}: []byte("y")}
	at := now
	published := 0
	for ; at < now+3*bounds.Retention; at += bounds.RepublishInterval / 4 {
		delta := publisher.Publish(at, values)
		published += len(delta.Facts)
		view.Merge(at, delta)
		view.Expire(at)
		require.Len(t, view.All().Facts, 2)
	}
	require.Less(t, published, 3*2*int(bounds.Retention/bounds.RepublishInterval)+3)
	delete(values, Key{KindDatabase, "a"})
	view.Merge(at, publisher.Publish(at, values))
	view.Expire(at + bounds.Retention)
	require.Empty(t, view.FactsWithKey(Key{KindDatabase, "a"}))

	require.False(t, publisher.Refute(at, Delta{Ends: []End{{"n", 2, at, false}, {"m", 9, at, false}}}))
	end := Delta{Ends: []End{{"n", 3, at, false}}}
	view.Merge(at, end)
	require.True(t, publisher.Refute(at, end))
	view.Merge(at, publisher.Publish(at, values))
	require.Equal(t, []string{"n"}, view.Live())
	duplicate := Delta{Facts: []Fact{{Owner: "n", Incarnation: 9, At: at}}}
	require.True(t, publisher.Refute(at, duplicate), "another pooler uses the same name")
	require.Equal(t, uint64(10), publisher.Incarnation())
	require.False(t, publisher.Refute(at, Delta{Facts: []Fact{{Owner: "n", Incarnation: 1 << 63, At: at}}}),
		"an incarnation in the future: the publisher's next facts would never be accepted")
	require.False(t, publisher.Refute(at, Delta{Ends: []End{{"n", 11, at + time.Hour, false}}}))
	require.Equal(t, uint64(10), publisher.Incarnation())
}
