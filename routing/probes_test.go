package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A probe that was never sent, because the router's machine lacked a resource, says nothing about the node, even if it
// recurs. A probe that could not connect counts as a failure of the node.
func TestProbesThatWereNeverSentAreNoEvidence(t *testing.T) {
	for name, testCase := range map[string]struct {
		status Status
		want   []ActionKind
	}{
		"not sent":       {NotSent, []ActionKind{Send}},
		"connect failed": {ConnectFailed, nil},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			for range 8 {
				harness.probeFailed(1, testCase.status)
			}
			harness.requireActions("write after the probes", harness.arrive(7, classWrite), testCase.want...)
		})
	}
}

// probedFleet simulates nodes that answer all requests and end all probes with probeStatus. It counts the probes and
// requests of the routers.
type probedFleet struct {
	probes, requests int
	probeStatus      Status
}

// runRouter runs one router with ten requests per second for the given number of seconds.
func (f *probedFleet) runRouter(harness *routerHarness, nodes []Node, seconds int) {
	events := []Event{{Kind: ListComplete, Nodes: nodes}}
	for step := range seconds * 100 {
		var next []Event
		for _, action := range harness.router.Step(harness.now, events, nil) {
			next = append(next, f.results(action, harness.now)...)
		}
		if step%10 == 0 {
			f.requests++
			next = append(next, arrivalEvent(RequestID(step+1), Arrival{
				Class: classAny, Group: step / 10 % 4, TimeLeft: time.Second,
			}))
		}
		events = append(next, Event{Kind: TimerFired})
		harness.now += tickInterval
	}
}

// results returns the events that result from an action.
func (f *probedFleet) results(action Action, now time.Duration) []Event {
	evidence := Evidence{Role: Replica, Position: now}
	switch action.Kind {
	case Probe:
		f.probes++
		return []Event{{Kind: ProbeDone, Outcome: Outcome{
			Node: action.Node, Status: f.probeStatus, HealthReport: evidence,
		}}}
	case Send:
		return []Event{{Kind: AttemptDone, Request: action.Request, Outcome: Outcome{
			Node: action.Node, Status: OK, Duration: 10 * ms, Final: true, AnswerEvidence: evidence,
		}}}
	}
	return nil
}

// Routers with little traffic must not send more probes than requests. 90 routers with ten requests per second each
// stay within the probe budget that their requests add, for healthy and for dead nodes. A start or a new list adds
// nothing to the budget.
func TestProbesOfAllRoutersStayWithinTheBudget(t *testing.T) {
	for name, status := range map[string]Status{"nodes answer": OK, "nodes are dead": TimedOut} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.Routers = 90
			const count, seconds = 20, 60
			var nodes []Node
			for id := range count {
				nodes = append(nodes, Node{ID: NodeID(id + 1), State: Ready, Group: id / 5})
			}
			fleet := &probedFleet{probeStatus: status}
			for seed := range uint64(3) { // a sample of the routers, which differ only in their seeds
				fleet.runRouter(newEmptyHarness(t, settings, seed), nodes, seconds)
			}
			most := (probesPerRequest + extraProbesPerRequest/90) * float64(fleet.requests)
			require.LessOrEqual(t, float64(fleet.probes), most, "probes for %d requests", fleet.requests)
			require.GreaterOrEqual(t, fleet.probes, count)
		})
	}
}

// probeSearch records the probes that a waiting read triggers and the node to which it is sent.
type probeSearch struct {
	probes int
	sentTo NodeID
}

// results returns the events that result from an action if every node reports the given position.
func (p *probeSearch) results(action Action, position time.Duration) []Event {
	switch action.Kind {
	case Send:
		p.sentTo = action.Node
	case Probe:
		p.probes++
		evidence := Evidence{Role: Replica, Position: position}
		if action.Node == 1 {
			evidence.Role = Primary
		}
		return []Event{{Kind: ProbeDone, Outcome: Outcome{Node: action.Node, HealthReport: evidence}}}
	}
	return nil
}

// If nodes answer stale reads and no replica is known to be fresh, a read probes one. It is sent to that replica once a
// report shows that it is fresh. After maxProbesPerRead reports of stale data, it is sent to the primary.
func TestReadWaitsForAProbeOrGoesToThePrimary(t *testing.T) {
	for name, testCase := range map[string]struct {
		lag   time.Duration // of the reported positions
		fresh bool          // the lag is within MaxAge
	}{
		"reports are fresh": {50 * ms, true},
		"reports are stale": {time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			harness.now += 2 * time.Second
			events := []Event{arrivalEvent(7, Arrival{Class: classBounded, Session: 7, TimeLeft: time.Second})}
			var search probeSearch
			for range 20 {
				var next []Event
				for _, action := range harness.router.Step(harness.now, events, nil) {
					next = append(next, search.results(action, harness.now-testCase.lag)...)
				}
				events = next
				harness.now += tickInterval
			}
			require.Positive(t, search.probes)
			if testCase.fresh {
				require.Greater(t, search.sentTo, NodeID(1), "not sent to a replica")
			} else {
				require.Equal(t, NodeID(1), search.sentTo, "not sent to the primary")
			}
		})
	}
}

// A read of a group whose ring is empty must not be sent to the probe candidate of another group's search.
func TestProbeCandidateStaysInItsGroup(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) {
		settings.StaleReads, settings.CanProbe = StaleRejected, false
	})
	harness.now += 900 * ms
	harness.probeSucceeded(2, Replica, harness.now-500*ms)
	harness.probeSucceeded(3, Replica, harness.now-500*ms)
	harness.step(
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Ready, Group: 1}}},
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Gone, Group: 1}}},
	)
	for id := range RequestID(4) { // alternates: a search of group 0 precedes each search of group 1
		actions := harness.arriveAs(id+1, Arrival{Class: classBounded, Group: int(id % 2), TimeLeft: time.Second})
		for _, action := range actions {
			toEmptyGroup := action.Request == 2 || action.Request == 4
			require.False(t, action.Kind == Send && toEmptyGroup,
				"read of the empty group sent to node %d", action.Node)
		}
	}
}

// A replica that has just reported a lag beyond MaxAge is not probed again.
func TestNoProbeRightAfterAReport(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.now += 2 * time.Second
	harness.probeSucceeded(2, Replica, harness.now-time.Second)
	harness.probeSucceeded(3, Replica, harness.now-time.Second)
	probed := harness.probes(arrivalEvent(7, Arrival{Class: classBounded, TimeLeft: time.Second}))
	require.Empty(t, probed, "probes of replicas that have just reported")
}

// Among replicas that are not known to be fresh, a read probes one with little lag in its last report, regardless of
// their order on the ring. Otherwise, each of many routers would spend a probe on the lagging replica for the same
// result.
func TestReadProbesTheReplicaWithLittleLag(t *testing.T) {
	for _, lagging := range []NodeID{2, 3} {
		for session := range uint64(8) {
			t.Run(fmt.Sprintf("node %d lags, session %d", lagging, session+1), func(t *testing.T) {
				harness := newHarness(t, defaultSettings())
				harness.now += 10 * time.Second
				for _, id := range []NodeID{2, 3} {
					lag := 20 * ms
					if id == lagging {
						lag = 2 * time.Second
					}
					harness.probeSucceeded(id, Replica, harness.now-lag)
				}
				harness.now += 5 * time.Second
				harness.router.nextTick = harness.now + time.Second // no other probes
				arrival := Arrival{Class: classBounded, Session: session + 1, TimeLeft: time.Second}
				require.NotContains(t, harness.probes(arrivalEvent(7, arrival)), lagging)
			})
		}
	}
}

// A replica with a large lag is not probed again before a part of that lag has passed: it cannot have caught up. The
// part grows with the number of routers: each of them would spend a probe for the same result.
func TestLaggingReplicaIsNotProbedTooEarly(t *testing.T) {
	for name, testCase := range map[string]struct {
		routers int
		after   time.Duration // of the report
		probed  bool
	}{
		"few routers, soon":  {3, 200 * ms, false},
		"few routers, later": {3, 1500 * ms, true},
		"many routers, soon": {80, 1500 * ms, false},
		"many routers, late": {80, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWith(t, func(settings *Settings) { settings.Routers = testCase.routers })
			harness.now += 10 * time.Second
			harness.probeSucceeded(2, Replica, harness.now-4*time.Second)
			harness.probeSucceeded(3, Replica, harness.now-4*time.Second)
			harness.now += testCase.after
			harness.router.nextTick = harness.now + time.Second // no other probes
			probed := harness.probes(arrivalEvent(7, Arrival{Class: classBounded, TimeLeft: time.Second}))
			require.Equal(t, testCase.probed, len(probed) > 0, "%v", probed)
		})
	}
}
