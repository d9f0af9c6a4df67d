package routing

import (
	"slices"
	"time"

	"capercove/internal/capacity"
	"capercove/internal/clockoffset"
	"capercove/internal/quota"
	"capercove/internal/session"
)

const ms = time.Millisecond

const (
	// tickInterval is the time between checks of waiting and overdue requests, far less than any latency objective.
	tickInterval = 10 * ms
	// idleTickInterval replaces tickInterval while no request is open. Idle routers wake up less often.
	idleTickInterval = 50 * ms
	// writeRetention is the time for which a session's last write is remembered. It is a safety limit, far longer than
	// any replication lag.
	writeRetention = 60 * time.Second
)

// Router is the routing state machine of one router. It is not safe for concurrent use.
type Router struct {
	settings Settings
	seed     uint64
	now      time.Duration
	actions  []Action // output of the current step

	nextTick        time.Duration
	nextControlStep time.Duration

	nodes      []*nodeRecord // sorted by ID
	byID       map[NodeID]*nodeRecord
	groups     []*replicaGroup          // sorted by number
	exclusions map[NodeID]time.Duration // the router's time at the start of each
	// offset is the nodes' clock minus the router's clock. Positions and starts are times of the nodes' clock.
	offset clockoffset.Bounds

	subscribeAt  time.Duration // when to request the endpoint list; negative: already requested
	subscribedAt time.Duration // when the list was requested, if that is unanswered; 0: answered

	requests map[RequestID]*openRequest
	open     []*openRequest // in order of arrival
	writes   session.Writes
	quotas   quota.Quotas

	maxWeight   float64       // the greatest Weight of all classes
	leastMaxAge time.Duration // the least MaxAge of all classes

	retryBudget float64 // hedged requests and retries after an overload that may still be sent
	probeBudget float64 // number of probes that may still be sent
	probeRound  uint64  // number of health checks so far; each begins with the next node
	ringScans   uint64  // number of ring searches so far

	warmRate float64       // work that a warm node completes per second, in units of the mean request's work
	work     capacity.Work // estimated work of the requests of each class
	size     capacity.Size // estimated size of the nodes
}

// New returns a router without nodes. Routers with equal settings and seeds decide equally on equal steps.
func New(settings Settings, seed uint64) *Router {
	r := &Router{
		seed:        seed,
		size:        1,
		byID:        map[NodeID]*nodeRecord{},
		requests:    map[RequestID]*openRequest{},
		writes:      session.New(),
		retryBudget: maxRetryBudget / 2,
	}
	r.applySettings(settings)
	return r
}

// Step processes a batch of events and appends the resulting actions to out. It applies all evidence before it routes
// any request. The time is that of the router's clock and must not decrease.
func (r *Router) Step(now time.Duration, events []Event, out []Action) []Action {
	r.now, r.actions = now, out
	unrouted := r.applyEvidenceEvents(events)
	unrouted = r.applyClientEvents(events, unrouted)
	for _, request := range unrouted {
		r.route(request)
	}
	r.tickIfDue()
	return r.actions
}

// applyEvidenceEvents applies the events about nodes and attempts. It returns the requests that must be routed again.
func (r *Router) applyEvidenceEvents(events []Event) (unrouted []*openRequest) {
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case AttemptDone:
			if request := r.attemptDone(event.Request, &event.Outcome); request != nil {
				unrouted = append(unrouted, request)
			}
		case AnswerStarted:
			r.answerStarted(event.Request, event.Outcome.Attempt)
		case ProbeDone:
			r.probeDone(&event.Outcome)
		case ListComplete, ListUpdated:
			r.applyList(event.Nodes, event.Kind == ListComplete)
		case ExclusionsChanged:
			r.applyExclusions(event.Exclusions)
		case ClockOffset:
			r.applyOffset(event.Clock)
		case ListFailed:
			r.scheduleSubscription()
		}
	}
	return unrouted
}

// applyClientEvents applies arrivals, disconnects and changes of settings, and appends the new requests to unrouted.
// The order of events matters: requests that arrived before a change of the settings belong to the old classes, and
// after a pause of the router, a batch may contain both the arrival of a request and the disconnect of its client.
func (r *Router) applyClientEvents(events []Event, unrouted []*openRequest) []*openRequest {
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case SettingsChanged:
			r.applySettings(*event.Settings)
		case RequestArrived:
			unrouted = append(unrouted, r.arrive(event.Request, &event.Arrival))
		case ClientGone:
			if request := r.requests[event.Request]; request != nil {
				r.finish(request)
			}
		}
	}
	return unrouted
}

// tickIfDue runs the periodic work if it is due, and sets the timer for the next run.
func (r *Router) tickIfDue() {
	interval := idleTickInterval
	if len(r.open) > 0 {
		interval = tickInterval
	}
	due := r.now >= r.nextTick
	if !due && r.nextTick <= r.now+interval {
		return
	}
	if due {
		r.tick()
	}
	r.nextTick = r.now + interval
	r.emit(Action{Kind: SetTimer, Delay: interval})
}

// tick runs the periodic work.
func (r *Router) tick() {
	r.sweep()
	if r.now >= r.nextControlStep {
		if r.nextControlStep > 0 {
			r.controlStep()
			r.rebuildRings()
			r.writes.Forget(r.now-writeRetention, r.offset.Earliest)
		}
		r.nextControlStep = r.now + controlPeriod
	}
	r.checkHealth()
	r.subscribeIfDue()
}

// sweep routes waiting requests again, checks overdue ones, and gives the final answer at the deadline even if an
// attempt is pending.
func (r *Router) sweep() {
	r.open = slices.DeleteFunc(r.open, func(request *openRequest) bool {
		switch {
		case request.done || request.streaming:
		case request.pending == 0:
			r.route(request)
		case r.now >= request.deadline:
			r.rejectOrFail(request)
		default:
			r.checkOverdue(request)
		}
		return request.done || request.streaming
	})
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// mix is the finalizer of the splitmix64 generator. It serves as a hash and as a source of pseudo-random numbers.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
