package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

const (
	// longReadMultiple is the multiple of a node's bound up to which it receives long reads of any data. They may delay
	// replication and are therefore sent to few nodes.
	longReadMultiple = 2.0
	// writeBoundMultiple is the multiple of maxBound at which a primary is sent no more writes: they wait.
	writeBoundMultiple = 3.0
	// waitDivisor limits the wait for a first attempt: it is at most the request's time left, divided by waitDivisor.
	// A later rejection costs 0.3 of the request's weight.
	waitDivisor = 2
	// waitMargin is subtracted from the end of the wait: the next tick might be too late.
	waitMargin = 2 * tickInterval
)

// openRequest is a request without a final answer or with a pending attempt.
type openRequest struct {
	id RequestID
	Arrival
	class *Class
	group *replicaGroup

	arrived   time.Duration
	deadline  time.Duration
	waitUntil time.Duration // when it is rejected if it waits; the deadline once it has reached a node

	weight        float64             // its class's, as a share of the greatest; lower over the tenant's quota
	boundMultiple float64             // it may be sent to a node that is below this multiple of the bound
	minPosition   clockoffset.Instant // the position that a session read or a fresh read must see

	attempts        []attemptRecord
	maxAttempts     int
	pending         int // number of pending attempts
	probesTriggered int // number of probes sent for this request

	done      bool // the client has its answer or is gone
	streaming bool // a long answer is being streamed to the client
}

// arrive records a new request.
func (r *Router) arrive(id RequestID, arrival *Arrival) *openRequest {
	class := &r.settings.Classes[arrival.Class]
	request := &openRequest{
		id:            id,
		Arrival:       *arrival,
		class:         class,
		group:         r.groupByNumber(arrival.Group),
		arrived:       r.now,
		deadline:      r.now + arrival.TimeLeft,
		waitUntil:     r.now + arrival.TimeLeft/waitDivisor,
		weight:        class.Weight / r.maxWeight,
		boundMultiple: 1,
		maxAttempts:   r.settings.MaxAttempts,
	}
	r.setReadConstraints(request)
	r.work.Arrived(request.Class)
	r.requests[id] = request
	r.open = append(r.open, request)
	r.retryBudget = min(maxRetryBudget, r.retryBudget+retryBudgetShare)
	r.addProbeBudget()
	if !r.quotas.Take(request.Tenant, r.now) {
		request.weight *= r.settings.OverQuota
	}
	return request
}

// setReadConstraints sets the position that a read must see. Reads of any data that may run for longer than the least
// MaxAge of all classes may delay replication: all of their class share one session, and the ring sends them to few
// nodes.
func (r *Router) setReadConstraints(request *openRequest) {
	switch request.class.Read {
	case AnyRead:
		if request.class.LatencyObjective > r.leastMaxAge {
			request.Session = uint64(request.Class) + 1
			request.boundMultiple = longReadMultiple
		}
	case FreshRead:
		request.minPosition = clockoffset.Instant{Own: r.now}
	case SessionRead:
		request.minPosition.Remote = request.LastWrite
		if r.settings.KeepSessions {
			request.minPosition = request.minPosition.Later(r.writes.RequiredPosition(request.Session, r.now))
		}
	}
}

// latencyObjective returns the time within which an answer earns the request's full weight.
func (r *Router) latencyObjective(request *openRequest) time.Duration {
	class := request.class
	forWork := time.Duration(class.ObjectivePerWork * float64(request.Work))
	return min(class.LatencyObjective+forWork, class.Deadline)
}

// route sends the request, lets it wait, or gives the final answer.
func (r *Router) route(request *openRequest) {
	if request.done || request.pending > 0 {
		return
	}
	expired := r.now >= request.waitUntil-waitMargin
	if request.group == nil || len(request.attempts) >= request.maxAttempts || expired {
		r.rejectOrFail(request)
		return
	}
	if request.class.Read == Write {
		r.routeWrite(request)
	} else {
		r.routeRead(request)
	}
}

// routeWrite sends a write to the primary, or lets it wait. If the primary is unknown and no probe can find it, the
// write is sent to another member: one that is not the primary rejects it without running it.
func (r *Router) routeWrite(request *openRequest) {
	target := r.primary(request.group)
	if target == nil && !r.settings.CanProbe {
		target = r.nextReplica(request.group, nil, request).replica
	}
	if target == nil || !r.eligible(target, request, true) {
		return
	}
	if target.halfOpen && target.inFlight >= 1 {
		return
	}
	if r.estimatedInFlight(target) < writeBoundMultiple*maxBound {
		r.send(request, target)
	}
}

// routeRead sends a read, lets it wait, or sheds it.
func (r *Router) routeRead(request *openRequest) {
	if request.class.LateWeight == 0 && r.now >= request.arrived+r.latencyObjective(request) {
		r.rejectOrFail(request)
		return
	}
	target, shed := r.chooseRead(request)
	switch {
	case target != nil:
		r.send(request, target)
	case shed:
		r.rejectOrFail(request)
	}
}

// finish closes the request. Attempts that are still pending are cancelled if Settings.CanCancel allows it.
func (r *Router) finish(request *openRequest) {
	request.done = true
	for i := range request.attempts {
		if request.attempts[i].pending && r.settings.CanCancel {
			r.emit(Action{Kind: Cancel, Request: request.id, Attempt: i})
		}
	}
	if request.pending == 0 {
		delete(r.requests, request.id)
	}
}

// rejectOrFail gives the final answer at once: a rejection if a retry is known to be harmless, otherwise a failure. A
// rejection advises the client to retry after the latency objective. An earlier retry would find the same load, or
// still no primary.
func (r *Router) rejectOrFail(request *openRequest) {
	class := request.class
	deduplicated := class.Effect == Deduplicated && class.DedupGroup == DedupAll
	if class.Effect == Idempotent || !request.mayHaveRun() || deduplicated {
		retryAfter := min(class.LatencyObjective, r.settings.MaxRetryAfter)
		r.emit(Action{Kind: Reject, Request: request.id, Delay: retryAfter})
	} else {
		r.emit(Action{Kind: Fail, Request: request.id})
	}
	r.finish(request)
}
