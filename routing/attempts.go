package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	lostAfter  = 8    // times the usual latency, and the aim: what later ones overtook is lost
	extraShare = 0.1  // second copies and retries allowed for each first try
	extraMost  = 20.0 // saved up
)

type attempt struct {
	n             *node
	at, ended     time.Duration
	behind        float64 // crowd there at the send
	pending, lost bool
}

// attemptDone books an outcome. It returns the request if it is still to be placed.
func (r *Router) attemptDone(id RequestID, o *Outcome) *request {
	if n := r.byID[o.Node]; n != nil {
		r.learn(n, o.Note, clockoffset.Instant{Own: r.now})
		r.learn(n, o.Report, r.told(o.Report.Position))
	}
	q := r.requests[id]
	if q == nil || o.Attempt >= len(q.tries) || !q.tries[o.Attempt].pending {
		return nil
	}
	t := &q.tries[o.Attempt]
	n := t.n
	t.pending, t.ended = false, r.now
	if o.Status != ConnectFailed && o.Status != ConnectRefused && o.Status != NotSent {
		q.letGo = q.deadline
	}
	q.out--
	if !t.lost {
		r.book(n, -1)
	}
	if o.Status != NotSent && o.Status != Cancelled && !(t.lost && o.Status == TimedOut) {
		r.sample(n, q, o)
	}
	if q.class.Read == Write {
		commit := clockoffset.Instant{Remote: o.Note.Position}
		if commit.Remote == 0 {
			commit.Own = r.now
		}
		r.writes.Ended(q.Session, !o.Status.NeverRan(), commit)
	}
	if q.done || o.Final {
		r.end(q)
		return nil
	}
	if o.Status.NeverRan() && q.out == 0 && q.dedup == n && q.firstRun == t.at {
		q.mayRun, q.dedup = false, nil
	}
	if q.out > 0 {
		return nil
	}
	full := o.Status == NodeOverloaded && q.class.Read != Write // Where one is full, all may be: no storm.
	if full && r.extra < 1 || q.mayRun && q.class.Effect == NonIdempotent || r.now >= q.deadline {
		r.giveUp(q)
		return nil
	}
	if full {
		r.extra--
	}
	return q
}

func (r *Router) send(q *request, n *node) {
	n.cold.Sent(r.now, r.set.OverloadWindow, r.coldWork(q))
	if !q.mayRun {
		q.mayRun, q.firstRun, q.dedup = true, r.now, n
	}
	q.tries = append(q.tries, attempt{n: n, at: r.now, pending: true, behind: r.crowd(n)})
	r.book(n, 1)
	if q.out++; q.class.Read == Write {
		r.writes.Sent(q.Session)
	}
	var by time.Duration // Proof of freshness may run out while a connection is opened.
	if q.class.Read == BoundedRead && n.role != Primary && r.set.StaleReads == StaleAnswered {
		by = n.position + q.class.MaxAge - r.offset.Latest
	}
	r.emit(Action{Kind: Send, Request: q.id, Node: n.ID, WriteBy: by})
}

// maySend keeps the rule on repeats and the attempts within their cap.
func (r *Router) maySend(q *request, n *node) bool {
	if q.done || len(q.tries) >= q.most || q.out > 0 && !r.set.CanHedge {
		return false
	}
	if !q.mayRun || q.class.Effect == Idempotent {
		return true
	}
	return q.class.Effect == Deduplicated && r.now-q.firstRun < q.class.DedupWindow &&
		(q.class.DedupGroup != DedupZone || n.Zone == q.dedup.Zone)
}

// usable tells whether the request may go to the node as far as rules, health and earlier attempts go.
func (r *Router) usable(n *node, q *request, asPrimary bool) bool {
	if n.down || !r.mayUse(n, asPrimary) || !r.maySend(q, n) || !r.coldRoom(n, q) {
		return false
	}
	for _, t := range q.tries {
		if t.n == n && (t.pending || r.now-t.ended < again) {
			return false
		}
	}
	return true
}

func (r *Router) overdue(q *request) {
	t := &q.tries[len(q.tries)-1]
	n, waited, aim, usual := t.n, r.now-t.at, r.aim(q), time.Duration(t.n.latency)
	quiet := max(silence, silenceBy*usual, aim)
	if waited > quiet && r.now-n.answered > quiet && !n.down {
		r.suspect(n, true)
	}
	// An attempt out for many times the usual while ones sent well after it are answered was lost on the way.
	// It leaves the count, so that lost writes do not stop others. A rare very costly read gets a copy too.
	if !t.lost && waited > max(lostAfter*usual, aim) && n.overtook > t.at+usual {
		t.lost = true
		r.book(n, -1)
	}
	if q.class.Read == Write || q.out > 1 || r.extra < 1 || !n.down && !t.lost {
		return
	}
	if m, room := r.walk(q.group, r.primary(q.group), q); room {
		r.extra--
		r.send(q, m)
	}
}

// began takes a request whose answer is on its way out of the open ones, and its attempt out of the node's count.
func (r *Router) began(id RequestID, attempt int) {
	if q := r.requests[id]; q != nil && !q.done && attempt < len(q.tries) && q.tries[attempt].pending {
		q.begun = true
		if t := &q.tries[attempt]; !t.lost {
			t.lost = true
			r.book(t.n, -1)
		}
	}
}
