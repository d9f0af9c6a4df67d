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
	tickEvery  = 10 * ms          // how often held and overdue requests are looked at
	again      = 50 * ms          // before a request goes to a node, or asks for its report, once more
	keepWrites = 60 * time.Second // a session's last write is remembered this long
)

const ms = time.Millisecond

// Router makes the decisions of one router.
type Router struct {
	set                Settings
	seed               uint64
	now                time.Duration
	offset             clockoffset.Bounds // of the nodes' clock, of which positions and starts are times
	nodes              []*node            // by ID
	byID               map[NodeID]*node
	groups             []*group // by number
	requests           map[RequestID]*request
	open               []*request // by arrival
	writes             session.Writes
	extra              float64       // second copies and retries that may still be spent
	probes             float64       // probes that may still be spent
	rate               float64       // completions a second on a warm node, in requests of mean work
	work               capacity.Work // of the requests of each class
	doubt              *node
	walks, turn        uint64 // walks of rings so far; the node that watch begins with
	quotas             quota.Quotas
	size               capacity.Size // of the nodes, as far as their reports tell
	topWorth           float64
	tightest           time.Duration // bound on age of all classes
	nextTick, nextLoop time.Duration
	bans               map[NodeID]time.Duration
	askAt, asked       time.Duration // when to subscribe, negative: done; since when it is unanswered
	out                []Action
}

// New returns a router that knows nothing but its settings.
func New(s Settings, seed uint64) *Router {
	r := &Router{seed: seed, size: 1, byID: map[NodeID]*node{}, requests: map[RequestID]*request{},
		writes: session.New(), extra: extraMost / 2}
	r.retune(s)
	return r
}

// Step takes one batch of events and appends what is to be done. All news is taken in before any is placed.
func (r *Router) Step(now time.Duration, events []Event, out []Action) []Action {
	r.now, r.out = now, out
	var place []*request
	for i := range events {
		switch e := &events[i]; e.Kind {
		case AttemptDone:
			if q := r.attemptDone(e.Request, &e.Outcome); q != nil {
				place = append(place, q)
			}
		case AnswerStarted:
			r.began(e.Request, e.Outcome.Attempt)
		case ProbeDone:
			r.probeDone(&e.Outcome)
		case ListComplete, ListUpdated:
			r.list(e.Nodes, e.Kind == ListComplete)
		case ExclusionsChanged:
			r.ban(e.Exclusions)
		case ClockOffset:
			r.setOffset(e.Clock)
		case ListFailed:
			over := r.askOver()
			wait := time.Duration(mix(r.seed^uint64(now)) % uint64(over))
			if r.asked == 0 || now-r.asked < pauseFirst { // a watch broke, or it was turned away at once
				over, wait = 0, wait/2
			}
			r.askAt = now + over + wait
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case SettingsChanged: // In its place among the arrivals: those before it are of the old classes.
			r.retune(*e.Settings)
		case RequestArrived:
			place = append(place, r.arrive(e.Request, &e.Arrival))
		case ClientGone: // Even one that came in the same batch, as after a pause of this router.
			if q := r.requests[e.Request]; q != nil {
				r.end(q)
			}
		}
	}
	for _, q := range place {
		r.place(q)
	}
	rest := again // With nothing open there is no hurry: many idle routers must not wake for nothing.
	if len(r.open) > 0 {
		rest = tickEvery
	}
	if due := now >= r.nextTick; due || r.nextTick > now+rest {
		if due {
			r.tick()
		}
		r.nextTick = now + rest
		r.emit(Action{Kind: SetTimer, Delay: rest})
	}
	return r.out
}

func (r *Router) emit(a Action) { r.out = append(r.out, a) }

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *Router) tick() {
	r.sweep()
	if r.now >= r.nextLoop {
		if r.nextLoop > 0 {
			r.loop()
		}
		r.nextLoop = r.now + loopPeriod
	}
	r.watch()
	if r.set.ListIsPolled && r.askAt >= 0 && r.now >= r.askAt {
		r.emit(Action{Kind: Subscribe})
		r.askAt, r.asked = -1, r.now
	}
}

// sweep places held requests again, and gives the final answer at the deadline even if an attempt is out.
func (r *Router) sweep() {
	r.open = slices.DeleteFunc(r.open, func(q *request) bool {
		switch {
		case q.done || q.begun:
		case q.out == 0:
			r.place(q)
		case r.now >= q.deadline:
			r.giveUp(q)
		default:
			r.overdue(q)
		}
		return q.done || q.begun
	})
}
