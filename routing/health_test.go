package routing

import (
	"testing"
	"time"
)

// Two connections in a row that break take a node out, one does not, nor one with an answer after it.
func TestTwoBrokenConnectionsEject(t *testing.T) {
	h := newHarness(t, settings())
	n := h.r.byID[1]
	for i, status := range []Status{ConnectionBroken, OK, ConnectFailed, ConnectionBroken} {
		h.arrive(RequestID(i+1), classWrite)
		h.done(RequestID(i+1), 0, 1, status, Evidence{Role: Primary, Position: h.now})
		if n.ejected != (i == 3) {
			t.Fatalf("after %d outcomes ejected is %v", i+1, n.ejected)
		}
		h.wait(100 * ms)
	}
}

// Incident iee1e48: a node whose probes succeed while requests to it go unanswered is taken out all the same.
func TestUnresponsiveNodeIsEjected(t *testing.T) {
	h := newHarness(t, settings())
	for id := RequestID(10); id < 16; id++ {
		h.arrive(id, classBounded)
	}
	n := h.r.byID[2]
	for range 60 {
		h.wait(10 * ms)
		h.refresh()
	}
	if !n.ejected || !n.unresponsive {
		t.Fatal("node 2 answers no request and is still in service")
	}
}

// Incident i10e2be: a few client time-outs say nothing of a node that goes on answering.
func TestTimeOutsDoNotEject(t *testing.T) {
	h := newHarness(t, settings())
	for id := RequestID(10); id < 20; id++ {
		h.arrive(id, classFresh)
		h.now += ms
		h.done(id, 0, 1, TimedOut, Evidence{})
	}
	if h.r.byID[1].ejected {
		t.Fatal("short client time-outs took the primary out of service")
	}
}

// A report that may take seconds does not make its node look hung: with nothing else out there, it is still the
// primary that a write goes to.
func TestLongReadDoesNotEject(t *testing.T) {
	s := settings()
	s.Classes[classAny].LatencyObjective, s.Classes[classAny].Deadline = 5*time.Second, 10*time.Second
	h := newHarness(t, s)
	h.list(Node{ID: 1, State: Ready})
	h.probed(1, Replica, h.now)
	h.want("report", h.arrive(7, classAny), Send)
	h.wait(2 * time.Second)
	h.probed(1, Primary, h.now)
	h.want("write while it runs", h.arrive(8, classWrite), Send)
}

// Incident rude+garble+fleet: a node behind a partition has run on, and takes its share at once when it is back; one
// whose process was not there starts slowly.
func TestReadmissionAfterAPartition(t *testing.T) {
	for status, restarted := range map[Status]bool{ConnectFailed: false, ConnectRefused: true} {
		h := newHarness(t, settings())
		for range 2 {
			h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: 2, Status: status}})
		}
		behind := h.now
		n := h.r.byID[2]
		if !n.ejected {
			t.Fatal("node 2 is unreachable and in service")
		}
		h.now += 5 * time.Second
		h.probed(2, Replica, behind) // it was cut off from its primary, too
		if n.ejected || (h.r.capacityShare(n) < 1) != restarted {
			t.Fatalf("after %v node 2 is ejected: %v, capacity %v", status, n.ejected, h.r.capacityShare(n))
		}
	}
}

// Nodes that take no more connections answer their probes and keep up with the log: back after seconds, they are not
// taken to have restarted, but one that stood still meanwhile, with no process there, is. Without probes to spare
// they get requests.
func TestNodeWithoutFreeConnectionsIsNotTakenForRestarted(t *testing.T) {
	for _, kept := range []bool{true, false} {
		h := newHarness(t, settings())
		n := h.r.byID[2]
		h.r.eject(n, false)
		n.notListening = true
		before := n.position
		h.r.probeBudget = 0
		h.now += 5 * time.Second
		if kept {
			before = h.now - 20*ms
		}
		h.probed(2, Replica, before)
		if n.ejected || (n.restartedAt == 0) != kept {
			t.Errorf("kept up %v: ejected %v, restarted at %v", kept, n.ejected, n.restartedAt)
		}
		h.r.eject(n, false)
		h.r.probeBudget = 0
		if h.wait(5 * time.Second); n.ejected {
			t.Error("neither probed nor tried for 5 s")
		}
	}
}
