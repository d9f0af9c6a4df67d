package routing

import (
	"testing"
	"time"
)

// Rule 5 where nodes answer from what they have: only proven positions count.
func TestOnlyProvenPositionsAreFresh(t *testing.T) {
	for _, c := range []struct {
		name            string
		class           int
		position, write time.Duration // of the replicas and of the session's last write, before now
		replica         bool
	}{
		{"any read, stale replicas", classAny, time.Minute, 0, true},
		{"bounded read, just fresh", classBounded, 200 * ms, 0, true},
		{"bounded read, too old", classBounded, 201 * ms, 0, false},
		{"session read, write seen", classSession, 50 * ms, 50 * ms, true},
		{"session read, write not seen", classSession, 51 * ms, 50 * ms, false},
		{"session read, no write", classSession, time.Minute, 0, true},
		{"fresh read", classFresh, 1 * ms, 0, false},
	} {
		h := &harness{t, New(settings(), 1), start}
		h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
		h.probed(1, Primary, h.now)
		h.probed(2, Replica, h.now-c.position)
		h.probed(3, Replica, h.now-c.position)
		a := Arrival{Class: c.class, Session: 5, TimeLeft: time.Second}
		if c.write > 0 {
			a.LastWrite = h.now - c.write
		}
		out := h.step(Event{Kind: RequestArrived, Request: 7, Arrival: a})
		h.want(c.name, out, Send)
		if replica := out[0].Node != 1; replica != c.replica {
			t.Errorf("%s: sent to node %d, want a replica: %v", c.name, out[0].Node, c.replica)
		}
	}
}

// Sessions remembered here: a read must see the write whose answer came before it.
func TestSessionReadSeesItsWrite(t *testing.T) {
	s := settings()
	s.KeepSessions = true
	h := newHarness(t, s)
	h.now += 10 * ms
	h.want("write", h.arrive(7, classWrite), Send)
	h.done(7, 0, 1, OK, Evidence{Role: Primary, Position: h.now + 1})
	out := h.step(Event{Kind: RequestArrived, Request: 8, Arrival: Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}})
	h.want("the session's read", out, Send)
	if out[0].Node != 1 {
		t.Fatalf("read sent to node %d, which has not seen the session's write", out[0].Node)
	}
}

// A session's read that comes while a write of it is out, or after the write's answer was lost, must see that write:
// the node may have committed it, and reported it. Without a report of the commit the present stands for it.
func TestSessionReadBesideALostAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  Status
		note    Evidence
		replica bool // may answer the read
	}{
		{"lost", ConnectionBroken, Evidence{}, false},
		{"late", TimedOut, Evidence{}, false},
		{"spoilt", NodeError, Evidence{}, false},
		{"without its commit", OK, Evidence{Role: Primary}, false},
		{"whole", OK, Evidence{Role: Primary, Position: start - time.Second}, true},
		{"it never ran", NodeOverloaded, Evidence{}, true},
	} {
		s := settings()
		s.KeepSessions = true
		h := newHarness(t, s)
		read := func(id RequestID) NodeID {
			out := h.step(Event{Kind: RequestArrived, Request: id, Arrival: Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}})
			h.want(c.name, out, Send)
			return out[0].Node
		}
		h.now += 10 * ms
		h.want("write", h.step(Event{Kind: RequestArrived, Request: 1, Arrival: Arrival{Class: classWrite, Session: 7, TimeLeft: time.Second}}), Send)
		h.now += 10 * ms
		if n := read(2); n != 1 {
			t.Errorf("%s: while the write is out, the read went to node %d", c.name, n)
		}
		h.step(Event{Kind: AttemptDone, Request: 1, Outcome: Outcome{Node: 1, Status: c.status, Final: true, Note: c.note}})
		if replica := read(3) != 1; replica != c.replica {
			t.Errorf("%s: the read went to a replica: %v", c.name, replica)
		}
	}
}

// Where nodes check freshness, the most advanced replica is tried before the primary.
func TestMostAdvancedReplicaFirst(t *testing.T) {
	s := settings()
	s.StaleReads = StaleRejected
	h := newHarness(t, s)
	h.now += 900 * ms
	h.probed(2, Replica, h.now-400*ms)
	h.probed(3, Replica, h.now-250*ms)
	out := h.arrive(7, classBounded)
	h.want("bounded read, none fresh", out, Send)
	if out[0].Node != 3 {
		t.Fatalf("sent to node %d, want the most advanced replica 3", out[0].Node)
	}
	out = h.done(7, 0, 3, NodeRejected, Evidence{Role: Replica, Position: h.now - 250*ms})
	h.want("rejected by the node", out, Send)
	if out[0].Node == 3 {
		t.Fatal("sent again to the node that just turned it away")
	}
}

// Positions never go back: an old report does not take a proven position away.
func TestPositionsNeverGoBack(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(2, Replica, h.now-time.Minute)
	if n := h.r.byID[2]; n.position != h.now {
		t.Fatalf("position %v after an old report, want %v", n.position, h.now)
	}
}

// A read that must be current goes to the primary even where nodes check: no replica can be proven to have it all.
func TestFreshReadGoesToThePrimary(t *testing.T) {
	s := settings()
	s.StaleReads = StaleRejected
	h := newHarness(t, s)
	h.now += ms
	out := h.arrive(7, classFresh)
	h.want("fresh read", out, Send)
	if out[0].Node != 1 {
		t.Fatalf("sent to node %d, want the primary", out[0].Node)
	}
}

// Where nodes check, a replica that followed closely when it last spoke keeps its keys, however long ago that was:
// with many routers each hears from it rarely.
func TestReplicaIsPresumedFreshWhereNodesCheck(t *testing.T) {
	s := settings()
	s.StaleReads = StaleRejected
	h := newHarness(t, s)
	h.now += 900 * ms
	h.probed(2, Replica, h.now-500*ms)
	h.probed(3, Replica, h.now-50*ms)
	h.now += 900 * ms
	for id := range RequestID(20) {
		out := h.arrive(id+1, classBounded)
		h.want("bounded read", out, Send)
		if out[0].Node != 3 {
			t.Fatalf("sent to node %d; only node 3 followed closely", out[0].Node)
		}
		h.done(id+1, 0, 3, OK, Evidence{})
	}
}
