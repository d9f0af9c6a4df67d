package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clockoffset"
)

const skewed = 10 * ms // how far the bounds of the tests are off the offset, each way

// skewedHarness is a router whose clock is behind the nodes' by an offset, and knows it to within skewed.
func skewedHarness(t *testing.T, s Settings, offset time.Duration) *harness {
	h := &harness{t, New(s, 1), 2 * start}
	h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	if offset != 0 {
		h.knows(offset)
	}
	h.probed(1, Primary, h.now+offset)
	return h
}

func (h *harness) knows(offset time.Duration) {
	h.step(Event{Kind: ClockOffset, Clock: clockoffset.Bounds{Earliest: offset - skewed, Latest: offset + skewed}})
}

var offsets = []time.Duration{0, start, -start, 2 * time.Second, -2 * time.Second, 300 * ms, -300 * ms}

// What may go to replicas does not depend on what the own clock shows: of bounded reads (200 ms here), fresh reads,
// and reads of a session that has written.
func TestReadsUnderAnOffset(t *testing.T) {
	for _, offset := range offsets {
		for name, c := range map[string]struct {
			class     int
			age       time.Duration // of the replicas' positions
			lastWrite time.Duration // before now; 0: none
			replica   bool
		}{
			"bounded, recent":                {class: classBounded, age: 150 * ms, replica: true},
			"bounded, too old":               {class: classBounded, age: 201 * ms},
			"fresh, from before it came":     {class: classFresh, age: ms},
			"session, sees its write":        {class: classSession, age: 300 * ms, lastWrite: 400 * ms, replica: true},
			"session, is too far behind":     {class: classSession, age: 300 * ms, lastWrite: 200 * ms},
			"session, of one with no report": {class: classSession, age: time.Hour / 2, replica: true},
		} {
			h := skewedHarness(t, settings(), offset)
			for _, id := range []NodeID{2, 3} {
				h.probed(id, Replica, h.now+offset-c.age)
			}
			a := Arrival{Class: c.class, Session: 7, TimeLeft: time.Second}
			if c.lastWrite > 0 {
				a.LastWrite = h.now + offset - c.lastWrite
			}
			out := append(h.step(Event{Kind: RequestArrived, Request: 7, Arrival: a}), h.wait(100*ms)...)
			for _, sent := range out {
				if sent.Kind == Send && (sent.Node != 1) != c.replica {
					t.Errorf("offset %v: %s: sent to %d", offset, name, sent.Node)
				}
			}
			if c.replica && (len(out) != 1 || out[0].Kind != Send) {
				t.Errorf("offset %v: %s: %v", offset, name, out)
			}
			if c.class == classBounded && c.replica {
				proof := h.now - 100*ms - c.age + h.r.settings.Classes[classBounded].MaxAge // by the own clock
				if out[0].WriteBy > proof || out[0].WriteBy < proof-2*skewed {
					t.Errorf("offset %v: %s: to be written by %v, the proof ends at %v", offset, name, out[0].WriteBy, proof)
				}
			}
		}
	}
}

// A session's write whose answer was lost may have been committed up to now, by whatever clock; what is remembered of
// it stays right when the offset becomes known later.
func TestLostWriteUnderAnOffset(t *testing.T) {
	for _, offset := range offsets {
		s := settings()
		s.KeepSessions = true
		h := skewedHarness(t, s, 0)
		write := Arrival{Class: classWrite, Session: 7, TimeLeft: 2 * time.Second}
		h.step(Event{Kind: RequestArrived, Request: 1, Arrival: write})
		h.done(1, 0, 1, TimedOut, Evidence{})
		lost := h.now
		h.wait(500 * ms)
		h.knows(offset)
		h.probed(1, Primary, h.now+offset)
		h.probed(2, Replica, lost+offset-20*ms)
		h.probed(3, Replica, lost+offset-20*ms)
		read := Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}
		for _, a := range h.step(Event{Kind: RequestArrived, Request: 2, Arrival: read}) {
			if a.Kind == Send && a.Node != 1 {
				t.Errorf("offset %v: a session's read at a replica that may lack its write", offset)
			}
		}
	}
}

// An endpoint that started a second ago is warming up, whatever the own clock shows, also when it was listed before
// the offset was known; one that started long ago is warm.
func TestColdUnderAnOffset(t *testing.T) {
	for _, offset := range offsets {
		for _, before := range []bool{false, true} {
			h := skewedHarness(t, settings(), 0)
			if !before {
				h.knows(offset)
			}
			h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready, Started: h.now + offset - time.Second},
				Node{ID: 3, State: Ready, Started: h.now + offset - 11*time.Second})
			if before {
				h.knows(offset)
			}
			for id, want := range map[NodeID]float64{1: 1, 2: 0.28, 3: 1} { // a share of 0.2, which grows to 1 in 10 s
				if got := h.r.capacityShare(h.r.byID[id]); got > want || got < want-0.01 {
					t.Errorf("offset %v, known later %v: node %d is at %.3f, want %.3f", offset, before, id, got, want)
				}
			}
		}
	}
}

// The newest evidence of a node's role counts, whether its time is told by the own clock, as of answers, or by the
// nodes', as of reports.
func TestRolesUnderAnOffset(t *testing.T) {
	for _, offset := range offsets {
		h := skewedHarness(t, settings(), offset)
		role := func(want Role, what string) {
			t.Helper()
			if got := h.r.byID[1].role; got != want {
				t.Errorf("offset %v: %s: role %d, want %d", offset, what, got, want)
			}
		}
		h.step(Event{Kind: RequestArrived, Request: 1, Arrival: Arrival{Class: classWrite, TimeLeft: 2 * time.Second}})
		h.now += 100 * ms
		h.done(1, 0, 1, NodeRejected, Evidence{Role: Replica, Position: h.now + offset - 10*ms})
		role(Replica, "after an answer")
		h.probed(1, Primary, h.now+offset-50*ms)
		role(Replica, "after a report from before the answer")
		h.now += 100 * ms
		h.probed(1, Primary, h.now+offset)
		role(Primary, "after a report from after the answer")
	}
}

// Before the offset is known, a position that lies in the own clock's future proves nothing; and if there is no
// telling by how much the clocks differ, no replica is fresh for any read that asks for it.
func TestNothingIsFreshWhileTheOffsetIsUnknown(t *testing.T) {
	for _, told := range []bool{false, true} {
		h := skewedHarness(t, settings(), 0)
		if told {
			h.step(Event{Kind: ClockOffset, Clock: clockoffset.Bounds{Latest: clockoffset.Unknown}})
		}
		h.probed(2, Replica, h.now+time.Hour-5*time.Second)
		h.probed(3, Replica, h.now+time.Hour-5*time.Second)
		for _, class := range []int{classBounded, classSession, classFresh} {
			a := Arrival{Class: class, Session: 7, TimeLeft: time.Second, LastWrite: h.now + time.Hour}
			out := h.step(Event{Kind: RequestArrived, Request: RequestID(class + 1), Arrival: a})
			for _, sent := range append(out, h.wait(100*ms)...) {
				if sent.Kind == Send && sent.Node != 1 {
					t.Errorf("unknown %v: a read of class %d at replica %d", told, class, sent.Node)
				}
			}
		}
	}
}

// An offset of zero is as none: the same actions on the same events.
func TestOffsetOfZeroChangesNothing(t *testing.T) {
	var out [2]string
	for i := range out {
		h := newHarness(t, settings())
		for id := RequestID(1); id < 200; id++ {
			if i == 1 {
				h.step(Event{Kind: ClockOffset})
			} else {
				h.step()
			}
			out[i] += fmt.Sprint(h.arrive(id, int(id)%6))
			h.now += 7 * ms
			out[i] += fmt.Sprint(h.done(id, 0, NodeID(1+id%3), OK, Evidence{Role: Replica, Position: h.now - 150*ms}))
		}
	}
	if out[0] != out[1] {
		t.Error("other actions")
	}
}

// What is shown of how far a node was behind is by the nodes' clock.
func TestSeenUnderAnOffset(t *testing.T) {
	for _, offset := range offsets {
		h := skewedHarness(t, settings(), offset)
		h.probed(2, Replica, h.now+offset-700*ms)
		for _, s := range h.r.NodeStatuses(nil) {
			if s.ID == 2 && (s.Behind < 700*ms || s.Behind > 700*ms+skewed) {
				t.Errorf("offset %v: behind by %v", offset, s.Behind)
			}
		}
	}
}

// Answers count towards a warming node's budget only from the start of its present process on, which the list tells
// by the nodes' clock.
func TestAnswersOfTheProcessBeforeAStart(t *testing.T) {
	for name, offset := range map[string]time.Duration{"clocks agree": 0, "the own clock is ahead": -time.Hour, "the own clock is behind": time.Hour} {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{Routers: 1, Classes: []Class{{Weight: 1}}, SlowStartTime: time.Minute}, 1)
			r.now = 2 * time.Hour
			r.applyOffset(clockoffset.Bounds{Latest: offset, Earliest: offset})
			start := r.now - time.Second
			r.applyEntry(Node{ID: 1, State: Ready, Started: start + offset})
			require.Equal(t, start, r.processStart(r.byID[1]))
		})
	}
}
