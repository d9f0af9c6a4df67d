package routing

import (
	"fmt"
	"testing"
)

// Rule 2 and rule 1: what may follow each outcome of a write's only attempt.
func TestWhatFollowsAWriteByItsOutcome(t *testing.T) {
	for _, c := range []struct {
		status Status
		class  int
		want   []ActionKind
	}{
		{OK, classWrite, nil},
		{NodeError, classWrite, []ActionKind{Fail}},
		{TimedOut, classWrite, []ActionKind{Fail}},
		{ConnectionBroken, classWrite, []ActionKind{Fail}},
		{Cancelled, classWrite, []ActionKind{Fail}},
		{ConnectFailed, classWrite, nil}, // held: it never ran, and the primary is suspected
		{NodeRejected, classWrite, nil},  // held until a primary is found
		{NodeOverloaded, classWrite, nil},
	} {
		h := newHarness(t, settings())
		h.want("write", h.arrive(7, c.class), Send)
		h.want(fmt.Sprint("after status ", c.status), h.done(7, 0, 1, c.status, Evidence{}), c.want...)
	}
}

// A write with an idempotency key may be repeated inside its window, and only there; a rejection would promise too
// much.
func TestDeduplicatedWriteRepeatsWithinItsWindow(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classKeyed), Send)
	h.now += 100 * ms
	h.done(7, 0, 1, NodeError, Evidence{})
	h.want("inside the window", h.wait(100*ms), Send)
	h.now += 500 * ms
	h.done(7, 1, 1, NodeError, Evidence{})
	h.want("past the window", h.wait(1500*ms), Fail)
}

// Incident i8c46d3: an attempt that much later ones overtook was lost; it must not count as in flight for the
// seconds until its time-out, and a read is hedged.
func TestOvertakenAttemptIsLostAndHedged(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classWrite), Send)
	for id := RequestID(10); id < 40; id++ {
		h.now += 20 * ms
		h.arrive(id, classFresh)
		h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
			Node: 1, Duration: 10 * ms, Final: true,
			Note: Evidence{Role: Primary, Position: h.now},
		}})
		h.step(Event{Kind: TimerFired})
	}
	if in := h.r.byID[1].inFlight; in != 0 {
		t.Fatalf("%d in flight at the primary, want the lost write not counted", in)
	}
	h.done(7, 0, 1, TimedOut, Evidence{})
	if in := h.r.byID[1].inFlight; in != 0 {
		t.Fatalf("%d in flight after the lost write's time-out", in)
	}
}

// Where one node is overloaded, all may be: reads rejected so are not retried beyond the retry budget.
func TestNoStormOfRetriesAtFullNodes(t *testing.T) {
	h := newHarness(t, settings())
	sends, rejections := 0, 0
	count := func(out []Action) (again bool) {
		for _, a := range out {
			switch a.Kind {
			case Send:
				sends++
				again = true
			case Reject:
				rejections++
			}
		}
		return again
	}
	const reads = 100
	for id := range RequestID(reads) {
		out := h.arrive(id+1, classAny)
		for i := 0; count(out); i++ {
			out = h.done(id+1, i, out[0].Node, NodeOverloaded, Evidence{Role: Replica, Position: h.now})
		}
		h.now += ms
	}
	if most := reads*(1+retryBudgetShare) + maxRetryBudget; float64(sends) > most || rejections == 0 {
		t.Errorf("%d sends and %d rejections for %d reads at overloaded nodes, want at most %.0f sends",
			sends, rejections, reads, most)
	}
}
