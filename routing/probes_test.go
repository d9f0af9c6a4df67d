package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A probe that was never sent, as the router's own machine lacked something, is no evidence on the node, however
// often; one that could not connect is.
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
			harness.requireActions("a write after the probes", harness.arrive(7, classWrite), testCase.want...)
		})
	}
}

// probedFleet counts the probes and requests of routers before nodes that all answer requests, and answer probes or
// time them out.
type probedFleet struct {
	probes, requests int
	probeStatus      Status
}

// playOneRouter runs one router, with ten requests a second, for that many seconds.
func (f *probedFleet) playOneRouter(harness *routerHarness, nodes []Node, seconds int) {
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

// results are what comes of an action.
func (f *probedFleet) results(action Action, now time.Duration) []Event {
	evidence := Evidence{Role: Replica, Position: now}
	switch action.Kind {
	case Probe:
		f.probes++
		return []Event{{Kind: ProbeDone, Outcome: Outcome{
			Node: action.Node, Status: f.probeStatus, Report: evidence,
		}}}
	case Send:
		return []Event{{Kind: AttemptDone, Request: action.Request, Outcome: Outcome{
			Node: action.Node, Status: OK, Duration: 10 * ms, Final: true, Note: evidence,
		}}}
	}
	return nil
}

// Routers that have little traffic must not probe more than they send: 90 of them, ten requests a second each, stay
// within the share that requests pay for, on sound and on dead nodes. A start or a new list gives no more.
func TestProbesOfAllRoutersTogether(t *testing.T) {
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
			for seed := range uint64(3) { // every router acts alike but for its seed
				fleet.playOneRouter(newEmptyHarness(t, settings, seed), nodes, seconds)
			}
			most := (probesPerRequest + extraProbesPerRequest/90) * float64(fleet.requests)
			require.LessOrEqual(t, float64(fleet.probes), most, "probes for %d requests", fleet.requests)
			require.GreaterOrEqual(t, fleet.probes, count)
		})
	}
}

// proofSearch is a read that waits for a replica's report.
type proofSearch struct {
	probes int
	sentTo NodeID
}

// results are what comes of an action, where every node's position lags by as much.
func (p *proofSearch) results(action Action, position time.Duration) []Event {
	switch action.Kind {
	case Send:
		p.sentTo = action.Node
	case Probe:
		p.probes++
		evidence := Evidence{Role: Replica, Position: position}
		if action.Node == 1 {
			evidence.Role = Primary
		}
		return []Event{{Kind: ProbeDone, Outcome: Outcome{Node: action.Node, Report: evidence}}}
	}
	return nil
}

// Where nodes do not check, a read that no replica is proven fresh for probes one and goes to it as soon as its report
// proves it; after maxProbesPerRead reports that do not, the primary takes it.
func TestReadProbesForAProof(t *testing.T) {
	for name, testCase := range map[string]struct {
		lag   time.Duration // of the reported positions
		fresh bool          // that is recent enough for the read
	}{
		"reports are fresh": {50 * ms, true},
		"reports are stale": {time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			harness.now += 2 * time.Second
			events := []Event{arrivalEvent(7, Arrival{Class: classBounded, Session: 7, TimeLeft: time.Second})}
			var search proofSearch
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
				require.Greater(t, search.sentTo, NodeID(1), "a replica")
			} else {
				require.Equal(t, NodeID(1), search.sentTo, "the primary")
			}
		})
	}
}

// A group whose ring is empty must not be served by the replica that the search of another group found.
func TestProbeCandidateStaysInItsGroup(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) {
		settings.StaleReads, settings.CanProbe = StaleRejected, false
	})
	harness.now += 900 * ms
	harness.probed(2, Replica, harness.now-500*ms)
	harness.probed(3, Replica, harness.now-500*ms)
	harness.step(
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Ready, Group: 1}}},
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Gone, Group: 1}}},
	)
	for id := range RequestID(4) { // in turn, so that a search of group 0 precedes each of group 1
		actions := harness.arriveAs(id+1, Arrival{Class: classBounded, Group: int(id % 2), TimeLeft: time.Second})
		for _, action := range actions {
			toEmptyGroup := action.Request == 2 || action.Request == 4
			require.False(t, action.Kind == Send && toEmptyGroup,
				"a read of the empty group was sent to node %d", action.Node)
		}
	}
}

// A replica whose report has just proved that it lags is not probed again.
func TestNoProbeRightAfterAReport(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.now += 2 * time.Second
	harness.probed(2, Replica, harness.now-time.Second)
	harness.probed(3, Replica, harness.now-time.Second)
	probed := harness.probes(arrivalEvent(7, Arrival{Class: classBounded, TimeLeft: time.Second}))
	require.Empty(t, probed, "replicas that have just reported")
}

// Of replicas without proof, a read probes one that was close behind in its last report, whatever the ring says: many
// routers that each probe the one far behind learn the same, each at its own price.
func TestReadProbesTheReplicaThatWasCloseBehind(t *testing.T) {
	for _, behind := range []NodeID{2, 3} {
		for session := range uint64(8) {
			t.Run(fmt.Sprintf("node %d behind, session %d", behind, session+1), func(t *testing.T) {
				harness := newHarness(t, defaultSettings())
				harness.now += 10 * time.Second
				for _, id := range []NodeID{2, 3} {
					lag := 20 * ms
					if id == behind {
						lag = 2 * time.Second
					}
					harness.probed(id, Replica, harness.now-lag)
				}
				harness.now += 5 * time.Second
				harness.router.nextTick = harness.now + time.Second // no other probes
				arrival := Arrival{Class: classBounded, Session: session + 1, TimeLeft: time.Second}
				require.NotContains(t, harness.probes(arrivalEvent(7, arrival)), behind)
			})
		}
	}
}

// A replica far behind is not probed again before part of its lag has passed: it cannot have caught up. Of many
// routers none probes it before it may well have: they learn the same, each at its own price.
func TestNoProbeOfAReplicaFarBehind(t *testing.T) {
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
			harness.probed(2, Replica, harness.now-4*time.Second)
			harness.probed(3, Replica, harness.now-4*time.Second)
			harness.now += testCase.after
			harness.router.nextTick = harness.now + time.Second // no other probes
			probed := harness.probes(arrivalEvent(7, Arrival{Class: classBounded, TimeLeft: time.Second}))
			require.Equal(t, testCase.probed, len(probed) > 0, "%v", probed)
		})
	}
}
