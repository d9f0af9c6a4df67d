package routing

import (
	"testing"
	"time"
)

// Nodes that are readmitted together are probed in the order of their IDs: equal calls give equal actions.
func TestReadmittedNodesAreProbedInOrder(t *testing.T) {
	const count = 20
	router := New(settings(), 1)
	nodes, exclusions := []Node{}, map[NodeID]time.Duration{}
	for id := NodeID(1); id <= count; id++ {
		nodes = append(nodes, Node{ID: id, State: Ready})
		exclusions[id] = start
	}
	router.Step(start, []Event{
		{Kind: ListComplete, Nodes: nodes},
		{Kind: ExclusionsChanged, Exclusions: exclusions},
	}, nil)
	next := NodeID(1)
	for _, action := range router.Step(start+time.Second, []Event{{Kind: ExclusionsChanged}}, nil) {
		if action.Kind != Probe {
			continue
		}
		if action.Node != next {
			t.Fatalf("node %d is probed before node %d", action.Node, next)
		}
		next++
	}
	if next != count+1 {
		t.Fatalf("%d nodes are probed, want %d", next-1, count)
	}
}
