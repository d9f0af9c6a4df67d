package gossip_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/membership/gossip"
	"capercove/internal/testbed/loopback"
)

// Poolers without a management address and those that do not answer there are both reported, each by its name. Queries
// fail on their goroutines while others are still being started, so the race detector also checks how their results are
// collected.
func TestQueryAllReportsPoolersThatCannotBeQueried(t *testing.T) {
	listener := loopback.Listen(t)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	from := gossip.State{Name: "n0", Digest: "1"}
	for i := range 200 {
		pooler := gossip.Pooler{Name: fmt.Sprint("p", i), State: "live"}
		if i%2 == 0 {
			pooler.Says = fmt.Appendf(nil, "{\"management\":%q}", closed)
		}
		from.Poolers = append(from.Poolers, pooler)
	}
	from.Poolers = append(from.Poolers,
		gossip.Pooler{Name: "failed", State: "gone"}, gossip.Pooler{Name: "ended", State: "left"})
	cluster := gossip.QueryAll(from)
	require.Equal(t, []gossip.State{from}, cluster.Views)
	require.False(t, cluster.Agree())
	require.Len(t, cluster.Failed, 200)
	for i := range 200 {
		reason := cluster.Failed[fmt.Sprint("p", i)]
		if i%2 == 0 {
			require.Contains(t, reason, "connection refused")
		} else {
			require.Equal(t, "it publishes no management address", reason)
		}
	}
}
