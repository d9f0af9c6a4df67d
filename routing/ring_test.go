package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A changed bound moves only the keys that the changed replica gains or loses.
func TestChangedBoundMovesFewKeys(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	group := harness.router.groups[0]
	owners := func() (ids [2000]NodeID) {
		for i := range ids {
			key := mix(uint64(i + 1))
			point := slices.IndexFunc(group.ring, func(point ringPoint) bool { return point.hash >= key })
			ids[i] = group.ring[max(point, 0)].node.ID
		}
		return ids
	}
	before := owners()
	harness.router.byID[2].bound /= 2
	harness.router.rebuildRings()
	moved := 0
	for i, id := range owners() {
		if id != before[i] {
			moved++
			require.Equal(t, NodeID(2), before[i], "key %d moved from a node whose bound did not change", i)
		}
	}
	require.NotZero(t, moved, "no key moved after the bound was halved")
}

// Reads of a session go to the same replica. If that replica is at its bound, they go to the next one on the ring.
func TestReadsPassReplicasAtTheirBound(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	first := harness.arrive(7, classAny)[0].Node
	harness.done(7, 0, first, OK, Evidence{Role: Replica, Position: harness.now})
	read := Arrival{Class: classAny, Session: 7, TimeLeft: time.Second}
	harness.arriveAs(70, read)
	require.EqualValues(t, 1, harness.router.byID[first].inFlight, "requests in flight at the session's replica")
	harness.router.byID[first].inFlight = 100
	node := harness.arriveAs(71, read)[0].Node
	require.NotEqual(t, first, node, "sent to a replica at its bound")
	require.NotEqual(t, NodeID(1), node, "sent to the primary")
}

// The search of the ring considers every member of a group of more than 64.
func TestEveryMemberOfALargeGroupIsSearched(t *testing.T) {
	harness := newEmptyHarness(t, defaultSettings(), 1)
	var nodes []Node
	for id := NodeID(1); id <= 70; id++ {
		nodes = append(nodes, Node{ID: id, State: Ready})
	}
	harness.list(nodes...)
	for _, node := range harness.router.nodes {
		node.ejected = node.ID != 70
	}
	harness.requireActions("read while only node 70 is available", harness.arrive(7, classAny), Send)
}

// A long read of any data may delay replication at its replica. Such reads go to one replica, and the others stay
// fresh. Reads whose objective is within the MaxAge of bounded reads do no harm and are spread over all replicas.
func TestLongReadsOfAnyDataStayAtOneReplica(t *testing.T) {
	for objective, replicas := range map[time.Duration]int{200 * ms: 2, 201 * ms: 1} { // classBounded accepts 200 ms
		t.Run(fmt.Sprint("objective ", objective), func(t *testing.T) {
			harness := newHarnessWith(t, func(settings *Settings) {
				settings.Classes[classAny].LatencyObjective = objective
			})
			used := map[NodeID]int{}
			for id := RequestID(10); id < 14; id++ {
				used[harness.arrive(id, classAny)[0].Node]++
			}
			require.Len(t, used, replicas, "number of reads by replica")
		})
	}
}
