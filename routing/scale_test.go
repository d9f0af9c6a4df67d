package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A client that left while this router stood still: request and departure come in one batch, and nothing may be
// sent for the request in a later one.
func TestGoneInTheBatchOfItsArrival(t *testing.T) {
	h := newHarness(t, settings())
	out := h.step(Event{Kind: ClientGone, Request: 6},
		Event{Kind: RequestArrived, Request: 7, Arrival: Arrival{Class: classAny, TimeLeft: time.Second}},
		Event{Kind: ClientGone, Request: 7})
	for _, a := range out {
		if a.Request == 7 && a.Kind != Send && a.Kind != Cancel {
			t.Fatalf("an answer for a request that is over: %v", a)
		}
	}
	h.done(7, 0, 2, NodeOverloaded, Evidence{})
	h.want("after the client has left", h.wait(time.Second))
}

// One node is cold; 90 routers with one send each to spare must not add up to 90 sends. All routers together keep
// to the stated multiple of what the node can do at that moment.
func TestColdBudgetHoldsForAllRoutersTogether(t *testing.T) {
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

// Requests come to each of many routers now and then only. What a cold node bears is used all the same: the chance to send
// it one must not be over before there is a request to send, nor may all routers have it at once.
func TestColdBudgetIsUsedBySparseRequests(t *testing.T) {
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

// Routers that see little traffic must not probe more than they send: 90 of them, ten requests a second each, stay
// within the share that requests pay for, on sound and on dead nodes. A start or a new list gives no more.
func TestProbesOfAllRoutersTogether(t *testing.T) {
	for _, dead := range []bool{false, true} {
		s := settings()
		s.Routers = 90
		probes, requests := 0, 0
		const nodes, seconds = 20, 60
		for i := range 3 { // every router acts alike but for its seed
			h := &harness{t, New(s, uint64(i)), start}
			var list []Node
			for id := range nodes {
				list = append(list, Node{ID: NodeID(id + 1), State: Ready, Group: id / 5})
			}
			events := []Event{{Kind: ListComplete, Nodes: list}}
			for step := range seconds * 100 {
				var next []Event
				for _, a := range h.r.Step(h.now, events, nil) {
					switch status := OK; a.Kind {
					case Probe:
						probes++
						if dead {
							status = TimedOut
						}
						next = append(next, Event{Kind: ProbeDone, Outcome: Outcome{
							Node: a.Node, Status: status,
							Report: Evidence{Role: Replica, Position: h.now},
						}})
					case Send:
						next = append(next, Event{Kind: AttemptDone, Request: a.Request, Outcome: Outcome{
							Node:   a.Node,
							Status: OK, Duration: 10 * ms, Final: true, Note: Evidence{Role: Replica, Position: h.now},
						}})
					}
				}
				if step%10 == 0 {
					requests++
					next = append(next, Event{Kind: RequestArrived, Request: RequestID(step + 1), Arrival: Arrival{
						Class: classAny, Group: step / 10 % 4, TimeLeft: time.Second,
					}})
				}
				events = append(next, Event{Kind: TimerFired})
				h.now += tickInterval
			}
		}
		if most := (probesPerRequest + probesPerRequestAlone/90) * float64(requests); float64(probes) > most || probes < nodes {
			t.Errorf("dead %v: %d probes for %d requests, most %.0f", dead, probes, requests, most)
		}
	}
}

// Where nodes check, a replica that followed closely when it last spoke keeps its keys, however long ago that was:
// with many routers each hears from it rarely.
func TestPresumedFreshWhereNodesCheck(t *testing.T) {
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

// Where nodes do not check, a read that no replica is proven fresh for asks one for its report and goes to it as
// soon as that proves it; after asksMost reports that do not, the primary takes it.
func TestReadAsksForAProof(t *testing.T) {
	for _, lag := range []time.Duration{50 * ms, time.Second} {
		h := newHarness(t, settings())
		h.now += 2 * time.Second
		events := []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
			Class: classBounded, Session: 7,
			TimeLeft: time.Second,
		}}}
		asked, sent := 0, NodeID(0)
		for range 20 {
			var next []Event
			for _, a := range h.r.Step(h.now, events, nil) {
				switch a.Kind {
				case Send:
					sent = a.Node
				case Probe:
					asked++
					next = append(next, Event{Kind: ProbeDone, Outcome: Outcome{
						Node:   a.Node,
						Report: Evidence{Role: map[bool]Role{true: Primary, false: Replica}[a.Node == 1], Position: h.now - lag},
					}})
				}
			}
			events, h.now = next, h.now+tickInterval
		}
		if fresh := lag < 200*ms; asked == 0 || fresh && sent <= 1 || !fresh && sent != 1 {
			t.Errorf("lag %v: %d probes, sent to node %d", lag, asked, sent)
		}
	}
}

// A group whose ring is empty must not be served by the replica that the walk of another group noted.
func TestDoubtStaysInItsGroup(t *testing.T) {
	s := settings()
	s.StaleReads, s.CanProbe = StaleRejected, false
	h := newHarness(t, s)
	h.now += 900 * ms
	h.probed(2, Replica, h.now-500*ms)
	h.probed(3, Replica, h.now-500*ms)
	h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Ready, Group: 1}}},
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Gone, Group: 1}}})
	for id := range RequestID(4) { // in turn, so that a walk of group 0 precedes each of group 1
		out := h.step(Event{Kind: RequestArrived, Request: id + 1, Arrival: Arrival{
			Class: classBounded,
			Group: int(id % 2), TimeLeft: time.Second,
		}})
		for _, a := range out {
			if a.Kind == Send && (a.Request == 2 || a.Request == 4) {
				t.Fatalf("a read of the empty group was sent to node %d", a.Node)
			}
		}
	}
}

// Where one node is full, all may be: reads turned away so are not sent on beyond the attempt budget.
func TestNoStormOfRetriesAtFullNodes(t *testing.T) {
	h := newHarness(t, settings())
	sends, refusals := 0, 0
	count := func(out []Action) (again bool) {
		for _, a := range out {
			switch a.Kind {
			case Send:
				sends++
				again = true
			case Reject:
				refusals++
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
	if most := reads*(1+retryBudgetShare) + maxRetryBudget; float64(sends) > most || refusals == 0 {
		t.Errorf("%d sends and %d refusals for %d reads at full nodes, want at most %.0f sends", sends, refusals, reads, most)
	}
}

// A jam is forgotten within seconds, however many routers there are: what one of them had in flight for a while
// must not close a node for minutes.
func TestCrowdIsForgotten(t *testing.T) {
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
	if crowd := h.r.estimatedInFlight(n); crowd > h.r.effectiveBound(n) {
		t.Errorf("crowd %v 20 s after the only request ended, bound %v", crowd, h.r.effectiveBound(n))
	}
}

// A replica whose answer has just shown that it lags is not asked to say so again.
func TestNoAskRightAfterAnAnswer(t *testing.T) {
	h := newHarness(t, settings())
	h.now += 2 * time.Second
	h.probed(2, Replica, h.now-time.Second)
	h.probed(3, Replica, h.now-time.Second)
	probes := 0
	for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
		Class:    classBounded,
		TimeLeft: time.Second,
	}}}, nil) {
		if a.Kind == Probe {
			probes++
		}
	}
	if probes != 0 {
		t.Errorf("%d probes of replicas that have just spoken", probes)
	}
}

// Nodes that take no more connections answer their probes and keep up with the log: back after seconds, they are not
// taken for cold, but one that stood still meanwhile, with no process there, is. Without probes to spare they are tried by requests.
func TestScarceConnections(t *testing.T) {
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
			t.Errorf("kept up %v: down %v, cold since %v", kept, n.ejected, n.restartedAt)
		}
		h.r.eject(n, false)
		h.r.probeBudget = 0
		if h.wait(5 * time.Second); n.ejected {
			t.Error("neither probed nor tried for 5 s")
		}
	}
}

// Of replicas without proof, a read asks one that followed closely when it last spoke, whatever the ring says: many
// routers that each ask the one far behind learn the same, each at its own price.
func TestAsksWhoFollowed(t *testing.T) {
	for behind := NodeID(2); behind <= 3; behind++ {
		for session := range uint64(8) {
			h := newHarness(t, settings())
			h.now += 10 * time.Second
			for id := NodeID(2); id <= 3; id++ {
				lag := 20 * ms
				if id == behind {
					lag = 2 * time.Second
				}
				h.probed(id, Replica, h.now-lag)
			}
			h.now += 5 * time.Second
			h.r.nextTick = h.now + time.Second // no other probes
			for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
				Class: classBounded, Session: session + 1, TimeLeft: time.Second,
			}}}, nil) {
				if a.Kind == Probe && a.Node == behind {
					t.Errorf("session %d: node %d is asked, 2 s behind when it last spoke", session, behind)
				}
			}
		}
	}
}

// A replica far behind is not asked again before part of its lag has passed: it cannot have caught up. Of many routers
// none asks before it may well have: they learn the same, each at its own price.
func TestNoAskWhileFarBehind(t *testing.T) {
	for _, c := range []struct {
		routers int
		after   time.Duration
		asks    bool
	}{{3, 200 * ms, false}, {3, 1500 * ms, true}, {80, 1500 * ms, false}, {80, 4 * time.Second, true}} {
		s := settings()
		s.Routers = c.routers
		h := newHarness(t, s)
		h.now += 10 * time.Second
		h.probed(2, Replica, h.now-4*time.Second)
		h.probed(3, Replica, h.now-4*time.Second)
		h.now += c.after
		h.r.nextTick = h.now + time.Second // no other probes
		asked := false
		for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
			Class: classBounded, TimeLeft: time.Second,
		}}}, nil) {
			asked = asked || a.Kind == Probe
		}
		if asked != c.asks {
			t.Errorf("%d routers, %v after the word of replicas 4 s behind: asked %v", c.routers, c.after, asked)
		}
	}
}

// Routers that lose the list together, as when its service restarts, must not ask for it together again and again: a
// service that takes calls in turn and works for callers that have given up would never answer one. This one takes
// 150 a second; a caller waits 2 s. Every router has its list again before what the list tells binds it, and one call
// for each is nearly enough.
func TestListCallsOfAllRoutersTogether(t *testing.T) {
	for _, routers := range []int{3, 80, 300} {
		s := settings()
		s.Routers, s.ListIsPolled, s.ListBindsAfter = routers, true, 6*time.Second
		const work, patience = time.Second / 150, 2 * time.Second
		var all []*Router
		answers := map[time.Duration][]int{} // by the tick at which they come; negative: a failure, of router -i-1
		for i := range routers {
			all = append(all, New(s, uint64(i)*7919+1))
			answers[start] = append(answers[start], -i-1)
		}
		calls, last, free := 0, start, start // free: when the service has done all calls so far
		for now := start; now < start+time.Minute; now += tickInterval {
			events := make([]Event, routers)
			for i := range events {
				events[i] = Event{Kind: TimerFired}
			}
			for _, i := range answers[now] {
				if i < 0 {
					events[-i-1] = Event{Kind: ListFailed}
				} else {
					events[i], last = Event{Kind: ListComplete, Nodes: []Node{{ID: 1, State: Ready}}}, now
				}
			}
			for i, r := range all {
				for _, a := range r.Step(now, events[i:i+1], nil) {
					if a.Kind != Subscribe {
						continue
					}
					calls++
					free = max(free, now) + work
					at, what := free, i
					if free > now+patience {
						at, what = now+patience, -i-1
					}
					at = (at + tickInterval - 1) / tickInterval * tickInterval
					answers[max(at, now+tickInterval)] = append(answers[max(at, now+tickInterval)], what)
				}
			}
		}
		if last > start+s.ListBindsAfter+s.DrainGrace || calls < routers || calls > routers*5/4 {
			t.Errorf("%d routers: the last list %v after the loss, after %d calls", routers, last-start, calls)
		}
	}
}

// Watches that worked break at all routers at once, as when the service drops its connections or falls silent. Nothing waits at
// the service yet, so none rests first: each asks within a sixth of the time after which what it misses binds. This service takes as
// many calls as there are routers in four seconds, one after the other, and turns away at once what would wait over two: it is kept
// at work, and every router has the list hardly later than it can have it.
func TestWatchesThatBreakAreOpenedAnewAtOnce(t *testing.T) {
	for _, routers := range []int{1, 5, 32, 300} {
		s := settings()
		s.Routers, s.ListIsPolled, s.ListBindsAfter = routers, true, 6*time.Second
		const patience = 2 * time.Second
		work := 4 * time.Second / time.Duration(max(routers, 10))
		var all []*harness
		for i := range routers {
			h := &harness{t, New(s, uint64(i)*7919+1), start}
			h.list(Node{ID: 1, State: Ready})
			h.list(Node{ID: 1, State: Ready}) // the answer to what it has asked for
			h.step(Event{Kind: ListFailed})
			all = append(all, h)
		}
		first, due := map[int]time.Duration{}, map[int]time.Duration{} // when each asked first, and has its answer
		calls, free := 0, start
		for now := start; len(due) < routers; now += tickInterval {
			if now > start+time.Minute {
				t.Fatalf("%d routers: %d have the list", routers, len(due))
			}
			for i, h := range all {
				for _, a := range h.wait(tickInterval) {
					if a.Kind != Subscribe {
						continue
					}
					calls++
					if _, before := first[i]; !before {
						first[i] = h.now
					}
					if free = max(free, h.now); free > h.now+patience {
						h.step(Event{Kind: ListFailed})
					} else {
						free += work
						due[i] = free
					}
				}
			}
		}
		over := min(max(minBackoff, time.Duration(routers)*subscribeSpreadPerRouter), s.ListBindsAfter/3) / 2
		for i := range routers {
			if first[i] > start+over+retrySpacing+tickInterval {
				t.Errorf("%d routers: one asks first after %v", routers, first[i]-start)
			}
			if most := start + over + time.Duration(routers)*work + time.Second; due[i] > most {
				t.Errorf("%d routers: one has the list after %v, in %d calls of all", routers, due[i]-start, calls)
			}
		}
	}
}

// After a call that waited in vain there is a rest, for as long as the calls are then spread; one that is turned away at once is made
// again in half of that. Both end well before what the list tells binds, and do not grow with the failures: a service that
// comes back is asked by all in that time.
func TestFailedListCallsRestFirst(t *testing.T) {
	for _, c := range []struct {
		routers int
		over    time.Duration
	}{{1, 500 * ms}, {5, 500 * ms}, {12, 1200 * ms}, {300, 2 * time.Second}} {
		for seed := range uint64(20) {
			s := settings()
			s.Routers, s.ListIsPolled, s.ListBindsAfter = c.routers, true, 6*time.Second
			h := &harness{t, New(s, seed), start}
			h.list(Node{ID: 1, State: Ready})
			for range 6 {
				h.want("unanswered", h.wait(2*time.Second))
				h.step(Event{Kind: ListFailed})
				h.want("while resting", h.wait(c.over-retrySpacing))
				h.want("after the rest", h.wait(c.over+3*retrySpacing), Subscribe)
			}
			h.list(Node{ID: 1, State: Ready})
			for range 6 { // each is turned away in the moment in which it is made
				h.step(Event{Kind: ListFailed})
				var out []Action
				for failed := h.now; len(out) == 0; out = h.wait(tickInterval) {
					if h.now > failed+c.over/2+2*retrySpacing {
						t.Fatalf("%d routers: turned away at once, and not made again in %v", c.routers, c.over/2)
					}
				}
				h.want("made again", out, Subscribe)
			}
		}
	}
}

// However many routers there are and however often it failed, a router asks again before what the list has to tell
// binds it unheard.
func TestListCallsHaveAnEnd(t *testing.T) {
	for _, binds := range []time.Duration{6 * time.Second, 2 * time.Second} {
		for _, routers := range []int{1, 3, 80, 300, 5000} {
			for seed := range uint64(20) {
				s := settings()
				s.Routers, s.ListIsPolled, s.ListBindsAfter = routers, true, binds
				h := &harness{t, New(s, seed), start}
				h.list(Node{ID: 1, State: Ready})
				for failure := range 6 {
					h.step(Event{Kind: ListFailed})
					h.want("after failure "+string(rune('1'+failure)), h.wait(binds), Subscribe)
				}
			}
		}
	}
}

// A router with nothing to place looks round a few times a second, not a hundred: so many of them, idle, would wake their
// machine for nothing. With a request open it is back at once.
func TestIdleRouterRests(t *testing.T) {
	h := newHarness(t, settings())
	h.now += time.Second
	due := h.now
	step := func(e Event) {
		for _, a := range h.r.Step(h.now, []Event{e}, nil) {
			if a.Kind == SetTimer {
				due = h.now + a.Delay
			}
		}
	}
	wakes := func() (n int) {
		for end := h.now + time.Second; h.now < end; h.now += ms {
			if h.now >= due {
				step(Event{Kind: TimerFired})
				n++
			}
		}
		return n
	}
	if n := wakes(); n > int(time.Second/retrySpacing)+1 {
		t.Errorf("%d wakes in an idle second", n)
	}
	h.r.byID[1].role = Replica // nobody leads
	step(Event{Kind: RequestArrived, Request: 7, Arrival: Arrival{Class: classWrite, TimeLeft: time.Minute}})
	if n := wakes(); n < int(time.Second/tickInterval)-1 {
		t.Errorf("%d wakes in a second with a request open", n)
	}
}
