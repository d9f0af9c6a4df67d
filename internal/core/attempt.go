package core

import (
	"time"

	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Statement is the statement of a request in the encoding of its wire protocol, bound to the backend that sends it.
type Statement interface {
	// Send begins an attempt. The backend reports its end with Core.Done or Core.DoneUnusable, unless it is cancelled.
	Send(*Attempt) Transmission
}

// Transmission is an attempt that a backend has begun.
type Transmission interface {
	// Cancel ends the attempt. The backend reports nothing about it afterwards.
	Cancel()
}

// Attempt is one send of a request to a database.
type Attempt struct {
	Request    *Request
	Member     *Member
	Deadline   time.Duration      // on the core's clock; the attempt is cancelled at this time
	WriteLimit routing.WriteLimit // on the core's clock, at the latest at Deadline; see Core.CheckWrite

	number         int               // index among the request's attempts
	sentAt         time.Duration     // when the router decided on it, on the core's clock
	firstPieceAt   time.Duration     // when the first piece of its answer arrived, on the core's clock; 0: none has
	heldUp         time.Duration     // for which the client could take no piece, up to heldUpSince
	heldUpSince    time.Duration     // when the client's buffers became full, on the core's clock; 0: they have room
	transmission   Transmission      // nil if it ended before it was sent
	timeout        *timerwheel.Timer // cancels the attempt
	othersInFlight int               // other attempts at its database when it was sent; see CostObserver
	done           bool              // it has ended, see Done
	written        bool              // its last byte has been handed to the operating system
	accepted       bool              // its database has taken the statement; see Core.Accepted
}

// send begins an attempt. The attempt ends at once with NotSent if the request is over or being answered, or if its
// database accepts no attempts.
func (c *Core) send(request *Request, action routing.Action) {
	now := c.clock()
	attempt := &Attempt{
		Request:  request,
		Member:   c.members[action.Node],
		Deadline: request.deadline,
		number:   len(request.attempts),
		sentAt:   now,
	}
	if action.Delay > 0 {
		attempt.Deadline = min(attempt.Deadline, now+action.Delay)
	}
	attempt.WriteLimit = action.Limit.And(routing.WriteLimit{Until: attempt.Deadline, Condition: routing.DeadlineLeft})
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	c.pending.Leave(request.id)
	if request.CostObserver != nil {
		c.beginCostObservation(attempt)
	}
	if request.done || request.answering != nil || !c.acceptsAttempts(attempt.Member) {
		c.Done(attempt, routing.NotSent, routing.Evidence{}, nil)
		return
	}
	c.counters.Attempts++
	if c.blocks.UnverifiedAfterExpiry[action.Node] && c.blocksExpired() {
		c.counters.Blind++
	}
	// The timeout also ends attempts at unreachable databases, whose connections are never closed.
	attempt.timeout = c.Wheel.Schedule(attempt.Deadline, func() { c.cancel(attempt, routing.TimedOut) })
	attempt.transmission = request.Statement.Send(attempt)
}

// Written reports that the last byte of an attempt has been handed to the operating system.
func (c *Core) Written(attempt *Attempt) {
	if !attempt.written {
		attempt.written = true
		c.counters.Written++
	}
}

// Accepted reports that the database of an attempt has taken the statement, such as by a ticket for its result. The
// statement may have run from then on, whatever status the attempt ends with.
func (c *Core) Accepted(attempt *Attempt) { attempt.accepted = true }

// AnswerStarted reports that the answer of an attempt starts to reach the client. From now on only this attempt can
// answer the request. Its other attempts are cancelled: they must neither end the answer nor add to it. AnswerStarted
// returns false if the request is over or another attempt answers it; nothing may be passed on then.
func (c *Core) AnswerStarted(attempt *Attempt) bool {
	request := attempt.Request
	if attempt.done || request.done {
		return false
	}
	if request.answering != nil {
		return request.answering == attempt
	}
	request.answering = attempt
	for _, other := range request.attempts {
		if other != attempt {
			c.cancel(other, routing.Cancelled)
		}
	}
	return true
}

// liftTicks is how long before the deadline of an answer that streams its deadline is lifted, in timer ticks: before
// the router acts on it.
const liftTicks = 4

// AnswerStreams is AnswerStarted for a backend that passes the answer to the client itself, and limits the wait for
// each part of it. If the answer still streams at the deadline, it goes on, since a cut would lose the rest.
func (c *Core) AnswerStreams(attempt *Attempt) bool {
	if !c.AnswerStarted(attempt) {
		return false
	}
	attempt.timeout.Stop()
	lift := func() {
		if !attempt.done && !attempt.Request.done {
			c.startStreaming(attempt)
		}
	}
	attempt.timeout = c.Wheel.Schedule(attempt.Deadline-liftTicks*c.limits.TimerTick, lift)
	return true
}

// AnswerPiece passes a piece of a long answer to the client; see StreamingClient.Piece. ready is false if more will be
// called once the client accepts another piece. ok is false if nothing may be passed on. The first piece binds the
// request to this attempt and lifts its deadline, since a cut at the deadline would lose the rest of the answer. From
// then on ChunkTimeout limits the wait for each piece, and StreamTimeout the time for which the client holds them up.
func (c *Core) AnswerPiece(attempt *Attempt, data []byte, more func()) (ready, ok bool) {
	request := attempt.Request
	bound := request.answering == attempt || c.AnswerStarted(attempt)
	if !bound || attempt.done || request.done {
		return false, false
	}
	if attempt.firstPieceAt == 0 {
		c.startStreaming(attempt)
	}
	client, streams := request.Client.(StreamingClient)
	if !streams {
		c.awaitPiece(attempt)
		return true, true
	}
	resume := func() {
		if !attempt.done {
			c.awaitPiece(attempt)
			more()
		}
	}
	if client.Piece(data, resume) {
		c.awaitPiece(attempt)
		return true, true
	}
	c.awaitClient(attempt)
	return false, true
}

// startStreaming records the first piece of an answer. The client's speed, not the database's, determines the time of
// the rest; the request therefore no longer counts against a concurrency limit.
func (c *Core) startStreaming(attempt *Attempt) {
	request := attempt.Request
	now := c.clock()
	attempt.firstPieceAt = now
	request.overdueTimer.Stop()
	c.pushEvent(routing.Event{
		Kind:    routing.AnswerStarted,
		Request: request.id,
		Outcome: routing.Outcome{Attempt: attempt.number},
	})
	request.mayHaveRun = true
	request.lastDuration = now - attempt.sentAt
	c.leaveAdmission(request)
}

// awaitPiece sets the timeout for the next piece of an answer. It ends an attempt whose database stops halfway. A
// database that writes slowly may take as long as it needs.
func (c *Core) awaitPiece(attempt *Attempt) {
	now := c.clock()
	if attempt.heldUpSince > 0 {
		attempt.heldUp += now - attempt.heldUpSince
		attempt.heldUpSince = 0
	}
	c.resetTimeout(attempt, now+c.limits.ChunkTimeout)
}

// awaitClient limits the time in all for which the client's buffers are full, since the attempt keeps a connection to
// its database. The front limits how long the client may make no progress.
func (c *Core) awaitClient(attempt *Attempt) {
	attempt.heldUpSince = c.clock()
	c.resetTimeout(attempt, attempt.heldUpSince+c.limits.StreamTimeout-attempt.heldUp)
}

// resetTimeout changes the time at which an attempt is cancelled.
func (c *Core) resetTimeout(attempt *Attempt, at time.Duration) {
	attempt.timeout.Stop()
	attempt.timeout = c.Wheel.Schedule(at, func() { c.cancel(attempt, routing.TimedOut) })
}

// Done ends an attempt and reports its outcome to the router. With status OK, the answer goes to the client unless the
// request is over or another attempt answers it. The answer is in the encoding of the request's wire protocol, and nil
// if all of it was streamed. Done does nothing if the attempt has already ended.
func (c *Core) Done(attempt *Attempt, status routing.Status, evidence routing.Evidence, answer []byte) {
	if attempt.done {
		return
	}
	request := attempt.Request
	attempt.done = true
	attempt.timeout.Stop()
	request.inFlight--
	*c.counters.outcome(status)++
	outcome := routing.Outcome{
		Node:           attempt.Member.ID,
		Attempt:        attempt.number,
		Status:         status,
		Accepted:       attempt.accepted,
		Duration:       attempt.duration(c.clock()),
		AnswerEvidence: evidence,
	}
	c.recordAttemptEnd(attempt, &outcome)
	c.sampleAnswer(attempt, status, evidence)
	if !request.done {
		c.answerWith(attempt, status, answer)
	}
	outcome.Final = request.done
	c.pushEvent(routing.Event{Kind: routing.AttemptDone, Request: request.id, Outcome: outcome})
	c.release(request)
}

// duration returns how long the database took for an attempt that ends now. A streamed answer counts only until its
// first piece: the client's speed determines the time of the rest.
func (attempt *Attempt) duration(now time.Duration) time.Duration {
	if attempt.firstPieceAt > 0 {
		return attempt.firstPieceAt - attempt.sentAt
	}
	return now - attempt.sentAt
}

// mayAnswer reports whether the attempt may answer its request: no other attempt's answer has begun to stream.
func (attempt *Attempt) mayAnswer() bool {
	answering := attempt.Request.answering
	return answering == nil || answering == attempt
}

// answerWith ends the open request of an attempt that has ended, if the outcome decides it. After an answer that breaks
// off halfway the request fails: it is neither retried nor reported as served.
func (c *Core) answerWith(attempt *Attempt, status routing.Status, answer []byte) {
	request := attempt.Request
	if !attempt.mayAnswer() {
		return
	}
	answerStarted := request.answering != nil
	switch {
	case status == routing.OK:
		c.serve(request, answer)
	case answerStarted && status == routing.TimedOut:
		c.fail(request, DeadlineExceeded)
	case answerStarted:
		c.fail(request, ConnectionBroke)
	}
}

// DoneUnusable ends an attempt whose statement the database cannot use, and fails the request. Retries would count the
// fault of the client against one database after another.
func (c *Core) DoneUnusable(attempt *Attempt, evidence routing.Evidence) {
	request := attempt.Request
	if !attempt.done && !request.done && attempt.mayAnswer() {
		c.fail(request, Unusable)
	}
	c.Done(attempt, routing.NodeRejected, evidence, nil)
}

// cancel ends an attempt before its answer. Its connection is closed before anything else is sent for the request.
func (c *Core) cancel(attempt *Attempt, status routing.Status) {
	if attempt.done {
		return
	}
	attempt.transmission.Cancel()
	c.Done(attempt, status, routing.Evidence{}, nil)
}

// AttemptsInFlight returns the number of attempts in flight at each of the given databases. Databases with none are
// left out.
func (c *Core) AttemptsInFlight(databases map[routing.NodeID]bool) map[routing.NodeID]int {
	inFlight := map[routing.NodeID]int{}
	for _, request := range c.requests {
		for _, attempt := range request.attempts {
			if !attempt.done && databases[attempt.Member.ID] {
				inFlight[attempt.Member.ID]++
			}
		}
	}
	return inFlight
}
