package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Nodes whose exclusions end together are probed in the order of their IDs: equal calls give equal actions.
func TestReadmittedNodesAreProbedInOrder(t *testing.T) {
	const count = 20
	harness := newEmptyHarness(t, defaultSettings(), 1)
	exclusions := map[NodeID]time.Duration{}
	var nodes []Node
	var ids []NodeID
	for id := NodeID(1); id <= count; id++ {
		nodes = append(nodes, Node{ID: id, State: Ready})
		ids = append(ids, id)
		exclusions[id] = start
	}
	harness.step(
		Event{Kind: ListComplete, Nodes: nodes},
		Event{Kind: ExclusionsChanged, Exclusions: exclusions},
	)
	harness.now += time.Second
	require.Equal(t, ids, harness.probes(Event{Kind: ExclusionsChanged}))
}
