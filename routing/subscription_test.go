package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listCallTimeout is the timeout of a call to the discovery service.
const listCallTimeout = 2 * time.Second

// newPolledSettings returns settings for routers that poll the endpoint list. Lists bind after 6 s.
func newPolledSettings(routers int) Settings {
	settings := defaultSettings()
	settings.Routers, settings.ListIsPolled, settings.ListBindsAfter = routers, true, 6*time.Second
	return settings
}

// If the list is polled, a call is repeated after a failure, but not while it is pending or after it has succeeded.
func TestFailedListCallIsRepeated(t *testing.T) {
	settings := defaultSettings()
	settings.ListIsPolled = true
	harness := newEmptyHarness(t, settings, 1)
	harness.requireActions("start", harness.list(Node{ID: 1, State: Ready}), Subscribe)
	harness.requireActions("unanswered", harness.wait(time.Second))
	harness.step(Event{Kind: ListFailed})
	harness.requireActions("after a failure", harness.wait(time.Second), Subscribe)
	harness.step(Event{Kind: ListUpdated})
	harness.requireActions("subscribed", harness.wait(20*time.Second))
}

// listResult is the result of a router's call for the list.
type listResult struct {
	router int
	failed bool
}

// event returns the event that the router receives.
func (r listResult) event() Event {
	if r.failed {
		return Event{Kind: ListFailed}
	}
	return Event{Kind: ListComplete, Nodes: []Node{{ID: 1, State: Ready}}}
}

// serialListService answers calls for the list one after another, even those that have timed out.
type serialListService struct {
	workPerCall time.Duration
	calls       int
	freeAt      time.Duration                  // when all calls so far are completed
	results     map[time.Duration][]listResult // by the tick at which the router receives them
	lastList    time.Duration                  // when a router last received the list
}

// call queues a router's call. The result arrives at a later tick.
func (s *serialListService) call(router int, now time.Duration) {
	s.calls++
	s.freeAt = max(s.freeAt, now) + s.workPerCall
	at, failed := s.freeAt, false
	if at > now+listCallTimeout {
		at, failed = now+listCallTimeout, true
	}
	tick := (at + tickInterval - 1) / tickInterval * tickInterval
	tick = max(tick, now+tickInterval)
	s.results[tick] = append(s.results[tick], listResult{router, failed})
}

// events returns one event for each router at a tick: the result of its call or, without one, TimerFired.
func (s *serialListService) events(routers int, now time.Duration) []Event {
	events := make([]Event, routers)
	for i := range events {
		events[i] = Event{Kind: TimerFired}
	}
	for _, result := range s.results[now] {
		events[result.router] = result.event()
		if !result.failed {
			s.lastList = now
		}
	}
	return events
}

// Routers that lose the list together, for example when its service restarts, must not repeat their calls together: a
// service that handles calls one after another, even those that have timed out, would never answer one in time. The
// service here handles 150 calls per second, and calls time out after 2 s. Every router must receive the list before it
// binds, with little more than one call per router.
func TestEveryRouterReceivesTheListFromASerialService(t *testing.T) {
	for _, count := range []int{3, 80, 300} {
		t.Run(fmt.Sprintf("%d routers", count), func(t *testing.T) {
			settings := newPolledSettings(count)
			service := &serialListService{
				workPerCall: time.Second / 150, freeAt: start, lastList: start,
				results: map[time.Duration][]listResult{},
			}
			var routers []*Router
			for i := range count {
				routers = append(routers, New(settings, uint64(i)*7919+1))
				service.results[start] = append(service.results[start], listResult{i, true})
			}
			for now := start; now < start+time.Minute; now += tickInterval {
				events := service.events(count, now)
				for i, router := range routers {
					for range countKind(router.Step(now, events[i:i+1], nil), Subscribe) {
						service.call(i, now)
					}
				}
			}
			require.LessOrEqual(t, service.lastList, start+settings.ListBindsAfter+settings.DrainGrace,
				"time of the last list, after %d calls", service.calls)
			require.GreaterOrEqual(t, service.calls, count)
			require.LessOrEqual(t, service.calls, count*5/4)
		})
	}
}

// busyListService answers calls one after another and rejects those at once that would wait too long.
type busyListService struct {
	workPerCall time.Duration
	calls       int
	freeAt      time.Duration         // when all calls so far are completed
	firstCall   map[int]time.Duration // by router
	listAt      map[int]time.Duration // by router: when the list is received
}

// call queues or rejects a router's call.
func (s *busyListService) call(index int, harness *routerHarness) {
	s.calls++
	if _, before := s.firstCall[index]; !before {
		s.firstCall[index] = harness.now
	}
	s.freeAt = max(s.freeAt, harness.now)
	if s.freeAt > harness.now+listCallTimeout {
		harness.step(Event{Kind: ListFailed})
		return
	}
	s.freeAt += s.workPerCall
	s.listAt[index] = s.freeAt
}

// The subscriptions of all routers break at the same time, for example because the service closes its connections or
// stops answering. The service has no backlog of calls yet: each router calls without a backoff, within a sixth of
// ListBindsAfter. The service here needs at most four seconds for one call of each router and rejects calls at once
// that would wait for more than two. It must not become idle, and the last list must arrive little later than the
// service allows.
func TestBrokenSubscriptionsAreReopenedWithoutBackoff(t *testing.T) {
	for _, count := range []int{1, 5, 32, 300} {
		t.Run(fmt.Sprintf("%d routers", count), func(t *testing.T) {
			settings := newPolledSettings(count)
			service := &busyListService{
				workPerCall: 4 * time.Second / time.Duration(max(count, 10)), freeAt: start,
				firstCall: map[int]time.Duration{}, listAt: map[int]time.Duration{},
			}
			var harnesses []*routerHarness
			for i := range count {
				harness := newEmptyHarness(t, settings, uint64(i)*7919+1)
				harness.list(Node{ID: 1, State: Ready})
				harness.list(Node{ID: 1, State: Ready}) // the answer to the router's call
				harness.step(Event{Kind: ListFailed})
				harnesses = append(harnesses, harness)
			}
			for now := start; len(service.listAt) < count; now += tickInterval {
				require.LessOrEqual(t, now, start+time.Minute, "only %d routers have the list", len(service.listAt))
				for i, harness := range harnesses {
					for range countKind(harness.wait(tickInterval), Subscribe) {
						service.call(i, harness)
					}
				}
			}
			spread := max(minBackoff, time.Duration(count)*subscribeSpreadPerRouter)
			spread = min(spread, settings.ListBindsAfter/3) / 2
			lastList := start + spread + time.Duration(count)*service.workPerCall + time.Second
			for i := range count {
				require.LessOrEqual(t, service.firstCall[i], start+spread+retrySpacing+tickInterval, "first call")
				require.LessOrEqual(t, service.listAt[i], lastList, "list, after %d calls in all", service.calls)
			}
		})
	}
}

// After a call that timed out, a router waits for the length of the spread and then calls within the spread. After a
// call that was rejected at once, it calls within half of the spread. Both waits end well before the list binds and do
// not grow with further failures: all routers call a service that has recovered within that time.
func TestFailedListCallsBackOffFirst(t *testing.T) {
	for _, testCase := range []struct {
		routers int
		spread  time.Duration
	}{{1, 500 * ms}, {5, 500 * ms}, {12, 1200 * ms}, {300, 2 * time.Second}} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d routers, seed %d", testCase.routers, seed), func(t *testing.T) {
				harness := newEmptyHarness(t, newPolledSettings(testCase.routers), seed)
				harness.list(Node{ID: 1, State: Ready})
				for range 6 {
					harness.requireActions("unanswered", harness.wait(2*time.Second))
					harness.step(Event{Kind: ListFailed})
					harness.requireActions("during the backoff", harness.wait(testCase.spread-retrySpacing))
					harness.requireActions("after the backoff", harness.wait(testCase.spread+3*retrySpacing), Subscribe)
				}
				harness.list(Node{ID: 1, State: Ready})
				for range 6 { // each call is rejected at once
					harness.step(Event{Kind: ListFailed})
					var actions []Action
					for failed := harness.now; len(actions) == 0; actions = harness.wait(tickInterval) {
						require.LessOrEqual(t, harness.now, failed+testCase.spread/2+2*retrySpacing,
							"a call that was rejected at once was not repeated in time")
					}
					harness.requireActions("repeated", actions, Subscribe)
				}
			})
		}
	}
}

// For any number of routers and of failures, a router calls again before a list binds that it has not received.
func TestListCallsEndBeforeTheListBinds(t *testing.T) {
	for _, bindsAfter := range []time.Duration{6 * time.Second, 2 * time.Second} {
		for _, routers := range []int{1, 3, 80, 300, 5000} {
			for seed := range uint64(20) {
				name := fmt.Sprintf("binds after %v, %d routers, seed %d", bindsAfter, routers, seed)
				t.Run(name, func(t *testing.T) {
					settings := newPolledSettings(routers)
					settings.ListBindsAfter = bindsAfter
					harness := newEmptyHarness(t, settings, seed)
					harness.list(Node{ID: 1, State: Ready})
					for failure := range 6 {
						harness.step(Event{Kind: ListFailed})
						label := fmt.Sprint("after failure ", failure+1)
						harness.requireActions(label, harness.wait(bindsAfter), Subscribe)
					}
				})
			}
		}
	}
}
