package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	longReadMultiple   = 2.0 // times the bound: room for long reads of any data, which keep together
	writeBoundMultiple = 3.0 // writes are held beyond this multiple of the cap
)

type openRequest struct {
	id RequestID
	Arrival
	class                            *Class
	group                            *replicaGroup
	arrived, deadline                time.Duration
	holdUntil                        time.Duration       // held no longer: half its time until it has reached a node
	weight, boundMultiple            float64             // share of the dearest's; multiple of a bound that it may fill
	minPosition                      clockoffset.Instant // position that a session or fresh read must see
	attempts                         []attemptRecord
	pending, probesMade, maxAttempts int           // attempts that are out; probes made for it; attempts it may have
	mayHaveRun                       bool          // an attempt is out or ended without proof that it never ran
	firstSentAt                      time.Duration // send of the first such attempt
	dedupNode                        *nodeRecord   // where it went
	done, answering                  bool
}

func (r *Router) arrive(id RequestID, a *Arrival) *openRequest {
	class := &r.settings.Classes[a.Class]
	q := &openRequest{id: id, Arrival: *a, class: class, group: r.groupOf(a.Group), arrived: r.now,
		deadline: r.now + a.TimeLeft, holdUntil: r.now + a.TimeLeft/2, weight: class.Weight / r.topWeight, boundMultiple: 1,
		maxAttempts: r.settings.MaxAttempts}
	switch {
	case class.Read == AnyRead && class.LatencyObjective > r.tightestMaxAge: // It may hold the log up too long: at few nodes.
		q.Session, q.boundMultiple = uint64(a.Class)+1, longReadMultiple
	case class.Read == FreshRead:
		q.minPosition = clockoffset.Instant{Own: r.now}
	case class.Read == SessionRead:
		if q.minPosition.Remote = a.LastWrite; r.settings.KeepSessions {
			q.minPosition = q.minPosition.Later(r.writes.Need(a.Session, r.now))
		}
	}
	r.work.Arrived(a.Class)
	r.requests[id] = q
	r.open = append(r.open, q)
	r.retryBudget = min(maxRetryBudget, r.retryBudget+retryBudgetShare)
	r.probeBudget = min(float64(len(r.nodes)), r.probeBudget+probesPerRequest+probesPerRequestAlone/float64(r.settings.Routers))
	if !r.quotas.Take(a.Tenant, r.now) {
		q.weight *= r.settings.OverQuota
	}
	return q
}

// place sends the request, holds it, or gives it up.
func (r *Router) place(q *openRequest) {
	if q.done || q.pending > 0 {
		return
	}
	if q.group == nil || len(q.attempts) >= q.maxAttempts || r.now >= q.holdUntil-2*tickInterval {
		r.rejectOrFail(q)
		return
	}
	if q.class.Read == Write {
		p := r.primary(q.group)
		if p == nil && !r.settings.CanProbe { // A member that is not the primary turns the write away untouched.
			p, _ = r.nextReplica(q.group, nil, q)
		}
		if p != nil && r.eligible(p, q, true) && (!p.halfOpen || p.inFlight < 1) &&
			r.estimatedInFlight(p) < writeBoundMultiple*maxBound {
			r.send(q, p)
		}
		return
	}
	if q.class.LateWeight == 0 && r.now >= q.arrived+r.latencyObjective(q) {
		r.rejectOrFail(q)
	} else if n, shed := r.chooseRead(q); n != nil {
		r.send(q, n)
	} else if shed {
		r.rejectOrFail(q)
	}
}

// finish closes the request. Attempts that are still out are called off where that is allowed.
func (r *Router) finish(q *openRequest) {
	q.done = true
	for i, t := range q.attempts {
		if t.pending && r.settings.CanCancel {
			r.emit(Action{Kind: Cancel, Request: q.id, Attempt: i})
		}
	}
	if q.pending == 0 {
		delete(r.requests, q.id)
	}
}

// rejectOrFail gives the final answer at once: refused where a retry is known to be harmless, failed elsewhere. A
// refused client is told to come back after the aim: sooner it would find the same crowd, or no primary yet.
func (r *Router) rejectOrFail(q *openRequest) {
	c := q.class
	if c.Effect == Idempotent || !q.mayHaveRun || c.Effect == Deduplicated && c.DedupGroup == DedupAll { // harmless
		r.emit(Action{Kind: Reject, Request: q.id, Delay: min(c.LatencyObjective, r.settings.MaxRetryAfter)})
	} else {
		r.emit(Action{Kind: Fail, Request: q.id})
	}
	r.finish(q)
}

func (r *Router) latencyObjective(q *openRequest) time.Duration {
	return min(q.class.LatencyObjective+time.Duration(q.class.ObjectivePerWork*float64(q.Work)), q.class.Deadline)
}
