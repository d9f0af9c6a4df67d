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

	id       routing.RequestID
	deadline time.Duration
	aim      time.Duration // of its class as it came
	attempts []*Attempt
	out      int
	routed   int // the router's class
	door     doorState
	entered  time.Duration // past the door
	writes   bool          // its class, or its route, is that of writes
	ran      bool          // an attempt may have run
	took     time.Duration // the last attempt that was answered, or not in time
	began    *Attempt      // the attempt whose answer is already on its way to the client
	done     bool
	guard    *timerwheel.Timer
	count    *Answers
}

// Open is how many requests await their answer.
func (c *Core) Open() (n int) {
	for _, q := range c.requests {
		if !q.done {
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
func (c *Core) Submit(q *Request) {
	q.count = c.answers(q.Front, c.settings.Names[q.Class])
	q.count.Taken++
	if c.observed {
		c.asks[q.Group]++
	}
	if c.ended || len(c.requests) >= c.limits.Requests { // Against tables without bound, and requests that are lost with the program.
		q.done = true
		q.count.Refused++
		q.Client.Rejected(0)
		return
	}
	c.last++
	q.id = c.last
	expires := max(q.TimeLeft-c.limits.Margin, 0)
	q.deadline, q.aim = c.clock()+expires, c.settings.Classes[q.Class].LatencyObjective
	c.requests[q.id] = q
	q.routed, q.writes = c.route(q), c.routesAsWrite(q)
	c.names[q.Name] = struct{}{}
	// Against a request without an answer, whatever the router or a backend forgets.
	q.guard = c.Wheel.At(q.deadline+c.limits.Overdue, func() {
		if !q.done {
			c.Count.Overdue++
			c.log.Error().Uint64("request", uint64(q.id)).Msg("no answer by the deadline")
			c.finish(q)
			q.count.Failed++
			q.Client.Failed(DeadlineExceeded)
			c.push(routing.Event{Kind: routing.ClientGone, Request: q.id})
		}
	})
	if c.door != nil {
		c.offer(q, expires)
		return
	}
	c.arrive(q, expires)
	c.rouse()
}

// arrive hands a request to the router.
func (c *Core) arrive(q *Request, expires time.Duration) {
	c.held.Enter(q.id)
	c.events = append(c.events, routing.Event{Kind: routing.RequestArrived, Request: q.id, Arrival: routing.Arrival{
		Class: q.routed, Group: q.Group, Session: q.Session, TimeLeft: expires, Work: q.ExpectedWork, LastWrite: q.LastWrite,
	}})
}

// ClientGone tells that the client has gone. Nothing is owed any more; attempts still out are ended.
func (c *Core) ClientGone(q *Request) {
	if q.done {
		return
	}
	q.count.Gone++
	c.finish(q)
	c.push(routing.Event{Kind: routing.ClientGone, Request: q.id})
}

// leaveUnheard ends a request whose client has gone, before its front has heard of that. Against an attempt for a
// client whose close lies unread: behind its requests that are read first, or because the process was not let run.
func (c *Core) leaveUnheard(q *Request) {
	if q.done {
		return
	}
	if client, ok := q.Client.(Leaver); ok && client.HasLeft() {
		c.ClientGone(q)
	}
}

// AnswerAll gives all that is open its answer, as the program is about to end, and refuses what is submitted from then on. Against
// requests that are lost with it.
func (c *Core) AnswerAll() {
	c.ended = true
	for _, q := range c.requests {
		if !q.done {
			routed := q.door != doorQueued
			c.finish(q)
			if len(q.attempts) == 0 { // it never ran, and another pooler may take it
				q.count.Refused++
				q.Client.Rejected(0)
			} else {
				q.count.Failed++
				q.Client.Failed(ConnectionBroke)
			}
			if routed {
				c.push(routing.Event{Kind: routing.ClientGone, Request: q.id})
			}
		}
	}
}

// relieve gives up what waits beyond the bound, from the longest wait on. None of it was sent anywhere, so it is refused.
func (c *Core) relieve() {
	for id, over := c.held.Over(c.limits.Held); over; id, over = c.held.Over(c.limits.Held) {
		q := c.requests[id]
		c.Count.Relieved++
		c.push(routing.Event{Kind: routing.ClientGone, Request: id})
		c.shed(q)
		after := c.advise(q, min(q.aim, c.settings.MaxRetryAfter))
		c.finish(q)
		q.count.Refused++
		q.Client.Rejected(after)
	}
}

func (c *Core) finish(q *Request) {
	q.done = true
	q.guard.Stop()
	c.held.Leave(q.id)
	c.outside(q)
	delete(c.names, q.Name)
	c.forget(q)
}

func (c *Core) forget(q *Request) {
	if q.done && q.out == 0 {
		delete(c.requests, q.id)
	}
}
