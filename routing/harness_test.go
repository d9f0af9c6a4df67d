package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the time of the router's clock at which tests begin.
const start = time.Hour

// The classes of defaultSettings.
const (
	classAny = iota
	classBounded
	classSession
	classFresh
	classWrite
	classKeyed
)

// defaultSettings returns settings for one router, with a class of each kind.
func defaultSettings() Settings {
	return Settings{
		Routers: 1, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true,
		CanProbe: true, CanHedge: true, DrainGrace: time.Second, SlowStartShare: 0.2,
		SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second, OverQuota: 0.1,
		Classes: []Class{
			classAny: {
				Read: AnyRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, LateWeight: 0.2,
			},
			classBounded: {
				Read: BoundedRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, MaxAge: 200 * ms,
			},
			classSession: {Read: SessionRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classFresh:   {Read: FreshRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classWrite: {
				Read: Write, Effect: NonIdempotent, LatencyObjective: 200 * ms, Deadline: 2 * time.Second, Weight: 2,
			},
			classKeyed: {
				Read: Write, Effect: Deduplicated, DedupGroup: DedupReplicaGroup, DedupWindow: 500 * ms,
				LatencyObjective: 200 * ms, Deadline: 2 * time.Second, Weight: 2,
			},
		},
	}
}

// routerHarness drives a router with a simulated clock.
type routerHarness struct {
	t      testing.TB
	router *Router
	now    time.Duration
}

// newEmptyHarness returns a harness whose router has no endpoint list yet.
func newEmptyHarness(t testing.TB, settings Settings, seed uint64) *routerHarness {
	return &routerHarness{t: t, router: New(settings, seed), now: start}
}

// newHarness returns a harness whose router has a group of three ready nodes. Node 1 has reported that it is the
// primary, and each node has reported the present as its position.
func newHarness(t testing.TB, settings Settings) *routerHarness {
	harness := newEmptyHarness(t, settings, 1)
	harness.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	harness.reportAll()
	return harness
}

// newHarnessWith is like newHarness, with the default settings after a change to them.
func newHarnessWith(t testing.TB, change func(settings *Settings)) *routerHarness {
	settings := defaultSettings()
	change(&settings)
	return newHarness(t, settings)
}

// step passes the events to the router and returns its actions without timers and probes.
func (h *routerHarness) step(events ...Event) []Action {
	var actions []Action
	for _, action := range h.router.Step(h.now, events, nil) {
		if action.Kind != SetTimer && action.Kind != Probe {
			actions = append(actions, action)
		}
	}
	return actions
}

// probes passes one event to the router and returns the nodes that it probes.
func (h *routerHarness) probes(event Event) []NodeID {
	var probed []NodeID
	for _, action := range h.router.Step(h.now, []Event{event}, nil) {
		if action.Kind == Probe {
			probed = append(probed, action.Node)
		}
	}
	return probed
}

// countKind returns how many of the actions are of the given kind.
func countKind(actions []Action, kind ActionKind) (count int) {
	for _, action := range actions {
		if action.Kind == kind {
			count++
		}
	}
	return count
}

// list passes a complete endpoint list to the router.
func (h *routerHarness) list(nodes ...Node) []Action {
	return h.step(Event{Kind: ListComplete, Nodes: nodes})
}

// probeSucceeded passes a successful probe to the router, with the role and the position that the node reports.
func (h *routerHarness) probeSucceeded(id NodeID, role Role, position time.Duration) []Action {
	return h.step(Event{
		Kind:    ProbeDone,
		Outcome: Outcome{Node: id, HealthReport: Evidence{Role: role, Position: position}},
	})
}

// probeFailed passes a failed probe of the node to the router.
func (h *routerHarness) probeFailed(id NodeID, status Status) {
	h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: id, Status: status}})
}

// reportAll passes a successful probe of each node of newHarness. The position of each report is the present.
func (h *routerHarness) reportAll() {
	h.probeSucceeded(1, Primary, h.now)
	h.probeSucceeded(2, Replica, h.now)
	h.probeSucceeded(3, Replica, h.now)
}

// arrive passes a request to the router. Its session has the same number as the request, and no other request uses it.
func (h *routerHarness) arrive(id RequestID, class int) []Action {
	return h.arriveAs(id, Arrival{
		Class: class, Session: uint64(id), TimeLeft: h.router.settings.Classes[class].Deadline,
	})
}

// arriveAs passes a request with the given properties to the router.
func (h *routerHarness) arriveAs(id RequestID, arrival Arrival) []Action {
	return h.step(arrivalEvent(id, arrival))
}

// arrivalEvent returns the event for a request's arrival.
func arrivalEvent(id RequestID, arrival Arrival) Event {
	return Event{Kind: RequestArrived, Request: id, Arrival: arrival}
}

// done ends an attempt. The request is over if the status is OK.
func (h *routerHarness) done(id RequestID, attempt int, node NodeID, status Status, note Evidence) []Action {
	return h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
		Node: node, Attempt: attempt, Status: status, Final: status == OK, AnswerEvidence: note,
	}})
}

// wait advances the clock in ticks, each with a timer event, and returns the actions.
func (h *routerHarness) wait(duration time.Duration) (actions []Action) {
	for end := h.now + duration; h.now < end; {
		h.now += tickInterval
		actions = append(actions, h.step(Event{Kind: TimerFired})...)
	}
	return actions
}

// requireActions requires actions of the given kinds, in this order.
func (h *routerHarness) requireActions(label string, actions []Action, kinds ...ActionKind) {
	h.t.Helper()
	var got []ActionKind
	for _, action := range actions {
		got = append(got, action.Kind)
	}
	require.Equal(h.t, kinds, got, "%s: %v", label, actions)
}

// requireSend requires a single action, which sends a request, and returns the node.
func (h *routerHarness) requireSend(label string, actions []Action) NodeID {
	h.t.Helper()
	h.requireActions(label, actions, Send)
	return actions[0].Node
}
