package routing

import (
	"testing"
	"time"
)

// Rule 3: a draining replica takes nothing new at once; a draining primary what only it can take, for half the grace.
func TestDrainingNodes(t *testing.T) {
	h := newHarness(t, settings())
	h.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Draining}, Node{ID: 3, State: Ready})
	for id := RequestID(10); id < 30; id++ {
		out := h.arrive(id, classAny)
		if len(out) > 0 && out[0].Kind == Send && out[0].Node == 2 {
			t.Fatalf("sent to the draining replica")
		}
	}
	h.want("write within half the grace", h.arrive(50, classWrite), Send)
	h.now += 600 * ms
	h.want("write after it", h.arrive(51, classWrite))
}

// The drain rule counts from the first list that has a node draining or gone, also if no list had it ready before.
func TestDrainCountsFromTheFirstNews(t *testing.T) {
	h := &harness{t, New(settings(), 1), start}
	h.list(Node{ID: 1, State: Gone}, Node{ID: 2, State: Ready})
	h.now += 3 * time.Second
	h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Draining}}})
	h.probed(1, Primary, h.now)
	h.want("write three seconds after that list", h.arrive(7, classWrite))
}

// Where only draining binds, a node that the list merely lost may be tried; one that was seen draining may not.
func TestGoneNodeMayBeTriedWhereOnlyDrainingBinds(t *testing.T) {
	for _, drained := range []bool{false, true} {
		s := settings()
		s.OnlyDrainingBinds = true
		h := newHarness(t, s)
		if drained {
			h.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
			h.now += s.DrainGrace
		}
		h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Gone}}})
		sent := len(h.arrive(7, classWrite)) == 1
		if sent == drained {
			t.Errorf("seen draining: %v, sent: %v", drained, sent)
		}
	}
}

// A node that is gone is remembered for a while, for what it says of itself if it comes back, and then no more:
// machines that replace each other have ever new names. One that still answers, or has a request out, stays.
func TestGoneNodesAreForgotten(t *testing.T) {
	h := newHarness(t, settings())
	h.want("a read", h.arrive(1, classAny), Send)
	busy := h.r.requests[1].attempts[0].node.ID
	next := NodeID(10)
	for range 1000 {
		h.now += time.Minute
		h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: next, State: Gone}, {ID: next + 1, State: Ready}}})
		if !h.r.Knows(next) || !h.r.Knows(next+1) {
			t.Fatal("one that has just gone, or come, is known")
		}
		next++
	}
	if n := len(h.r.nodes); n > 3+1+11 || len(h.r.byID) != n {
		t.Fatalf("%d nodes are remembered, %d by ID", n, len(h.r.byID))
	}
	h.list(Node{ID: next, State: Ready}) // the first three are gone, one of them with a read out
	h.now += time.Hour
	h.list(Node{ID: next, State: Ready})
	if !h.r.Knows(busy) || len(h.r.nodes) != 2 {
		t.Fatalf("%d nodes are remembered, the busy one: %v", len(h.r.nodes), h.r.Knows(busy))
	}
	h.done(1, 0, busy, TimedOut, Evidence{})
	h.list(Node{ID: next, State: Ready})
	if h.r.Knows(busy) {
		t.Fatal("the busy one is remembered for ever")
	}
	h.list(Node{ID: next, State: Ready}, Node{ID: busy, State: Ready, Started: h.now})
	if n := h.r.byID[busy]; n == nil || n.role != RoleUnknown || n.position != 0 || h.r.capacityShare(n) == 1 {
		t.Fatal("one that comes back is as a new one, and starts slowly as listed")
	}
}

// A late list that calls a deposed primary back does not count over the node's own report.
func TestLateListDoesNotReinstateAPrimary(t *testing.T) {
	s := settings()
	s.ListHintsRole = true
	h := newHarness(t, s)
	h.probed(1, Replica, h.now+1)
	h.now += time.Minute
	h.list(Node{ID: 1, State: Ready, Primary: true}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	h.want("write", h.arrive(7, classWrite))
}

// Without probes a lost primary is found by the writes themselves: a member that is none rejects them untouched.
func TestWritesFindThePrimaryWithoutProbes(t *testing.T) {
	s := settings()
	s.CanProbe = false
	h := newHarness(t, s)
	out := h.arrive(7, classWrite)
	h.want("write", out, Send)
	for i := range 2 {
		n := out[0].Node
		out = h.done(7, i, n, NodeRejected, Evidence{Role: Replica, Position: h.now})
		h.want("rejected by the node", out, Send)
	}
	if n := out[0].Node; n == 1 {
		t.Fatal("the write came back to the old primary before the others were tried")
	}
}
