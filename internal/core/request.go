package core

import (
	"cmp"
	"slices"
	"time"

	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Client receives the final answer of a request: exactly one of its methods is called, once, on the core's goroutine.
// None is called after Core.ClientGone.
type Client interface {
	// Served delivers the answer as the backend passed it to Core.Done. It is nil if all of it was streamed.
	Served(answer []byte)
	// Rejected reports that the request never ran or that a retry is harmless. The client may retry it after
	// retryAfter.
	Rejected(retryAfter time.Duration)
	// Failed reports that the request failed permanently. It may have run, unless why is Unusable.
	Failed(why Failure)
}

// StreamingClient is a Client that accepts a long answer in pieces. Served or Failed follows the last piece.
type StreamingClient interface {
	// Piece delivers the next bytes of the answer. The client must not use data after Piece has returned. If the
	// client's buffers are full, Piece returns false, and the client calls more once as soon as they have room.
	Piece(data []byte, more func()) bool
}

// DepartureDetector is a Client that can check its connection. HasLeft reports whether the user has closed the
// connection or cancelled the request, even if the front has not read that yet.
type DepartureDetector interface{ HasLeft() bool }

// Failure is the reason for which a request failed.
type Failure uint8

// The reasons for which requests fail.
const (
	ConnectionBroke  Failure = iota // it may have run
	DeadlineExceeded                // no answer in time; it may have run
	Unusable                        // the databases cannot use the statement
)

// Request is one request of a client. The front sets the exported fields before Submit.
type Request struct {
	Front        string        // name of the front, for the counters
	Name         string        // the client's name for it, unique among the open requests
	Class        int           // number of its class; see Core.Class
	Group        int           // number of the group of databases
	Session      uint64        // hash of the session key; 0: none
	TimeLeft     time.Duration // until the client stops waiting; negative: it has stopped
	LastWrite    time.Duration // when the session last committed, on the databases' clock; 0: never
	Statement    Statement     // what the database executes
	Client       Client        // receives the answer
	Route        Route         // how it is routed, if not as its class specifies
	ExpectedWork time.Duration // expected execution time at a database; 0: unknown
	CostObserver CostObserver  // receives the durations of its attempts; may be nil
	Tenant       int           // number of its tenant, for admission control
	Caller       uint64        // number of its client within the tenant
	OpenBefore   int           // how many requests its client's connection had open already
	RecentWork   int           // binary digits of the number of commands that its client's connection has lately sent

	id               routing.RequestID
	deadline         time.Duration     // on the core's clock
	latencyObjective time.Duration     // of its class, from the settings when it was submitted
	routerClass      int               // the router's number for its class; see Core.routerClass
	isWrite          bool              // by its class or its route
	attempts         []*Attempt        // in the order in which they were sent, including those that have ended
	inFlight         int               // number of attempts that have not ended
	answering        *Attempt          // the attempt whose answer has begun to reach the client; nil: none
	done             bool              // it has its final answer, or needs none
	overdueTimer     *timerwheel.Timer // calls failOverdue some time after its deadline
	counters         *Answers          // of its front and class

	admission    admissionState
	admittedAt   time.Duration // on the core's clock
	claimed      bool          // its name is claimed; see Core.Claim
	mayHaveRun   bool          // an attempt that has ended may have run; see neverRan
	lastDuration time.Duration // of the last attempt that was answered or timed out
}

// OpenRequests returns the number of requests without a final answer.
func (c *Core) OpenRequests() (n int) {
	for _, request := range c.requests {
		if !request.done {
			n++
		}
	}
	return n
}

// IsOpen reports whether a request with this name is open.
func (c *Core) IsOpen(name string) bool {
	_, open := c.openNames[name]
	return open
}

// IsWritten reports whether an attempt of the request has been written to a database: the request may have run.
func (request *Request) IsWritten() bool {
	return slices.ContainsFunc(request.attempts, func(attempt *Attempt) bool { return attempt.written })
}

// Submit accepts a request. The request is rejected before Submit returns if too many are open, which bounds the table,
// or after AnswerAll, since the request would be lost when the process exits. All other answers follow later.
func (c *Core) Submit(request *Request) {
	request.counters = c.answersOf(request.Front, c.settings.Names[request.Class])
	request.counters.Taken++
	if c.observing {
		c.requestsByGroup[request.Group]++
	}
	if c.closed || len(c.requests) >= c.limits.MaxOpen {
		request.done = true
		c.releaseClaim(request)
		request.counters.Refused++
		request.Client.Rejected(0)
		return
	}
	timeLeft := max(request.TimeLeft-c.limits.DeadlineMargin, 0)
	c.register(request, timeLeft)
	if c.admission != nil {
		c.offerForAdmission(request, timeLeft)
		return
	}
	c.forwardToRouter(request, timeLeft)
	c.requestFlush()
}

// register adds a request to the table of open requests, and sets the fields that the core derives for it.
func (c *Core) register(request *Request, timeLeft time.Duration) {
	c.lastRequest++
	request.id = c.lastRequest
	request.deadline = c.clock() + timeLeft
	request.latencyObjective = c.settings.Classes[request.Class].LatencyObjective
	request.routerClass = c.routerClass(request)
	request.isWrite = c.routesAsWrite(request)
	c.requests[request.id] = request
	c.openNames[request.Name] = struct{}{}
	request.overdueTimer = c.Wheel.Schedule(request.deadline+c.limits.OverdueTimeout, func() { c.failOverdue(request) })
}

// failOverdue ends a request that has no answer by OverdueTimeout after its deadline. It guarantees that every request
// is answered, even if the event loop stalls, or the router or a backend has a fault.
func (c *Core) failOverdue(request *Request) {
	if request.done {
		return
	}
	c.counters.Overdue++
	c.log.Error().Uint64("request", uint64(request.id)).Msg("request: no answer by the deadline")
	c.rejectOrFail(request, DeadlineExceeded)
	c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
}

// rejectOrFail ends a request without asking the router. The request is rejected if it is known that none of its
// attempts ran, since another pooler may serve it; otherwise it fails.
func (c *Core) rejectOrFail(request *Request, why Failure) {
	if request.neverRan() {
		c.reject(request, 0)
	} else {
		c.fail(request, why)
	}
}

// neverRan reports whether it is known that no attempt of the request ran or will run.
func (request *Request) neverRan() bool { return !request.mayHaveRun && request.inFlight == 0 }

// forwardToRouter queues a request for the router's next Step. The caller must request the Flush.
func (c *Core) forwardToRouter(request *Request, timeLeft time.Duration) {
	c.pending.Enter(request.id)
	arrival := routing.Arrival{
		Class:     request.routerClass,
		Group:     request.Group,
		Session:   request.Session,
		TimeLeft:  timeLeft,
		Work:      request.ExpectedWork,
		LastWrite: request.LastWrite,
	}
	c.events = append(c.events, routing.Event{Kind: routing.RequestArrived, Request: request.id, Arrival: arrival})
}

// ClientGone reports that the client has left. The request needs no answer, and the router cancels its attempts in
// flight if attempts can be cancelled.
func (c *Core) ClientGone(request *Request) {
	if request.done {
		return
	}
	request.counters.Gone++
	c.finish(request)
	c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
}

// detectClientGone ends a request whose client has left before its front has noticed. It prevents an attempt for a
// client whose close has not been read yet, because earlier requests precede it in the input or because the process was
// not scheduled.
func (c *Core) detectClientGone(request *Request) {
	if request.done {
		return
	}
	if client, ok := request.Client.(DepartureDetector); ok && client.HasLeft() {
		c.ClientGone(request)
	}
}

// AnswerAll answers all open requests, which would be lost when the program exits, and rejects requests that are
// submitted later.
func (c *Core) AnswerAll() {
	c.closed = true
	for _, request := range c.requests {
		if request.done {
			continue
		}
		routerKnows := request.admission != queuedForAdmission
		c.rejectOrFail(request, ConnectionBroke)
		if routerKnows {
			c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
		}
	}
}

// shedPending rejects the pending requests beyond MaxPending, those first whose clients ask most. None of them was sent
// to a database. A client may submit its next request when it is rejected. Such requests wait for the next Flush: the
// router has not seen them yet, and shedPending would not return while clients have more of them.
func (c *Core) shedPending() {
	for _, id := range c.pending.RemoveOver(c.limits.MaxPending, c.compareDemand) {
		request := c.requests[id]
		if request == nil || request.done { // its client left when another request was rejected
			continue
		}
		c.counters.Relieved++
		c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: id})
		c.reportNoCapacity(request)
		c.reject(request, c.retryAfter(request, min(request.latencyObjective, c.settings.MaxRetryAfter)))
	}
}

// compareDemand compares two pending requests by how much their clients ask: first by how many requests each client had
// open already, then by the work that it has lately had done.
func (c *Core) compareDemand(a, b routing.RequestID) int {
	one, other := c.requests[a], c.requests[b]
	return cmp.Or(cmp.Compare(one.OpenBefore, other.OpenBefore), cmp.Compare(one.RecentWork, other.RecentWork))
}

// serve ends a request with the answer of a database.
func (c *Core) serve(request *Request, answer []byte) {
	c.finish(request)
	request.counters.Served++
	request.Client.Served(answer)
}

// reject ends a request that never ran or whose retry is harmless.
func (c *Core) reject(request *Request, retryAfter time.Duration) {
	c.finish(request)
	request.counters.Refused++
	request.Client.Rejected(retryAfter)
}

// fail ends a request that may have run or that the databases cannot use.
func (c *Core) fail(request *Request, why Failure) {
	c.finish(request)
	request.counters.Failed++
	request.Client.Failed(why)
}

// failure returns the reason for failing a request that may have run and that the router gives up at now.
func (request *Request) failure(now time.Duration) Failure {
	if now >= request.deadline {
		return DeadlineExceeded
	}
	return ConnectionBroke
}

// finish marks a request as over. The request stays in the table while it has attempts in flight.
func (c *Core) finish(request *Request) {
	request.done = true
	request.overdueTimer.Stop()
	c.pending.Leave(request.id)
	c.leaveAdmission(request)
	delete(c.openNames, request.Name)
	c.release(request)
}

// release removes a request from the table if it is over and has no attempts in flight.
func (c *Core) release(request *Request) {
	if request.done && request.inFlight == 0 {
		delete(c.requests, request.id)
		c.releaseClaim(request)
	}
}
