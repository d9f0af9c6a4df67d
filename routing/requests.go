package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	anyRoom   = 2.0 // times the bound: room for long reads of any data, which keep together
	writeRoom = 3.0 // writes are held beyond this multiple of the cap
)

type request struct {
	id RequestID
	Arrival
	class             *Class
	group             *group
	arrived, deadline time.Duration
	letGo             time.Duration       // held no longer: half its time until it has reached a node
	worth, room       float64             // share of the dearest's; multiple of a bound that it may fill
	need              clockoffset.Instant // position that a session or fresh read must see
	tries             []attempt
	out, asked, most  int           // attempts that are out; probes made for it; attempts it may have
	mayRun            bool          // an attempt is out or ended without proof that it never ran
	firstRun          time.Duration // send of the first such attempt
	dedup             *node         // where it went
	done, begun       bool
}

func (r *Router) arrive(id RequestID, a *Arrival) *request {
	class := &r.set.Classes[a.Class]
	q := &request{id: id, Arrival: *a, class: class, group: r.groupOf(a.Group), arrived: r.now,
		deadline: r.now + a.TimeLeft, letGo: r.now + a.TimeLeft/2, worth: class.Weight / r.topWorth, room: 1,
		most: r.set.MaxAttempts}
	switch {
	case class.Read == AnyRead && class.LatencyObjective > r.tightest: // It may hold the log up too long: at few nodes.
		q.Session, q.room = uint64(a.Class)+1, anyRoom
	case class.Read == FreshRead:
		q.need = clockoffset.Instant{Own: r.now}
	case class.Read == SessionRead:
		if q.need.Remote = a.LastWrite; r.set.KeepSessions {
			q.need = q.need.Later(r.writes.Need(a.Session, r.now))
		}
	}
	r.work.Arrived(a.Class)
	r.requests[id] = q
	r.open = append(r.open, q)
	r.extra = min(extraMost, r.extra+extraShare)
	r.probes = min(float64(len(r.nodes)), r.probes+probeShare+probeAlone/float64(r.set.Routers))
	if !r.quotas.Take(a.Tenant, r.now) {
		q.worth *= r.set.OverQuota
	}
	return q
}

// place sends the request, holds it, or gives it up.
func (r *Router) place(q *request) {
	if q.done || q.out > 0 {
		return
	}
	if q.group == nil || len(q.tries) >= q.most || r.now >= q.letGo-2*tickEvery {
		r.giveUp(q)
		return
	}
	if q.class.Read == Write {
		p := r.primary(q.group)
		if p == nil && !r.set.CanProbe { // A member that is not the primary turns the write away untouched.
			p, _ = r.walk(q.group, nil, q)
		}
		if p != nil && r.usable(p, q, true) && (!p.unproven || p.inFlight < 1) &&
			r.crowd(p) < writeRoom*capAll {
			r.send(q, p)
		}
		return
	}
	if q.class.LateWeight == 0 && r.now >= q.arrived+r.aim(q) {
		r.giveUp(q)
	} else if n, shed := r.chooseRead(q); n != nil {
		r.send(q, n)
	} else if shed {
		r.giveUp(q)
	}
}

// end closes the request. Attempts that are still out are called off where that is allowed.
func (r *Router) end(q *request) {
	q.done = true
	for i, t := range q.tries {
		if t.pending && r.set.CanCancel {
			r.emit(Action{Kind: Cancel, Request: q.id, Attempt: i})
		}
	}
	if q.out == 0 {
		delete(r.requests, q.id)
	}
}

// giveUp gives the final answer at once: refused where a retry is known to be harmless, failed elsewhere. A
// refused client is told to come back after the aim: sooner it would find the same crowd, or no primary yet.
func (r *Router) giveUp(q *request) {
	c := q.class
	if c.Effect == Idempotent || !q.mayRun || c.Effect == Deduplicated && c.DedupGroup == DedupAll { // harmless
		r.emit(Action{Kind: Reject, Request: q.id, Delay: min(c.LatencyObjective, r.set.MaxRetryAfter)})
	} else {
		r.emit(Action{Kind: Fail, Request: q.id})
	}
	r.end(q)
}

func (r *Router) aim(q *request) time.Duration {
	return min(q.class.LatencyObjective+time.Duration(q.class.ObjectivePerWork*float64(q.Work)), q.class.Deadline)
}
