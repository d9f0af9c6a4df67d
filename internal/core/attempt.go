package core

import (
	"time"

	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Backend carries attempts to databases over one wire.
type Backend interface {
	Send(*Attempt)   // ends with Core.Done, unless cancelled
	Cancel(*Attempt) // no report follows
}

// Attempt is one send of a request to a database.
type Attempt struct {
	Request  *Request
	Member   *Member
	Deadline time.Duration // it is waited for until then
	WriteBy  time.Duration // it must not be written later than this; 0: at any time; see MaySend
	Handle   any           // the backend's own

	number int
	sent   time.Duration
	first  time.Duration // its answer's first piece; 0 for one that comes whole
	timer  *timerwheel.Timer
	others int // attempts out at its database when it was sent, of requests that teach
	done   bool
	whole  bool // it has been written whole
}

func (c *Core) send(q *Request, a routing.Action) {
	now := c.clock()
	try := &Attempt{
		Request: q, Member: c.members[a.Node], Deadline: q.deadline, WriteBy: a.WriteBy, number: len(q.attempts),
		sent: now,
	}
	if a.Delay > 0 {
		try.Deadline = min(try.Deadline, now+a.Delay)
	}
	q.attempts = append(q.attempts, try)
	q.out++
	c.held.Leave(q.id)
	if q.CostObserver != nil {
		try.others = c.out[a.Node]
		c.out[a.Node]++
	}
	if q.done || q.began != nil || !c.may(try.Member) {
		c.Done(try, routing.NotSent, routing.Evidence{}, nil)
		return
	}
	c.Count.Attempts++
	if c.off.Blind[a.Node] && c.lapsed() {
		c.Count.Blind++
	}
	// Against peers that are cut off and never close.
	try.timer = c.Wheel.At(try.Deadline, func() { c.cancel(try, routing.TimedOut) })
	q.Backend.Send(try)
}

// MaySend tells whether an attempt that waited for its connection may still be written: asked as the last thing before its
// statement goes out. Against a client that has left meanwhile where attempts are not called off, a read sent on a proof that has
// run out, and a database that has begun to drain.
func (c *Core) MaySend(a *Attempt) bool {
	c.leaveUnheard(a.Request)
	now := c.clock()
	return !a.done && !a.Request.done && now < a.Deadline && (a.WriteBy == 0 || now <= a.WriteBy) && c.may(a.Member)
}

// Written tells that the last byte of an attempt has been handed over for its database.
func (c *Core) Written(a *Attempt) {
	if !a.whole {
		a.whole = true
		c.Count.Written++
	}
}

// AnswerStarted tells that the answer of an attempt starts to reach the client: from now on no other attempt can answer
// the request. It returns false if the request is over and nothing may be passed on.
func (c *Core) AnswerStarted(a *Attempt) bool {
	q := a.Request
	if a.done || q.done || q.began != nil {
		return q.began == a && !a.done && !q.done
	}
	q.began = a
	for _, other := range q.attempts { // Against a second copy that ends or mixes with the answer.
		if other != a {
			c.cancel(other, routing.Cancelled)
		}
	}
	return true
}

// AnswerPiece passes on a piece of a long answer, as Streamer does. With the first one the request is bound to this attempt,
// and from then on only progress is timed: cut off at the deadline, what the database still gives would be lost.
func (c *Core) AnswerPiece(a *Attempt, data []byte, more func()) (room, ok bool) {
	q := a.Request
	if q.began != a && !c.AnswerStarted(a) || a.done || q.done {
		return false, false
	}
	now := c.clock()
	if a.first == 0 {
		a.first = now
		q.guard.Stop()
		c.push(routing.Event{Kind: routing.AnswerStarted, Request: q.id, Outcome: routing.Outcome{Attempt: a.number}})
		q.ran, q.took = true, now-a.sent
		c.outside(q) // what is left is the client's time, not the databases'
	}
	silent := func() { // Against a database that stops halfway.
		a.timer.Stop()
		a.timer = c.Wheel.At(min(c.clock()+c.limits.PieceWait, a.first+c.limits.AnswerLongest),
			func() { c.cancel(a, routing.TimedOut) })
	}
	s, ok := q.Client.(StreamingClient)
	if !ok || s.Piece(data, func() {
		if !a.done {
			silent()
			more()
		}
	}) {
		silent()
		return true, true
	}
	a.timer.Stop() // the client's own progress is timed by its front
	a.timer = c.Wheel.At(a.first+c.limits.AnswerLongest, func() { c.cancel(a, routing.TimedOut) })
	return false, true
}

// Done ends an attempt. With OK the answer goes to the client, if the request is not over.
func (c *Core) Done(a *Attempt, status routing.Status, note routing.Evidence, answer any) {
	if a.done {
		return
	}
	q := a.Request
	a.done = true
	a.timer.Stop()
	q.out--
	*c.Count.outcome(status)++
	took := c.clock() - a.sent
	if a.first > 0 { // what the client took to read is not the database's time
		took = a.first - a.sent
	}
	c.learn(a, status, took)
	c.answered(a, status, note)
	if !q.done {
		switch {
		case q.began != nil && q.began != a: // the answer is another attempt's
		case status == routing.OK:
			c.finish(q)
			q.count.Served++
			q.Client.Served(answer)
		case q.began != nil: // Against an answer cut halfway being sent again, or shown as whole.
			c.finish(q)
			q.count.Failed++
			q.Client.Failed(failure(status == routing.TimedOut))
		}
	}
	c.push(routing.Event{Kind: routing.AttemptDone, Request: q.id, Outcome: routing.Outcome{
		Node:    a.Member.ID,
		Attempt: a.number, Status: status, Duration: took, Final: q.done, Note: note,
	}})
	c.forget(q)
}

// DoneUnusable ends an attempt whose statement the database cannot use, and the request with it. Against a bad client's
// request being sent again and again, each time at the cost of another database's good name.
func (c *Core) DoneUnusable(a *Attempt, note routing.Evidence) {
	if q := a.Request; !a.done && !q.done && (q.began == nil || q.began == a) {
		c.finish(q)
		q.count.Failed++
		q.Client.Failed(Unusable)
	}
	c.Done(a, routing.NodeRejected, note, nil)
}

// cancel ends the wait on an attempt: its connection is closed before anything else is sent for the request.
func (c *Core) cancel(a *Attempt, status routing.Status) {
	if a.done {
		return
	}
	a.Request.Backend.Cancel(a)
	c.Done(a, status, routing.Evidence{}, nil)
}

// AttemptsInFlight is how many attempts are out at each of some databases.
func (c *Core) AttemptsInFlight(at map[routing.NodeID]bool) map[routing.NodeID]int {
	out := map[routing.NodeID]int{}
	for _, q := range c.requests {
		for _, a := range q.attempts {
			if !a.done && at[a.Member.ID] {
				out[a.Member.ID]++
			}
		}
	}
	return out
}
