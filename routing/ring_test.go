package routing

import (
	"slices"
	"testing"
	"time"
)

// The ring: a changed bound moves only keys that the changed replica gains or loses.
func TestChangedBoundMovesFewKeys(t *testing.T) {
	h := newHarness(t, settings())
	g := h.r.groups[0]
	owner := func() (of [2000]NodeID) {
		for i := range of {
			key := mix(uint64(i + 1))
			j := slices.IndexFunc(g.ring, func(p ringPoint) bool { return p.hash >= key })
			of[i] = g.ring[max(j, 0)].node.ID
		}
		return of
	}
	before := owner()
	h.r.byID[2].bound /= 2
	h.r.layRings()
	moved := 0
	for i, id := range owner() {
		if id != before[i] {
			moved++
			if before[i] != 2 {
				t.Fatalf("key %d moved from node %d, whose bound did not change", i, before[i])
			}
		}
	}
	if moved == 0 {
		t.Fatal("half the bound kept every key")
	}
}

// Reads go past a replica at its bound, clockwise, and the same session comes back to the same replica.
func TestReadsPassReplicasAtTheirBound(t *testing.T) {
	h := newHarness(t, settings())
	out := h.arrive(7, classAny)
	first := out[0].Node
	h.done(7, 0, first, OK, Evidence{Role: Replica, Position: h.now})
	h.step(Event{Kind: RequestArrived, Request: 70, Arrival: Arrival{Class: classAny, Session: 7, TimeLeft: time.Second}})
	if again := h.r.byID[first]; again.inFlight != 1 {
		t.Fatal("the session moved to another replica")
	}
	h.r.byID[first].inFlight = 100
	out = h.step(Event{Kind: RequestArrived, Request: 71, Arrival: Arrival{Class: classAny, Session: 7, TimeLeft: time.Second}})
	if out[0].Node == first || out[0].Node == 1 {
		t.Fatalf("sent to node %d, want the other replica", out[0].Node)
	}
}

// Large groups: every member is looked at, also beyond 64.
func TestEveryMemberOfALargeGroupIsSearched(t *testing.T) {
	h := &harness{t, New(settings(), 1), start}
	var nodes []Node
	for id := NodeID(1); id <= 70; id++ {
		nodes = append(nodes, Node{ID: id, State: Ready})
	}
	h.list(nodes...)
	for _, n := range h.r.nodes {
		n.ejected = n.ID != 70
	}
	out := h.arrive(7, classAny)
	h.want("read with one node left", out, Send)
}

// Reads that any data satisfies may hold the log up where they are: long ones stay at one replica, and others stay
// fresh. Those that end within the age that bounded reads bear harm no one, and would only load that replica.
func TestLongReadsOfAnyDataStayAtOneReplica(t *testing.T) {
	for objective, replicas := range map[time.Duration]int{200 * ms: 2, 201 * ms: 1} { // classBounded takes 200 ms
		s := settings()
		s.Classes[classAny].LatencyObjective = objective
		h := newHarness(t, s)
		used := map[NodeID]int{}
		for id := RequestID(10); id < 14; id++ {
			used[h.arrive(id, classAny)[0].Node]++
		}
		if len(used) != replicas {
			t.Fatalf("objective %v: sent to %v, want %d replicas", objective, used, replicas)
		}
	}
}
