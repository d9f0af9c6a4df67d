package core

import (
	"time"

	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Client gets the one final answer of a request.
type Client interface {
	Served(answer any)            // what the backend reported with the attempt
	Rejected(after time.Duration) // trying again is harmless, after so long
	Failed(why Failure)
}

// StreamingClient is a client that can take a long answer in pieces. Served or Failed follows the last one.
type StreamingClient interface {
	// Piece passes bytes on; they are the callee's only until it returns. If there is no room for more, it returns false
	// and calls more once, later, when there is.
	Piece(data []byte, more func()) bool
}

// Leaver is a client that can look whether its user has closed or cancelled, where the front may not have heard of
// it yet.
type Leaver interface{ HasLeft() bool }

// Failure tells why a request failed.
type Failure uint8

const (
	ConnectionBroke  Failure = iota // it may have run
	DeadlineExceeded                // no answer in time; it may have run
	Unusable                        // the databases cannot use it
)

func failure(late bool) Failure {
	if late {
		return DeadlineExceeded
	}
	return ConnectionBroke
}

// Request is what a client asks. The front fills in the exported fields.
type Request struct {
	Front        string // its name, for the counters
	Name         string // the client's name for it; only one of a name may be open
	Class, Group int
	Session      uint64
	TimeLeft     time.Duration // from now until the client quits; under 0: it has quit waiting
	LastWrite    time.Duration // clock time of the session's last commit; 0: none
	Payload      any           // for the backend
	Backend      Backend
	Client       Client
	Route        Route         // how it is routed, if not as its class says
	ExpectedWork time.Duration // expected; 0: unknown
	CostObserver CostObserver  // is told what it took; nil: nobody
	Tenant       int           // whose it is, and which client's of theirs, for the door
	Caller       uint64

	id               routing.RequestID
	deadline         time.Duration
	latencyObjective time.Duration // of its class as it came
	attempts         []*Attempt
	inFlight         int
	routerClass      int // the router's class
	admission        admissionState
	admittedAt       time.Duration // past the door
	isWrite          bool          // its class, or its route, is that of writes
	mayHaveRun       bool          // an attempt may have run
	lastDuration     time.Duration // the last attempt that was answered, or not in time
	answering        *Attempt      // the attempt whose answer is already on its way to the client
	done             bool
	overdue          *timerwheel.Timer
	answers          *Answers
}

// Open is how many requests await their answer.
func (c *Core) Open() (n int) {
	for _, request := range c.requests {
		if !request.done {
			n++
		}
	}
	return n
}

// IsOpen tells whether a request of this name is open.
func (c *Core) IsOpen(name string) bool {
	_, open := c.names[name]
	return open
}

// Submit takes a request. The answer may come before Submit returns only if there are too many open, or after Abandon.
func (c *Core) Submit(request *Request) {
	request.answers = c.answersOf(request.Front, c.settings.Names[request.Class])
	request.answers.Taken++
	if c.observing {
		c.requestsByGroup[request.Group]++
	}
	if c.closed || len(c.requests) >= c.limits.Requests { // Against tables without bound, and requests that are lost with the program.
		request.done = true
		request.answers.Refused++
		request.Client.Rejected(0)
		return
	}
	c.lastRequest++
	request.id = c.lastRequest
	expires := max(request.TimeLeft-c.limits.Margin, 0)
	request.deadline, request.latencyObjective = c.clock()+expires, c.settings.Classes[request.Class].LatencyObjective
	c.requests[request.id] = request
	request.routerClass, request.isWrite = c.routerClass(request), c.routesAsWrite(request)
	c.names[request.Name] = struct{}{}
	// Against a request without an answer, whatever the router or a backend forgets.
	request.overdue = c.Wheel.At(request.deadline+c.limits.Overdue, func() {
		if !request.done {
			c.Count.Overdue++
			c.log.Error().Uint64("request", uint64(request.id)).Msg("no answer by the deadline")
			c.finish(request)
			request.answers.Failed++
			request.Client.Failed(DeadlineExceeded)
			c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
		}
	})
	if c.admission != nil {
		c.offerForAdmission(request, expires)
		return
	}
	c.forwardToRouter(request, expires)
	c.requestFlush()
}

// forwardToRouter hands a request to the router.
func (c *Core) forwardToRouter(request *Request, expires time.Duration) {
	c.pending.Enter(request.id)
	c.events = append(c.events, routing.Event{Kind: routing.RequestArrived, Request: request.id, Arrival: routing.Arrival{
		Class: request.routerClass, Group: request.Group, Session: request.Session, TimeLeft: expires, Work: request.ExpectedWork, LastWrite: request.LastWrite,
	}})
}

// ClientGone tells that the client has gone. Nothing is owed any more; attempts still out are ended.
func (c *Core) ClientGone(request *Request) {
	if request.done {
		return
	}
	request.answers.Gone++
	c.finish(request)
	c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
}

// detectClientGone ends a request whose client has gone, before its front has heard of that. Against an attempt for a
// client whose close lies unread: behind its requests that are read first, or because the process was not let run.
func (c *Core) detectClientGone(request *Request) {
	if request.done {
		return
	}
	if client, ok := request.Client.(Leaver); ok && client.HasLeft() {
		c.ClientGone(request)
	}
}

// AnswerAll gives all that is open its answer, as the program is about to end, and refuses what is submitted from then on. Against
// requests that are lost with it.
func (c *Core) AnswerAll() {
	c.closed = true
	for _, request := range c.requests {
		if !request.done {
			routed := request.admission != queuedForAdmission
			c.finish(request)
			if len(request.attempts) == 0 { // it never ran, and another pooler may take it
				request.answers.Refused++
				request.Client.Rejected(0)
			} else {
				request.answers.Failed++
				request.Client.Failed(ConnectionBroke)
			}
			if routed {
				c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: request.id})
			}
		}
	}
}

// shedOldest gives up what waits beyond the bound, from the longest wait on. None of it was sent anywhere, so it is refused.
func (c *Core) shedOldest() {
	for id, over := c.pending.Over(c.limits.Held); over; id, over = c.pending.Over(c.limits.Held) {
		request := c.requests[id]
		c.Count.Relieved++
		c.pushEvent(routing.Event{Kind: routing.ClientGone, Request: id})
		c.noteShedByRouter(request)
		after := c.retryAfter(request, min(request.latencyObjective, c.settings.MaxRetryAfter))
		c.finish(request)
		request.answers.Refused++
		request.Client.Rejected(after)
	}
}

func (c *Core) finish(request *Request) {
	request.done = true
	request.overdue.Stop()
	c.pending.Leave(request.id)
	c.leaveAdmission(request)
	delete(c.names, request.Name)
	c.release(request)
}

func (c *Core) release(request *Request) {
	if request.done && request.inFlight == 0 {
		delete(c.requests, request.id)
	}
}
