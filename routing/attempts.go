package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	lostMultiple     = 8    // times the usual latency, and the aim: what later ones overtook is lost
	retryBudgetShare = 0.1  // second copies and retries allowed for each first try
	maxRetryBudget   = 20.0 // saved up
)

type attemptRecord struct {
	node            *nodeRecord
	sentAt, endedAt time.Duration
	loadAtSend      float64 // crowd there at the send
	pending, lost   bool
}

// attemptDone books an outcome. It returns the request if it is still to be placed.
func (r *Router) attemptDone(id RequestID, o *Outcome) *openRequest {
	if n := r.byID[o.Node]; n != nil {
		r.learn(n, o.Note, clockoffset.Instant{Own: r.now})
		r.learn(n, o.Report, r.toldInstant(o.Report.Position))
	}
	q := r.requests[id]
	if q == nil || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].pending {
		return nil
	}
	t := &q.attempts[o.Attempt]
	n := t.node
	t.pending, t.endedAt = false, r.now
	if o.Status != ConnectFailed && o.Status != ConnectRefused && o.Status != NotSent {
		q.holdUntil = q.deadline
	}
	q.pending--
	if !t.lost {
		r.addInFlight(n, -1)
	}
	if o.Status != NotSent && o.Status != Cancelled && !(t.lost && o.Status == TimedOut) {
		r.recordOutcome(n, q, o)
	}
	if q.class.Read == Write {
		commit := clockoffset.Instant{Remote: o.Note.Position}
		if commit.Remote == 0 {
			commit.Own = r.now
		}
		r.writes.Ended(q.Session, !o.Status.NeverRan(), commit)
	}
	if q.done || o.Final {
		r.finish(q)
		return nil
	}
	if o.Status.NeverRan() && q.pending == 0 && q.dedupNode == n && q.firstSentAt == t.sentAt {
		q.mayHaveRun, q.dedupNode = false, nil
	}
	if q.pending > 0 {
		return nil
	}
	full := o.Status == NodeOverloaded && q.class.Read != Write // Where one is full, all may be: no storm.
	if full && r.retryBudget < 1 || q.mayHaveRun && q.class.Effect == NonIdempotent || r.now >= q.deadline {
		r.rejectOrFail(q)
		return nil
	}
	if full {
		r.retryBudget--
	}
	return q
}

func (r *Router) send(q *openRequest, n *nodeRecord) {
	n.slowStart.Sent(r.now, r.settings.OverloadWindow, r.slowStartWork(q))
	if !q.mayHaveRun {
		q.mayHaveRun, q.firstSentAt, q.dedupNode = true, r.now, n
	}
	q.attempts = append(q.attempts, attemptRecord{node: n, sentAt: r.now, pending: true, loadAtSend: r.estimatedInFlight(n)})
	r.addInFlight(n, 1)
	if q.pending++; q.class.Read == Write {
		r.writes.Sent(q.Session)
	}
	var by time.Duration // Proof of freshness may run out while a connection is opened.
	if q.class.Read == BoundedRead && n.role != Primary && r.settings.StaleReads == StaleAnswered {
		by = n.position + q.class.MaxAge - r.offset.Latest
	}
	r.emit(Action{Kind: Send, Request: q.id, Node: n.ID, WriteBy: by})
}

// mayAttempt keeps the rule on repeats and the attempts within their cap.
func (r *Router) mayAttempt(q *openRequest, n *nodeRecord) bool {
	if q.done || len(q.attempts) >= q.maxAttempts || q.pending > 0 && !r.settings.CanHedge {
		return false
	}
	if !q.mayHaveRun || q.class.Effect == Idempotent {
		return true
	}
	return q.class.Effect == Deduplicated && r.now-q.firstSentAt < q.class.DedupWindow &&
		(q.class.DedupGroup != DedupZone || n.Zone == q.dedupNode.Zone)
}

// eligible tells whether the request may go to the node as far as rules, health and earlier attempts go.
func (r *Router) eligible(n *nodeRecord, q *openRequest, asPrimary bool) bool {
	if n.ejected || !r.mayReceive(n, asPrimary) || !r.mayAttempt(q, n) || !r.withinSlowStart(n, q) {
		return false
	}
	for _, t := range q.attempts {
		if t.node == n && (t.pending || r.now-t.endedAt < retrySpacing) {
			return false
		}
	}
	return true
}

func (r *Router) checkOverdue(q *openRequest) {
	t := &q.attempts[len(q.attempts)-1]
	n, waited, aim, usual := t.node, r.now-t.sentAt, r.latencyObjective(q), time.Duration(t.node.latency)
	quiet := max(minSilence, silenceMultiple*usual, aim)
	if waited > quiet && r.now-n.lastAnswer > quiet && !n.ejected {
		r.eject(n, true)
	}
	// An attempt out for many times the usual while ones sent well after it are answered was lost on the way.
	// It leaves the count, so that lost writes do not stop others. A rare very costly read gets a copy too.
	if !t.lost && waited > max(lostMultiple*usual, aim) && n.latestAnsweredSend > t.sentAt+usual {
		t.lost = true
		r.addInFlight(n, -1)
	}
	if q.class.Read == Write || q.pending > 1 || r.retryBudget < 1 || !n.ejected && !t.lost {
		return
	}
	if m, room := r.nextReplica(q.group, r.primary(q.group), q); room {
		r.retryBudget--
		r.send(q, m)
	}
}

// answerStarted takes a request whose answer is on its way out of the open ones, and its attempt out of the node's count.
func (r *Router) answerStarted(id RequestID, attempt int) {
	if q := r.requests[id]; q != nil && !q.done && attempt < len(q.attempts) && q.attempts[attempt].pending {
		q.answering = true
		if t := &q.attempts[attempt]; !t.lost {
			t.lost = true
			r.addInFlight(t.node, -1)
		}
	}
}
