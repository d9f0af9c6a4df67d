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

	number         int
	sentAt         time.Duration
	firstPieceAt   time.Duration // its answer's first piece; 0 for one that comes whole
	timer          *timerwheel.Timer
	othersInFlight int // attempts out at its database when it was sent, of requests that teach
	done           bool
	written        bool // it has been written whole
}

func (c *Core) send(request *Request, action routing.Action) {
	now := c.clock()
	attempt := &Attempt{
		Request: request, Member: c.members[action.Node], Deadline: request.deadline, WriteBy: action.WriteBy, number: len(request.attempts),
		sentAt: now,
	}
	if action.Delay > 0 {
		attempt.Deadline = min(attempt.Deadline, now+action.Delay)
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	c.pending.Leave(request.id)
	if request.CostObserver != nil {
		attempt.othersInFlight = c.teachingInFlight[action.Node]
		c.teachingInFlight[action.Node]++
	}
	if request.done || request.answering != nil || !c.mayBegin(attempt.Member) {
		c.Done(attempt, routing.NotSent, routing.Evidence{}, nil)
		return
	}
	c.Count.Attempts++
	if c.blocks.Blind[action.Node] && c.blocksExpired() {
		c.Count.Blind++
	}
	// Against peers that are cut off and never close.
	attempt.timer = c.Wheel.At(attempt.Deadline, func() { c.cancel(attempt, routing.TimedOut) })
	request.Backend.Send(attempt)
}

// MaySend tells whether an attempt that waited for its connection may still be written: asked as the last thing before its
// statement goes out. Against a client that has left meanwhile where attempts are not called off, a read sent on a proof that has
// run out, and a database that has begun to drain.
func (c *Core) MaySend(attempt *Attempt) bool {
	c.detectClientGone(attempt.Request)
	now := c.clock()
	return !attempt.done && !attempt.Request.done && now < attempt.Deadline && (attempt.WriteBy == 0 || now <= attempt.WriteBy) && c.mayBegin(attempt.Member)
}

// Written tells that the last byte of an attempt has been handed over for its database.
func (c *Core) Written(attempt *Attempt) {
	if !attempt.written {
		attempt.written = true
		c.Count.Written++
	}
}

// AnswerStarted tells that the answer of an attempt starts to reach the client: from now on no other attempt can answer
// the request. It returns false if the request is over and nothing may be passed on.
func (c *Core) AnswerStarted(attempt *Attempt) bool {
	request := attempt.Request
	if attempt.done || request.done || request.answering != nil {
		return request.answering == attempt && !attempt.done && !request.done
	}
	request.answering = attempt
	for _, other := range request.attempts { // Against a second copy that ends or mixes with the answer.
		if other != attempt {
			c.cancel(other, routing.Cancelled)
		}
	}
	return true
}

// AnswerPiece passes on a piece of a long answer, as Streamer does. With the first one the request is bound to this attempt,
// and from then on only progress is timed: cut off at the deadline, what the database still gives would be lost.
func (c *Core) AnswerPiece(attempt *Attempt, data []byte, more func()) (room, ok bool) {
	request := attempt.Request
	if request.answering != attempt && !c.AnswerStarted(attempt) || attempt.done || request.done {
		return false, false
	}
	now := c.clock()
	if attempt.firstPieceAt == 0 {
		attempt.firstPieceAt = now
		request.overdue.Stop()
		c.pushEvent(routing.Event{Kind: routing.AnswerStarted, Request: request.id, Outcome: routing.Outcome{Attempt: attempt.number}})
		request.mayHaveRun, request.lastDuration = true, now-attempt.sentAt
		c.leaveAdmission(request) // what is left is the client's time, not the databases'
	}
	silent := func() { // Against a database that stops halfway.
		attempt.timer.Stop()
		attempt.timer = c.Wheel.At(min(c.clock()+c.limits.PieceWait, attempt.firstPieceAt+c.limits.AnswerLongest),
			func() { c.cancel(attempt, routing.TimedOut) })
	}
	s, ok := request.Client.(StreamingClient)
	if !ok || s.Piece(data, func() {
		if !attempt.done {
			silent()
			more()
		}
	}) {
		silent()
		return true, true
	}
	attempt.timer.Stop() // the client's own progress is timed by its front
	attempt.timer = c.Wheel.At(attempt.firstPieceAt+c.limits.AnswerLongest, func() { c.cancel(attempt, routing.TimedOut) })
	return false, true
}

// Done ends an attempt. With OK the answer goes to the client, if the request is not over.
func (c *Core) Done(attempt *Attempt, status routing.Status, note routing.Evidence, answer any) {
	if attempt.done {
		return
	}
	request := attempt.Request
	attempt.done = true
	attempt.timer.Stop()
	request.inFlight--
	*c.Count.outcome(status)++
	took := c.clock() - attempt.sentAt
	if attempt.firstPieceAt > 0 { // what the client took to read is not the database's time
		took = attempt.firstPieceAt - attempt.sentAt
	}
	c.noteAttemptEnded(attempt, status, took)
	c.sampleAnswer(attempt, status, note)
	if !request.done {
		switch {
		case request.answering != nil && request.answering != attempt: // the answer is another attempt's
		case status == routing.OK:
			c.finish(request)
			request.answers.Served++
			request.Client.Served(answer)
		case request.answering != nil: // Against an answer cut halfway being sent again, or shown as whole.
			c.finish(request)
			request.answers.Failed++
			request.Client.Failed(failure(status == routing.TimedOut))
		}
	}
	c.pushEvent(routing.Event{Kind: routing.AttemptDone, Request: request.id, Outcome: routing.Outcome{
		Node:    attempt.Member.ID,
		Attempt: attempt.number, Status: status, Duration: took, Final: request.done, Note: note,
	}})
	c.release(request)
}

// DoneUnusable ends an attempt whose statement the database cannot use, and the request with it. Against a bad client's
// request being sent again and again, each time at the cost of another database's good name.
func (c *Core) DoneUnusable(attempt *Attempt, note routing.Evidence) {
	if request := attempt.Request; !attempt.done && !request.done && (request.answering == nil || request.answering == attempt) {
		c.finish(request)
		request.answers.Failed++
		request.Client.Failed(Unusable)
	}
	c.Done(attempt, routing.NodeRejected, note, nil)
}

// cancel ends the wait on an attempt: its connection is closed before anything else is sent for the request.
func (c *Core) cancel(attempt *Attempt, status routing.Status) {
	if attempt.done {
		return
	}
	attempt.Request.Backend.Cancel(attempt)
	c.Done(attempt, status, routing.Evidence{}, nil)
}

// AttemptsInFlight is how many attempts are out at each of some databases.
func (c *Core) AttemptsInFlight(at map[routing.NodeID]bool) map[routing.NodeID]int {
	out := map[routing.NodeID]int{}
	for _, request := range c.requests {
		for _, attempt := range request.attempts {
			if !attempt.done && at[attempt.Member.ID] {
				out[attempt.Member.ID]++
			}
		}
	}
	return out
}
