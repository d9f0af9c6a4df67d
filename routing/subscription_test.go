package routing

import (
	"testing"
	"time"
)

// Where the list must be asked for, a failed call is repeated, ever later.
func TestFailedListCallIsRepeated(t *testing.T) {
	s := settings()
	s.ListIsPolled = true
	h := &harness{t, New(s, 1), start}
	h.want("start", h.list(Node{ID: 1, State: Ready}), Subscribe)
	h.want("unanswered", h.wait(time.Second))
	h.step(Event{Kind: ListFailed})
	h.want("after a failure", h.wait(time.Second), Subscribe)
	h.step(Event{Kind: ListUpdated})
	h.want("subscribed", h.wait(20*time.Second))
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

// Watches that worked break at all routers at once, as when the service drops its connections or falls silent.
// Nothing waits at the service yet, so none rests first: each asks within a sixth of the time after which what it
// misses binds. This service takes as many calls as there are routers in four seconds, one after the other, and
// rejects at once what would wait over two: it is kept at work, and every router has the list hardly later than it
// can have it.
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

// After a call that waited in vain there is a rest, for as long as the calls are then spread; one that is rejected
// at once is made again in half of that. Both end well before what the list tells binds, and do not grow with the
// failures: a service that comes back is asked by all in that time.
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
			for range 6 { // each is rejected in the moment in which it is made
				h.step(Event{Kind: ListFailed})
				var out []Action
				for failed := h.now; len(out) == 0; out = h.wait(tickInterval) {
					if h.now > failed+c.over/2+2*retrySpacing {
						t.Fatalf("%d routers: rejected at once, and not made again in %v", c.routers, c.over/2)
					}
				}
				h.want("made again", out, Subscribe)
			}
		}
	}
}

// However many routers there are and however often it failed, a router asks again before what the list has to tell
// binds it unheard.
func TestListCallsEndBeforeTheListBinds(t *testing.T) {
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
