package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Rule 4: sends to a node that is warming up, within one overload window, stay within the budget, for writes to a
// primary that is warming up too. What it answers in the window pays for more of them, and is forgotten with the
// window: a router that has seen nothing else answered, as one just started, would otherwise never send it more than
// the least.
func TestSlowStartBudget(t *testing.T) {
	warming := func() *harness {
		h := newHarness(t, settings())
		h.list(Node{ID: 1, State: Ready, Started: h.now}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
		h.probed(1, Primary, h.now+1)
		return h
	}
	id := RequestID(10)
	burst := func(h *harness, writes int, answer bool) (sent int) {
		for range writes {
			id++
			for _, a := range h.arrive(id, classWrite) {
				if a.Kind == Send {
					sent++
				}
				if a.Kind == Send && answer {
					h.done(id, 0, 1, OK, Evidence{Role: Primary, Position: h.now})
				}
			}
		}
		return sent
	}
	if sent := burst(warming(), 50, false); sent == 0 || sent > minSlowStartSends {
		t.Fatalf("%d sends to a warming node that answers nothing, want 1 to %v", sent, minSlowStartSends)
	}
	if sent := burst(warming(), 50, true); sent < 40 {
		t.Fatalf("%d sends to a warming node that answers each at once, want 40 and more", sent)
	}
	h := warming()
	answered := burst(h, 8, true)
	most := int(math.Ceil(0.5 * h.r.settings.OverloadMultiple * float64(answered)))
	if all := answered + burst(h, 50, false); answered != 8 || all != most {
		t.Fatalf("%d sends in a window with %d answers, want %d with 8", all, answered, most)
	}
	h.wait(2 * h.r.settings.OverloadWindow) // those held meanwhile are given up
	if sent := burst(h, 50, false); sent > minSlowStartSends {
		t.Fatalf("%d sends a window after the last answer, want %v at the most", sent, minSlowStartSends)
	}
}

// A start that becomes known late: what was sent in the window before counts, and what an earlier process answered
// tells nothing of what the new one can do.
func TestSlowStartBudgetOfAStartLearnedLate(t *testing.T) {
	h := newHarness(t, settings())
	h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	sent := func(id RequestID) bool {
		out := h.arrive(id, classWrite)
		return len(out) == 1 && out[0].Kind == Send
	}
	for id := RequestID(10); id < 20; id++ {
		if !sent(id) {
			t.Fatalf("write %d at a warm primary was held", id)
		}
		h.done(id, 0, 1, OK, Evidence{Role: Primary, Position: h.now})
	}
	h.now += 500 * ms
	h.list(Node{ID: 1, State: Ready, Started: h.now - 100*ms}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	h.probed(1, Primary, h.now)
	for id := RequestID(30); id < 35; id++ {
		if sent(id) {
			t.Fatalf("write %d was sent to a primary that is warming up beside the ten of the same window", id)
		}
	}
	h.wait(2 * h.r.settings.OverloadWindow) // those held meanwhile are given up
	if !sent(40) {
		t.Fatal("a write was held though a window has passed")
	}
}

// One node is warming up; 90 routers with one send each to spare must not add up to 90 sends. All routers together
// keep to the stated multiple of what the node can do at that moment.
func TestSlowStartBudgetHoldsForAllRoutersTogether(t *testing.T) {
	for _, routers := range []int{1, 3, 30, 90, 290} {
		s := settings()
		s.Routers = routers
		const perNode = 60.0 // completions a second on a warm node
		warmth := s.SlowStartShare + (1-s.SlowStartShare)*float64(s.OverloadWindow/2)/float64(s.SlowStartTime)
		sent := 0
		for i := range routers {
			r := New(s, uint64(i)*7919+1)
			r.now = start
			r.applyList([]Node{{ID: 1, State: Ready, Started: start - ms}}, true)
			r.warmRate = perNode / float64(routers)
			n := r.byID[1]
			for range 200 {
				if r.now += 10 * ms; r.withinSlowStart(n, &openRequest{class: &s.Classes[classAny]}) {
					n.slowStart.Sent(r.now, s.OverloadWindow, 1)
					sent++
				}
			}
		}
		if budget := s.OverloadMultiple * warmth * perNode * s.OverloadWindow.Seconds(); float64(sent) > budget {
			t.Errorf("%d routers: %d sends in one window, budget %.0f", routers, sent, budget)
		}
		if sent == 0 {
			t.Errorf("%d routers: no send at all", routers)
		}
	}
}

// Requests come to each of many routers now and then only. What a warming node bears is used all the same: the
// chance to send it one must not be over before there is a request to send, nor may all routers have it at once.
func TestSlowStartBudgetIsUsedBySparseRequests(t *testing.T) {
	s := settings()
	s.Routers = 300
	const perNode, asked = 60.0, 0.7 // completions a second on a warm node; requests a second at each router
	var routers []*Router
	for i := range s.Routers {
		r := New(s, uint64(i)*7919+1)
		r.now = start
		r.applyList([]Node{{ID: 1, State: Ready, Started: start - ms}}, true)
		r.warmRate = perNode / float64(s.Routers)
		routers = append(routers, r)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var sends []int // by 10 ms
	sent, most := 0, 0.0
	steps := int(s.SlowStartTime * 4 / 5 / tickInterval)
	for step := range steps {
		sends = append(sends, 0)
		for _, r := range routers {
			r.now = start + time.Duration(step)*tickInterval
			if n := r.byID[1]; rng.Float64() < asked*tickInterval.Seconds() && r.withinSlowStart(n, &openRequest{class: &s.Classes[classAny]}) {
				n.slowStart.Sent(r.now, s.OverloadWindow, 1)
				sends[step]++
				sent++
			}
		}
		warmth := routers[0].capacityShare(routers[0].byID[1])
		inWindow := 0
		for _, n := range sends[max(0, step-int(s.OverloadWindow/tickInterval)):] {
			inWindow += n
		}
		most = max(most, float64(inWindow)/(s.OverloadMultiple*warmth*perNode*s.OverloadWindow.Seconds()))
	}
	mean := float64(s.SlowStartShare+1) / 2 * perNode * s.OverloadMultiple * float64(steps) * tickInterval.Seconds()
	if used := float64(sent) / mean; used < 0.2 || most > 0.8 {
		t.Errorf("%.2f of what the node bears is sent, %.2f of it in the worst window", used, most)
	}
}
