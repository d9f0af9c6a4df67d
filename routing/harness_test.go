package routing

import (
	"slices"
	"testing"
	"time"
)

const start = time.Hour // clock times of the tests begin here

const (
	classAny = iota
	classBounded
	classSession
	classFresh
	classWrite
	classKeyed
)

func settings() Settings {
	return Settings{
		Routers: 1, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true,
		CanProbe: true, CanHedge: true, DrainGrace: time.Second, SlowStartShare: 0.2,
		SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second, OverQuota: 0.1,
		Classes: []Class{
			classAny:     {Read: AnyRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, LateWeight: 0.2},
			classBounded: {Read: BoundedRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, MaxAge: 200 * ms},
			classSession: {Read: SessionRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classFresh:   {Read: FreshRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classWrite:   {Read: Write, Effect: NonIdempotent, LatencyObjective: 200 * ms, Deadline: 2 * time.Second, Weight: 2},
			classKeyed: {
				Read: Write, Effect: Deduplicated, DedupGroup: DedupReplicaGroup, DedupWindow: 500 * ms, LatencyObjective: 200 * ms,
				Deadline: 2 * time.Second, Weight: 2,
			},
		},
	}
}

// harness drives a router by hand.
type harness struct {
	t   *testing.T
	r   *Router
	now time.Duration
}

// newHarness starts a router with a group of three ready nodes; node 1 has shown that it is the primary, and all
// positions are proven as of now.
func newHarness(t *testing.T, s Settings) *harness {
	h := &harness{t, New(s, 1), start}
	h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	h.refresh()
	return h
}

func (h *harness) step(events ...Event) []Action {
	var out []Action
	for _, a := range h.r.Step(h.now, events, nil) {
		if a.Kind != SetTimer && a.Kind != Probe {
			out = append(out, a)
		}
	}
	return out
}

func (h *harness) list(nodes ...Node) []Action {
	return h.step(Event{Kind: ListComplete, Nodes: nodes})
}

func (h *harness) probed(id NodeID, role Role, at time.Duration) []Action {
	return h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: id, Report: Evidence{Role: role, Position: at}}})
}

func (h *harness) refresh() {
	h.probed(1, Primary, h.now)
	h.probed(2, Replica, h.now)
	h.probed(3, Replica, h.now)
}

func (h *harness) arrive(id RequestID, class int) []Action {
	return h.step(Event{
		Kind: RequestArrived, Request: id,
		Arrival: Arrival{Class: class, Session: uint64(id), TimeLeft: h.r.settings.Classes[class].Deadline},
	})
}

func (h *harness) done(id RequestID, attempt int, n NodeID, status Status, note Evidence) []Action {
	return h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
		Node: n, Attempt: attempt, Status: status,
		Final: status == OK, Note: note,
	}})
}

// wait lets time pass in ticks and returns what was done.
func (h *harness) wait(d time.Duration) (out []Action) {
	for end := h.now + d; h.now < end; {
		h.now += tickInterval
		out = append(out, h.step(Event{Kind: TimerFired})...)
	}
	return out
}

func (h *harness) want(what string, got []Action, kinds ...ActionKind) {
	h.t.Helper()
	var have []ActionKind
	for _, a := range got {
		have = append(have, a.Kind)
	}
	if !slices.Equal(have, kinds) {
		h.t.Fatalf("%s: %v, want kinds %v", what, got, kinds)
	}
}
