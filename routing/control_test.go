package routing

import (
	"testing"
	"time"
)

// The loop: slow answers shrink the bound, fast ones let it grow to the cap and no further, and a bound that sat at
// the cap comes down at once (anti-windup).
func TestControlLoop(t *testing.T) {
	h := newHarness(t, settings())
	n := h.r.byID[2]
	feed := func(ratio float64, periods int) {
		for range periods {
			n.ratioSum, n.samples = ratio*minSamples, minSamples
			h.r.controlStep()
		}
	}
	feed(0.3, 200)
	if n.bound != maxBound || n.delta != 0 {
		t.Fatalf("d %v with stored change %v, want the cap %v and 0", n.bound, n.delta, maxBound)
	}
	feed(1.5, 1)
	if n.bound >= maxBound {
		t.Fatal("the first slow period left d at the cap: wound up")
	}
	feed(2, 100)
	if floor := minBoundShare * maxBound; n.bound != floor || n.delta != 0 {
		t.Fatalf("d %v with stored change %v, want the floor %v and 0", n.bound, n.delta, floor)
	}
	n.ratioSum, n.samples = 0.1, minSamples-1
	h.r.controlStep()
	if n.samples != minSamples-1 {
		t.Fatal("too few samples were not carried over")
	}
}

// Nodes that hold as many as they are taken to work on, and report that nobody waits there, are given more; once many
// wait, less again. Without such reports they are given what a small node takes.
func TestSizeFromReports(t *testing.T) {
	for _, tells := range []bool{false, true} {
		h := newHarness(t, settings())
		id := RequestID(10)
		var open []RequestID
		at := map[RequestID]NodeID{}
		round := func(waiting float64) (out int) { // a round of reads, with as many out as are let in
			for range 60 {
				id++
				for _, a := range h.arrive(id, classAny) {
					if a.Kind == Send {
						open, at[id] = append(open, id), a.Node
					}
				}
			}
			out = len(open)
			for _, id := range open {
				h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
					Node: at[id], Status: OK, Final: true,
					Duration: 150 * ms, Report: Evidence{Role: Replica, Position: h.now, ReportsQueue: tells, QueueLength: waiting},
				}})
			}
			open = nil
			h.now += 20 * ms
			return out
		}
		for range 50 {
			round(1) // neither one nor the other; until the latency is known
		}
		few := round(1)
		for range 300 {
			round(0)
		}
		many := round(0)
		if tells != (many > 2*few) {
			t.Fatalf("reports tell: %v; %d reads out at first, %d when nobody waited", tells, few, many)
		}
		for range 300 {
			round(1000)
		}
		if again := round(1000); again > few {
			t.Fatalf("reports tell: %v; %d reads out at first, %d when many waited", tells, few, again)
		}
	}
}

// Congestion is forgotten within seconds, however many routers there are: what one of them had in flight for a while
// must not close a node for minutes.
func TestEstimatedInFlightDecays(t *testing.T) {
	s := settings()
	s.Routers = 290
	h := newHarness(t, s)
	n := h.r.byID[2]
	h.r.addInFlight(n, 1)
	h.now += 5 * time.Second
	h.step()
	h.r.addInFlight(n, -1)
	h.now += 20 * time.Second
	h.step()
	if load := h.r.estimatedInFlight(n); load > h.r.effectiveBound(n) {
		t.Errorf("%v in flight 20 s after the only request ended, bound %v", load, h.r.effectiveBound(n))
	}
}
