package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A draining replica receives no new requests. A draining primary receives those that only it can serve, for half of
// the drain grace.
func TestDrainingPrimaryAcceptsWritesForHalfTheGrace(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Draining}, Node{ID: 3, State: Ready})
	for id := RequestID(10); id < 30; id++ {
		actions := harness.arrive(id, classAny)
		if len(actions) > 0 && actions[0].Kind == Send {
			require.NotEqual(t, NodeID(2), actions[0].Node, "sent to the draining replica")
		}
	}
	harness.requireActions("write in the first half of the grace", harness.arrive(50, classWrite), Send)
	harness.now += 600 * ms
	harness.requireActions("write in the second half of the grace", harness.arrive(51, classWrite))
}

// The drain grace starts with the first list in which a node is draining or gone, even if no earlier list had it ready.
func TestDrainGraceStartsWithTheFirstList(t *testing.T) {
	harness := newEmptyHarness(t, defaultSettings(), 1)
	harness.list(Node{ID: 1, State: Gone}, Node{ID: 2, State: Ready})
	harness.now += 3 * time.Second
	harness.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Draining}}})
	harness.probeSucceeded(1, Primary, harness.now)
	harness.requireActions("write three seconds after the first list", harness.arrive(7, classWrite))
}

// With MayUseGoneNodes, requests may be sent to a node that is listed as gone, unless it was listed as draining
// before.
func TestGoneNodeMayBeTriedWhereSettingsAllowIt(t *testing.T) {
	for name, drained := range map[string]bool{"not draining before": false, "draining before": true} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.MayUseGoneNodes = true
			harness := newHarness(t, settings)
			if drained {
				harness.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
				harness.now += settings.DrainGrace
			}
			harness.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Gone}}})
			actions := harness.arrive(7, classWrite)
			require.Equal(t, !drained, len(actions) == 1, "%v", actions)
		})
	}
}

// The record of a gone node is removed after goneRetention, since machines that replace others have new IDs and the
// records would accumulate. A node that still answers or has a request in flight is not removed.
func TestGoneNodesAreRemoved(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	router := harness.router
	harness.requireActions("read", harness.arrive(1, classAny), Send)
	busy := router.requests[1].attempts[0].node.ID
	next := NodeID(10)
	for range 1000 {
		harness.now += time.Minute
		harness.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: next, State: Gone}, {ID: next + 1, State: Ready}}})
		require.True(t, router.HasNode(next), "a node that has just become gone is removed")
		require.True(t, router.HasNode(next+1), "a new node is unknown")
		next++
	}
	require.LessOrEqual(t, len(router.nodes), 3+1+11)
	require.Len(t, router.byID, len(router.nodes))

	harness.list(Node{ID: next, State: Ready}) // the first three nodes are gone, and one of them has a read in flight
	harness.now += time.Hour
	harness.list(Node{ID: next, State: Ready})
	require.True(t, router.HasNode(busy), "the node with a request in flight is removed")
	require.Len(t, router.nodes, 2)

	harness.done(1, 0, busy, TimedOut, Evidence{})
	harness.list(Node{ID: next, State: Ready})
	require.False(t, router.HasNode(busy), "the node is not removed after the end of its request")

	harness.list(Node{ID: next, State: Ready}, Node{ID: busy, State: Ready, Started: harness.now})
	node := router.byID[busy]
	require.NotNil(t, node)
	require.Equal(t, RoleUnknown, node.role)
	require.Zero(t, node.position)
	require.NotEqual(t, 1.0, float64(router.capacityShare(node)), "slow start after the listed start")
}

// The primary that a list names does not override the role that the node has reported: a late list may name a deposed
// primary.
func TestLateListDoesNotReinstateAPrimary(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.ListHintsRole = true })
	harness.probeSucceeded(1, Replica, harness.now+1)
	harness.now += time.Minute
	harness.list(Node{ID: 1, State: Ready, Primary: true}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	harness.requireActions("write", harness.arrive(7, classWrite))
}

// If probes are not possible, writes find the new primary: a member that is not the primary rejects them without
// running them.
func TestWritesFindThePrimaryWithoutProbes(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.CanProbe = false })
	node := harness.requireSend("write", harness.arrive(7, classWrite))
	for attempt := range 2 {
		evidence := Evidence{Role: Replica, Position: harness.now}
		node = harness.requireSend("rejected by the node", harness.done(7, attempt, node, NodeRejected, evidence))
	}
	require.NotEqual(t, NodeID(1), node, "sent to the old primary again before all others were tried")
}
