package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

const (
	// lostMultiple is the multiple of the node's mean latency after which a pending attempt counts as lost, if it has
	// also exceeded its objective and later attempts were answered. It is a safety limit.
	lostMultiple = 8
	// retryBudgetShare is what each new request adds to the retry budget, and maxRetryBudget is the budget's limit.
	// Hedged requests and retries after an overload each cost 1. The budget prevents retry storms.
	retryBudgetShare = 0.1
	maxRetryBudget   = 20.0
	// retrySpacing is the least time between the end of an attempt and a retry at the same node.
	retrySpacing = 50 * ms
)

// attemptRecord is one attempt of a request.
type attemptRecord struct {
	node       *nodeRecord
	sentAt     time.Duration
	endedAt    time.Duration
	loadAtSend float64 // estimated in-flight requests of the node when the attempt was sent
	pending    bool
	mayHaveRun bool // it is pending, or it ended without proof that the node did not run the request
	lost       bool // no longer counted as in flight
}

// mayAttempt reports whether one more attempt is allowed: the request can safely be repeated at the node, and its
// number of attempts is below the limit.
func (r *Router) mayAttempt(request *openRequest, node *nodeRecord) bool {
	if request.done || len(request.attempts) >= request.maxAttempts || request.pending > 0 && !r.settings.CanHedge {
		return false
	}
	return request.mayRepeatAt(node, r.now)
}

// mayRepeatAt reports whether one more attempt at the node is harmless, given the attempts that may have run.
func (request *openRequest) mayRepeatAt(node *nodeRecord, now time.Duration) bool {
	class := request.class
	if class.Effect == Idempotent || !request.mayHaveRun() {
		return true
	}
	return class.Effect == Deduplicated && now < request.repeatableUntil() && request.sharesKeys(node)
}

// mayHaveRun reports whether any attempt of the request is pending or ended without proof that it never ran.
func (request *openRequest) mayHaveRun() bool { return request.firstUncertain() != nil }

// firstUncertain returns the earliest attempt that may have run, or nil if it is known that none did.
func (request *openRequest) firstUncertain() *attemptRecord {
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.mayHaveRun {
			return attempt
		}
	}
	return nil
}

// sharesKeys reports whether the node shares idempotency keys with the node of each attempt that may have run.
func (request *openRequest) sharesKeys(node *nodeRecord) bool {
	if request.class.DedupGroup != DedupZone {
		return true // all nodes of the request's replica group do
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.mayHaveRun && attempt.node.Zone != node.Zone {
			return false
		}
	}
	return true
}

// eligible reports whether the request may be sent to the node, given the node's state and health and the request's
// earlier attempts.
func (r *Router) eligible(node *nodeRecord, request *openRequest, asPrimary bool) bool {
	if node.ejected || !r.mayReceive(node, asPrimary) {
		return false
	}
	if !r.mayAttempt(request, node) || !r.withinSlowStart(node, request) {
		return false
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.node == node && (attempt.pending || r.now-attempt.endedAt < retrySpacing) {
			return false
		}
	}
	return true
}

// send starts an attempt at the node.
func (r *Router) send(request *openRequest, node *nodeRecord) {
	limit := r.writeLimit(request, node)
	node.slowStart.Sent(r.now, r.settings.OverloadWindow, r.slowStartWork(request))
	request.attempts = append(request.attempts, attemptRecord{
		node:       node,
		sentAt:     r.now,
		loadAtSend: r.estimatedInFlight(node),
		pending:    true,
		mayHaveRun: true,
	})
	request.pending++
	r.addInFlight(node, 1)
	if request.class.Read == Write {
		r.writes.Sent(request.Session)
	}
	r.emit(Action{Kind: Send, Request: request.id, Node: node.ID, Limit: limit})
}

// attemptDone processes the outcome of an attempt. It returns the request if it must be routed again, otherwise nil.
func (r *Router) attemptDone(id RequestID, outcome *Outcome) *openRequest {
	r.recordReports(outcome)
	request := r.requests[id]
	if request == nil || outcome.Attempt >= len(request.attempts) {
		return nil
	}
	attempt := &request.attempts[outcome.Attempt]
	if !attempt.pending {
		return nil
	}
	r.endAttempt(request, attempt, outcome)
	if request.done || outcome.Final {
		r.finish(request)
		return nil
	}
	if request.pending > 0 {
		return nil
	}
	if !r.mayRetry(request, outcome.Status) {
		r.rejectOrFail(request)
		return nil
	}
	return request
}

// endAttempt records the end of an attempt for its request, its node and its session.
func (r *Router) endAttempt(request *openRequest, attempt *attemptRecord, outcome *Outcome) {
	status := outcome.Status
	attempt.pending, attempt.endedAt = false, r.now
	attempt.mayHaveRun = !outcome.NeverRan()
	request.pending--
	if status != ConnectFailed && status != ConnectRefused && status != NotSent {
		request.waitUntil = request.deadline
	}
	if !attempt.lost {
		r.addInFlight(attempt.node, -1)
	}
	if status != NotSent && status != Cancelled && (!attempt.lost || status != TimedOut) {
		r.recordOutcome(request, attempt, outcome)
	}
	if request.class.Read == Write {
		commit := clockoffset.Instant{Remote: outcome.AnswerEvidence.Position}
		if commit.Remote == 0 {
			commit.Own = r.now
		}
		r.writes.Ended(request.Session, !outcome.NeverRan(), commit)
	}
}

// mayRetry reports whether a request without a pending attempt may be routed again. A retry of a read after an overload
// is charged to the retry budget: if one node is overloaded, all may be, and unlimited retries would add to the load.
func (r *Router) mayRetry(request *openRequest, status Status) bool {
	overloaded := status == NodeOverloaded && request.class.Read != Write
	if overloaded && r.retryBudget < 1 {
		return false
	}
	if request.mayHaveRun() && request.class.Effect == NonIdempotent || r.now >= request.deadline {
		return false
	}
	if overloaded {
		r.retryBudget--
	}
	return true
}

// checkOverdue checks whether the last attempt of a request, which is pending, is lost or its node unresponsive. If so,
// a read may be hedged.
func (r *Router) checkOverdue(request *openRequest) {
	attempt := &request.attempts[len(request.attempts)-1]
	waited, objective := r.now-attempt.sentAt, r.latencyObjective(request)
	r.ejectIfSilent(attempt.node, waited, objective)
	r.detectLoss(attempt, waited, objective)
	if attempt.node.ejected || attempt.lost {
		r.hedge(request)
	}
}

// detectLoss marks an attempt as lost if it has been pending for many times the node's mean latency while attempts sent
// well after it were answered. A lost attempt no longer counts as in flight at its node: lost writes must not block
// others. A rare and very costly read is wrongly marked as lost too.
func (r *Router) detectLoss(attempt *attemptRecord, waited, objective time.Duration) {
	meanLatency := time.Duration(attempt.node.meanLatency)
	overtaken := attempt.node.latestAnsweredSend > attempt.sentAt+meanLatency
	if !attempt.lost && waited > max(lostMultiple*meanLatency, objective) && overtaken {
		r.stopCounting(attempt)
	}
}

// stopCounting marks a pending attempt as lost, which removes it from its node's count of in-flight requests.
func (r *Router) stopCounting(attempt *attemptRecord) {
	if attempt.lost {
		return
	}
	attempt.lost = true
	r.addInFlight(attempt.node, -1)
}

// mayHedge reports whether a request may have two pending attempts.
func (r *Router) mayHedge(request *openRequest) bool {
	return r.settings.CanHedge && request.class.Read != Write
}

// hedge sends a second attempt of a read to another replica that is below its bound, if the retry budget allows it.
func (r *Router) hedge(request *openRequest) {
	if !r.mayHedge(request) || request.pending > 1 || r.retryBudget < 1 {
		return
	}
	found := r.nextReplica(request.group, r.primary(request.group), request)
	if found.isBelowBound {
		r.retryBudget--
		r.send(request, found.replica)
	}
}

// answerStarted marks a request as streaming: it has no deadline any more, and its attempt no longer counts as in
// flight at its node.
func (r *Router) answerStarted(id RequestID, attempt int) {
	request := r.requests[id]
	if request == nil || request.done || attempt >= len(request.attempts) || !request.attempts[attempt].pending {
		return
	}
	request.streaming = true
	r.stopCounting(&request.attempts[attempt])
}
