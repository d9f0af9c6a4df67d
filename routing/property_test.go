package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trackedAttempt is an attempt that the router sent.
type trackedAttempt struct {
	node       NodeID
	sentAt     time.Duration
	limit      WriteLimit
	pending    bool
	mayHaveRun bool // it is pending, or its outcome does not prove that it never ran
}

// trackedRequest is a request that was passed to the router.
type trackedRequest struct {
	class          Class
	deadline       time.Duration
	minPosition    time.Duration // the position that a read must see; 0: any
	attempts       []trackedAttempt
	done           bool
	disconnectedAt time.Duration // when the client disconnected
}

// pending returns the number of pending attempts.
func (r *trackedRequest) pending() (count int) {
	for _, attempt := range r.attempts {
		if attempt.pending {
			count++
		}
	}
	return count
}

// uncertain returns the attempts that may have run.
func (r *trackedRequest) uncertain() (attempts []trackedAttempt) {
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// randomEnvironment passes random events to a router and checks its actions against the rules that can be observed from
// outside. The events follow no model of a server: outcomes, lists and failures are random.
type randomEnvironment struct {
	t             *testing.T
	settings      Settings
	rng           *rand.Rand
	now           time.Duration
	lastID        RequestID
	requests      map[RequestID]*trackedRequest
	open          []RequestID
	position      map[NodeID]time.Duration // highest one reported
	replicaAt     map[NodeID]time.Duration // when an answer last had this role; deleted by primary
	drainingSince map[NodeID]time.Duration
	probes        []NodeID
}

// newRandomEnvironment returns a randomEnvironment with random settings and no events yet.
func newRandomEnvironment(t *testing.T, seed uint64) *randomEnvironment {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &randomEnvironment{
		t: t, settings: randomSettings(rng), rng: rng, now: start, requests: map[RequestID]*trackedRequest{},
		position: map[NodeID]time.Duration{}, replicaAt: map[NodeID]time.Duration{},
		drainingSince: map[NodeID]time.Duration{},
	}
}

// randomSettings returns the default settings with random values for those that the rules depend on.
func randomSettings(rng *rand.Rand) Settings {
	settings := defaultSettings()
	settings.Routers, settings.MaxAttempts = 1+rng.IntN(4), 1+rng.IntN(6)
	settings.StaleReads = StaleReads(rng.IntN(2))
	settings.ListHintsRole = rng.IntN(2) == 0
	settings.KeepSessions, settings.ListIsPolled = rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.CanHedge, settings.CanCancel = rng.IntN(3) > 0, rng.IntN(3) > 0
	settings.CanProbe = rng.IntN(4) > 0
	if rng.IntN(2) == 0 {
		settings.Quotas = []float64{5}
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.Effect, class.DedupGroup = Effect(rng.IntN(3)), DedupGroup(rng.IntN(3))
		class.DedupWindow = time.Duration(50+rng.IntN(1000)) * ms
	}
	return settings
}

// duration returns a random duration from 0 up to, but not including, limit.
func (e *randomEnvironment) duration(limit time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(limit)))
}

// zoneOf returns the zone of a node.
func zoneOf(id NodeID) int { return int(id) % 3 }

// list returns a random endpoint list and records which nodes are draining or gone in it.
func (e *randomEnvironment) list() []Node {
	var nodes []Node
	for id := NodeID(1); id <= 8; id++ {
		node := Node{ID: id, Group: int(id) % 2, State: Ready, Primary: id <= 2, Zone: zoneOf(id)}
		switch e.rng.IntN(12) {
		case 0:
			node.State = Draining
		case 1:
			node.State = Gone
		case 2:
			node.Started = e.now - e.duration(20*time.Second)
		}
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		if node.State == Ready {
			delete(e.drainingSince, node.ID)
		} else if _, known := e.drainingSince[node.ID]; !known {
			e.drainingSince[node.ID] = e.now
		}
	}
	return nodes
}

// evidence returns random evidence from a node and records its position.
func (e *randomEnvironment) evidence(id NodeID) Evidence {
	evidence := Evidence{Role: Role(e.rng.IntN(3))}
	if e.rng.IntN(4) > 0 {
		evidence.Position = e.now - e.duration(3*time.Second)
	}
	e.position[id] = max(e.position[id], evidence.Position)
	return evidence
}

// batch advances the clock at random and returns the next random events.
func (e *randomEnvironment) batch() []Event {
	if e.rng.IntN(40) == 0 {
		e.now += e.duration(3 * time.Second) // a clock jump
	} else {
		e.now += e.duration(12 * ms)
	}
	events := append(e.listEvents(), e.probeEvents()...)
	events = append(events, e.requestEvents()...)
	events = append(events, e.arrivals()...)
	if e.rng.IntN(50) == 0 { // for a request that never arrived
		unknown := e.lastID + 1000
		events = append(events,
			Event{Kind: AttemptDone, Request: unknown, Outcome: Outcome{Node: 99, Attempt: 3}},
			Event{Kind: ClientGone, Request: unknown})
	}
	return append(events, Event{Kind: TimerFired})
}

// listEvents returns random endpoint lists and failures of the subscription.
func (e *randomEnvironment) listEvents() (events []Event) {
	if e.rng.IntN(60) == 0 {
		nodes := e.list()
		kind := ListUpdated
		if e.rng.IntN(2) == 0 {
			kind = ListComplete
		}
		events = append(events, Event{Kind: kind, Nodes: nodes})
	}
	if e.rng.IntN(80) == 0 {
		events = append(events, Event{Kind: ListFailed})
	}
	return events
}

// probeEvents returns random outcomes for all pending probes.
func (e *randomEnvironment) probeEvents() (events []Event) {
	for _, id := range e.probes {
		outcome := Outcome{Node: id, Status: TimedOut}
		if e.rng.IntN(3) != 0 {
			outcome.Status, outcome.HealthReport = OK, e.evidence(id)
			if outcome.HealthReport.Role == Primary && outcome.HealthReport.Position >= e.replicaAt[id] {
				delete(e.replicaAt, id)
			}
		}
		events = append(events, Event{Kind: ProbeDone, Outcome: outcome})
	}
	e.probes = e.probes[:0]
	return events
}

// requestEvents ends random attempts of the open requests and disconnects random clients.
func (e *randomEnvironment) requestEvents() (events []Event) {
	var open []RequestID
	for _, id := range e.open {
		request := e.requests[id]
		for i := range request.attempts {
			attempt := &request.attempts[i]
			overdue := e.now >= request.deadline
			if attempt.pending && (overdue || e.rng.IntN(5) == 0) {
				outcome := e.endAttempt(request, i, overdue)
				events = append(events, Event{Kind: AttemptDone, Request: id, Outcome: outcome})
			}
		}
		if !request.done && e.rng.IntN(200) == 0 {
			request.done, request.disconnectedAt = true, e.now
			events = append(events, Event{Kind: ClientGone, Request: id})
		}
		if !request.done || request.pending() > 0 {
			open = append(open, id)
		}
	}
	e.open = open
	return events
}

// endAttempt returns a random outcome for an attempt, which is a timeout if the request's deadline has passed.
func (e *randomEnvironment) endAttempt(request *trackedRequest, index int, overdue bool) Outcome {
	attempt := &request.attempts[index]
	outcome := Outcome{
		Node: attempt.node, Attempt: index, Duration: e.now - attempt.sentAt, AnswerEvidence: e.evidence(attempt.node),
		Status: Status(e.rng.IntN(int(NodeRejected) + 1)), Accepted: e.rng.IntN(10) == 0,
	}
	if overdue {
		outcome.Status = TimedOut
	}
	attempt.pending = false
	attempt.mayHaveRun = !outcome.Status.NeverRan() || outcome.Accepted
	outcome.Final = request.done || outcome.Status == OK
	request.done = outcome.Final
	switch outcome.AnswerEvidence.Role {
	case Primary:
		delete(e.replicaAt, attempt.node)
	case Replica:
		e.replicaAt[attempt.node] = e.now
	}
	return outcome
}

// arrivals returns the arrivals of new random requests.
func (e *randomEnvironment) arrivals() (events []Event) {
	for range e.rng.IntN(3) {
		e.lastID++
		class := e.rng.IntN(len(e.settings.Classes))
		arrival := Arrival{
			Class: class, Group: e.rng.IntN(2), Session: uint64(e.rng.IntN(20)),
			TimeLeft: time.Duration(50+e.rng.IntN(1500)) * ms,
		}
		request := &trackedRequest{class: e.settings.Classes[class], deadline: e.now + arrival.TimeLeft}
		if request.class.Read == SessionRead && e.rng.IntN(2) == 0 {
			arrival.LastWrite = e.now - e.duration(time.Second)
			request.minPosition = arrival.LastWrite
		}
		if request.class.Read == FreshRead {
			request.minPosition = e.now
		}
		e.requests[e.lastID] = request
		e.open = append(e.open, e.lastID)
		events = append(events, arrivalEvent(e.lastID, arrival))
	}
	return events
}

// check checks an action and records its effect.
func (e *randomEnvironment) check(action Action) {
	switch action.Kind {
	case Probe:
		e.probes = append(e.probes, action.Node)
	case Send, Reject, Fail, Cancel:
		request := e.requests[action.Request]
		if request == nil {
			require.Failf(e.t, "action for a request that never arrived", "%+v", action)
		}
		e.checkRequestAction(action, request)
	}
}

// checkRequestAction checks an action for a request.
func (e *randomEnvironment) checkRequestAction(action Action, request *trackedRequest) {
	if action.Kind == Cancel {
		if action.Attempt >= len(request.attempts) {
			require.Failf(e.t, "cancellation of an attempt that was never sent", "%+v", action)
		}
		return
	}
	if action.Kind != Send && request.disconnectedAt == e.now {
		return // the router decided before it processed the client's disconnect in the same batch
	}
	if request.done {
		require.Failf(e.t, "action for a request that is over", "%+v", action)
	}
	if action.Kind == Send {
		e.checkSend(action, request)
		request.attempts = append(request.attempts, trackedAttempt{action.Node, e.now, action.Limit, true, true})
		return
	}
	request.done = true
	clientMayRepeat := request.class.Effect == Idempotent ||
		request.class.Effect == Deduplicated && request.class.DedupGroup == DedupAll
	mayHaveRun := len(request.uncertain()) > 0
	if action.Kind == Reject && mayHaveRun && !clientMayRepeat {
		require.Failf(e.t, "rejection of a request that may have run and must not be repeated", "%+v", action)
	}
	if action.Kind == Fail && !mayHaveRun {
		require.Failf(e.t, "failure of a request that never ran", "%+v", action)
	}
}

// checkSend checks that an attempt of the request may be sent to the action's node.
func (e *randomEnvironment) checkSend(action Action, request *trackedRequest) {
	pending := request.pending()
	for _, attempt := range request.uncertain() {
		e.checkRepeat(action, request.class, attempt)
	}
	if pending > 0 && !e.settings.CanHedge || len(request.attempts) >= e.settings.MaxAttempts {
		require.Failf(e.t, "send beyond the limit of attempts", "%+v", action)
	}
	if since, listed := e.drainingSince[action.Node]; listed && e.now > since+e.settings.DrainGrace {
		require.Failf(e.t, "send to a node after its drain grace",
			"%+v, %v after the list", action, e.now-since)
	}
	if _, replica := e.replicaAt[action.Node]; replica && e.settings.StaleReads == StaleAnswered {
		if !e.isFresh(request, e.position[action.Node]) {
			require.Failf(e.t, "read sent to a replica that is not known to be fresh",
				"%+v, kind %d", action, request.class.Read)
		}
	}
}

// checkRepeat checks that an attempt may be sent after an earlier one that may have run.
func (e *randomEnvironment) checkRepeat(action Action, class Class, earlier trackedAttempt) {
	switch class.Effect {
	case NonIdempotent:
		require.Failf(e.t, "repeated send of a non-idempotent request that may have run", "%+v", action)
	case Deduplicated:
		windowEnd := earlier.sentAt + class.DedupWindow
		if e.now >= windowEnd || action.Limit.Until == 0 || action.Limit.Until > windowEnd {
			require.Failf(e.t, "repeat that may be written after its window", "%+v, window until %v", action, windowEnd)
		}
		if class.DedupGroup == DedupZone && zoneOf(action.Node) != zoneOf(earlier.node) {
			require.Failf(e.t, "repeat in another zone", "%+v, after %+v", action, earlier)
		}
		latestWrite := earlier.limit.Until
		if earlier.pending && (latestWrite == 0 || latestWrite > e.now+class.DedupWindow) {
			require.Failf(e.t, "earlier attempt may be written after the window of this one",
				"%+v, after %+v", action, earlier)
		}
	}
}

// isFresh reports whether a replica with the given position may answer the request.
func (e *randomEnvironment) isFresh(request *trackedRequest, position time.Duration) bool {
	switch request.class.Read {
	case BoundedRead:
		return e.now-position <= request.class.MaxAge
	case SessionRead, FreshRead:
		return position >= request.minPosition
	}
	return true
}

// checkDeadlines checks that every request has received its final answer by its deadline.
func (e *randomEnvironment) checkDeadlines() {
	for _, id := range e.open {
		if request := e.requests[id]; !request.done && e.now >= request.deadline {
			require.Failf(e.t, "no final answer at the deadline", "request %d", id)
		}
	}
}

// Under random settings and events, every action complies with the rules, and equal events give equal actions.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			environment := newRandomEnvironment(t, seed)
			router, second := New(environment.settings, seed), New(environment.settings, seed)
			events := []Event{{Kind: ListComplete, Nodes: environment.list()}}
			for round := range 1500 {
				if round > 0 {
					events = environment.batch()
				}
				actions := router.Step(environment.now, events, nil)
				require.Equal(t, actions, second.Step(environment.now, events, nil), "equal events")
				for _, action := range actions {
					environment.check(action)
				}
				environment.checkDeadlines()
			}
		})
	}
}
