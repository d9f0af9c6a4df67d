package routing

import (
	"slices"
	"time"

	"capercove/internal/capacity"
	"capercove/internal/clockoffset"
	"capercove/internal/quota"
	"capercove/internal/session"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	tickInterval   = 10 * ms          // how often held and overdue requests are looked at
	retrySpacing   = 50 * ms          // before a request goes to a node, or asks for its report, once more
	writeRetention = 60 * time.Second // a session's last write is remembered this long
)

const ms = time.Millisecond

// Router makes the decisions of one router.
type Router struct {
	settings                  Settings
	seed                      uint64
	now                       time.Duration
	offset                    clockoffset.Bounds // of the nodes' clock, of which positions and starts are times
	nodes                     []*nodeRecord      // by ID
	byID                      map[NodeID]*nodeRecord
	groups                    []*replicaGroup // by number
	requests                  map[RequestID]*openRequest
	open                      []*openRequest // by arrival
	writes                    session.Writes
	retryBudget               float64       // second copies and retries that may still be spent
	probeBudget               float64       // probes that may still be spent
	warmRate                  float64       // completions a second on a warm node, in requests of mean work
	work                      capacity.Work // of the requests of each class
	probeCandidate            *nodeRecord
	ringScans, probeTurn      uint64 // walks of rings so far; the node that watch begins with
	quotas                    quota.Quotas
	size                      capacity.Size // of the nodes, as far as their reports tell
	topWeight                 float64
	tightestMaxAge            time.Duration // bound on age of all classes
	nextTick, nextControlStep time.Duration
	exclusions                map[NodeID]time.Duration
	subscribeAt, subscribedAt time.Duration // when to subscribe, negative: done; since when it is unanswered
	actions                   []Action
}

// New returns a router that knows nothing but its settings.
func New(s Settings, seed uint64) *Router {
	r := &Router{seed: seed, size: 1, byID: map[NodeID]*nodeRecord{}, requests: map[RequestID]*openRequest{},
		writes: session.New(), retryBudget: maxRetryBudget / 2}
	r.applySettings(s)
	return r
}

// Step takes one batch of events and appends what is to be done. All news is taken in before any is placed.
func (r *Router) Step(now time.Duration, events []Event, out []Action) []Action {
	r.now, r.actions = now, out
	var place []*openRequest
	for i := range events {
		switch e := &events[i]; e.Kind {
		case AttemptDone:
			if q := r.attemptDone(e.Request, &e.Outcome); q != nil {
				place = append(place, q)
			}
		case AnswerStarted:
			r.answerStarted(e.Request, e.Outcome.Attempt)
		case ProbeDone:
			r.probeDone(&e.Outcome)
		case ListComplete, ListUpdated:
			r.applyList(e.Nodes, e.Kind == ListComplete)
		case ExclusionsChanged:
			r.applyExclusions(e.Exclusions)
		case ClockOffset:
			r.applyOffset(e.Clock)
		case ListFailed:
			over := r.subscribeSpread()
			wait := time.Duration(mix(r.seed^uint64(now)) % uint64(over))
			if r.subscribedAt == 0 || now-r.subscribedAt < minBackoff { // a watch broke, or it was turned away at once
				over, wait = 0, wait/2
			}
			r.subscribeAt = now + over + wait
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case SettingsChanged: // In its place among the arrivals: those before it are of the old classes.
			r.applySettings(*e.Settings)
		case RequestArrived:
			place = append(place, r.arrive(e.Request, &e.Arrival))
		case ClientGone: // Even one that came in the same batch, as after a pause of this router.
			if q := r.requests[e.Request]; q != nil {
				r.finish(q)
			}
		}
	}
	for _, q := range place {
		r.place(q)
	}
	rest := retrySpacing // With nothing open there is no hurry: many idle routers must not wake for nothing.
	if len(r.open) > 0 {
		rest = tickInterval
	}
	if due := now >= r.nextTick; due || r.nextTick > now+rest {
		if due {
			r.tick()
		}
		r.nextTick = now + rest
		r.emit(Action{Kind: SetTimer, Delay: rest})
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *Router) tick() {
	r.sweep()
	if r.now >= r.nextControlStep {
		if r.nextControlStep > 0 {
			r.controlStep()
		}
		r.nextControlStep = r.now + controlPeriod
	}
	r.checkHealth()
	if r.settings.ListIsPolled && r.subscribeAt >= 0 && r.now >= r.subscribeAt {
		r.emit(Action{Kind: Subscribe})
		r.subscribeAt, r.subscribedAt = -1, r.now
	}
}

// sweep places held requests again, and gives the final answer at the deadline even if an attempt is out.
func (r *Router) sweep() {
	r.open = slices.DeleteFunc(r.open, func(q *openRequest) bool {
		switch {
		case q.done || q.answering:
		case q.pending == 0:
			r.place(q)
		case r.now >= q.deadline:
			r.rejectOrFail(q)
		default:
			r.checkOverdue(q)
		}
		return q.done || q.answering
	})
}
