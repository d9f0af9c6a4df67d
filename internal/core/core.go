// Package core runs the decisions of package choice for requests of any wire. It knows no socket and no
// protocol: fronts submit requests and get one final answer each; backends carry attempts and report how they
// ended. One goroutine owns a Core and calls everything in it.
package core

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clockoffset"
	"capercove/internal/limits"
	"capercove/internal/pending"
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

// Backend carries attempts to databases over one wire.
type Backend interface {
	Send(*Attempt)   // ends with Core.Done, unless cancelled
	Cancel(*Attempt) // no report follows
}

// HealthChecker asks a database for its report; each call ends with Core.Probed.
type HealthChecker interface{ Probe(*Member) }

// EndpointLister keeps the member list coming: each call ends with Core.List or Core.ListFailed.
type EndpointLister interface{ Subscribe() }

// Watcher is told of every change of a member before anything is sent under it, and once it is forgotten: if it comes back, it is
// another Member.
type Watcher interface {
	Changed(*Member)
	Forgotten(*Member)
}

// Member is a database of the list.
type Member struct {
	routing.Node
	Name, Addr    string
	Excluded      bool          // by the operators; its primary's writes go on for part of the grace
	DrainingSince time.Duration // when the list first said that it drains, or is gone for good; 0: it is neither
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

// Answers count the requests of one front and class and how they ended.
type Answers struct {
	Taken, Served, Refused, Failed int64
	Gone                           int64 // the client left first
}

// Counters count what the core took in, sent and answered.
type Counters struct {
	Fronts                              map[string]map[string]*Answers // by front and class
	Written                             int64                          // attempts written whole to databases
	Reloads, ReloadErrors               int64                          // configurations taken and turned down
	Relieved                            int64                          // refused as too many waited, sent nowhere yet
	Overdue                             int64                          // failed by the core's own guard: a fault in this program
	Attempts, Cancelled                 int64
	Served, Errors, Full, TimedOut      int64 // how attempts ended, as routing.Status
	NoConnect, NoProcess                int64
	Broken, NotSent, Turned             int64
	Probes, ProbesFailed                int64
	Asked                               int64 // of the probes: on other poolers' word
	KeptOff                             int64 // attempts not sent, as their database could be at work
	Blind                               int64 // ... sent all the same, as nothing else of the group is left
	Routers                             int   // that this one reckons with, itself among them
	Lists, ListsFailed, Batches, Events int64
	ClockAhead                          int64   // ms that the databases' clock is ahead of this process's, at the least; 0: they agree
	ClockUnknown                        bool    // it is ahead, by how much is not known
	ClockDissent                        int     // of the last positions, those that do not fit clocks that agree
	ClockMoves                          int64   // how often the estimate has changed
	Unlisted                            int64   // entries that were left out, as more are not remembered
	Size                                float64 // of the databases, as the router takes them; 1 where none tells
}

// outcome is the counter of a status.
func (c *Counters) outcome(s routing.Status) *int64 {
	return [...]*int64{
		routing.OK: &c.Served, routing.NodeError: &c.Errors, routing.NodeOverloaded: &c.Full,
		routing.TimedOut: &c.TimedOut, routing.ConnectFailed: &c.NoConnect, routing.ConnectRefused: &c.NoProcess,
		routing.ConnectionBroken: &c.Broken,
		routing.Cancelled:        &c.Cancelled, routing.NotSent: &c.NotSent, routing.NodeRejected: &c.Turned,
	}[s]
}

// Core owns the router, the tables and the timers.
type Core struct {
	Wheel *timerwheel.Wheel
	Count Counters

	limits       limits.Limits
	log          zerolog.Logger
	clock        func() time.Duration
	wake         func() // asks for a Flush soon
	awake        bool
	router       *routing.Router
	lister       EndpointLister
	prober       HealthChecker
	watchers     []Watcher
	settings     *Settings
	figures      atomic.Pointer[Figures]
	bans         map[routing.NodeID]time.Duration // by the operators, and those that are kept off
	banned       map[routing.NodeID]time.Duration // of them, by the operators
	off          Blocks
	offSince     map[routing.NodeID]time.Duration // of what is kept off: from when it would have been banned
	lapse        *timerwheel.Timer                // of what is known of it
	asks         map[int]int64                    // requests by group, where the figures tell what the router sees
	ready        func()                           // called once; nil from then on
	readyBy      time.Duration
	routes       bool                   // the router knows each class as a write and as a read too
	out          map[routing.NodeID]int // attempts that are out, of requests that teach
	listed       bool                   // the list has come
	relisted     bool                   // ... since members were last forgotten
	crowded      time.Duration          // when entries that were left out were last logged
	stall        stall                  // the last one
	stopping     bool
	ended        bool                    // nothing is taken any more
	observed     bool                    // the figures tell what the router sees
	routers      int                     // that share the databases, as is known of the fleet; 0: as in the settings
	asking       map[routing.NodeID]bool // probes that are out on other poolers' word
	members      map[routing.NodeID]*Member
	requests     map[routing.RequestID]*Request
	names        map[string]struct{} // of the open requests
	last         routing.RequestID
	offset       clockoffset.Estimator
	offsetLogged time.Duration                    // when a change of its estimate was last logged
	door         *fair                            // nil: all come in at once
	held         pending.Queue[routing.RequestID] // with the router, and sent nowhere yet
	events       []routing.Event
	actions      []routing.Action
}

// Settings are the router's, with the names of its classes. They are never changed, only replaced as a whole.
type Settings struct {
	routing.Settings
	Names []string
}

// New returns a core that calls ready once it is able to serve. The clock must be monotonic; it counts from the Unix
// epoch, as positions do.
func New(s Settings, seed uint64, l limits.Limits, log zerolog.Logger, clock func() time.Duration, wake, ready func()) *Core {
	return &Core{
		Wheel: timerwheel.New(l.Tick, l.Slots, clock()), limits: l, log: log, clock: clock, wake: wake,
		router: routing.New(s.Settings, seed), settings: &s, ready: ready, members: map[routing.NodeID]*Member{},
		out: map[routing.NodeID]int{}, offSince: map[routing.NodeID]time.Duration{},
		requests: map[routing.RequestID]*Request{}, names: map[string]struct{}{},
		Count: Counters{Fronts: map[string]map[string]*Answers{}, Routers: s.Routers},
	}
}

// Attach names who lists, who probes and who is told of members. It comes before the first event.
func (c *Core) Attach(lister EndpointLister, prober HealthChecker, watchers ...Watcher) {
	c.lister, c.prober, c.watchers = lister, prober, watchers
}

func (c *Core) Now() time.Duration { return c.clock() }

// Open is how many requests await their answer.
func (c *Core) Open() (n int) {
	for _, q := range c.requests {
		if !q.done {
			n++
		}
	}
	return n
}

// Class returns the number and the settings of a request's class. A class has its number until the next Retune.
func (c *Core) Class(name string) (number int, class *routing.Class, known bool) {
	if number = slices.Index(c.settings.Names, name); number < 0 {
		return 0, nil, false
	}
	return number, &c.settings.Classes[number], true
}

// Members returns the names of the databases that are not gone, sorted.
func (c *Core) Members() (names []string) {
	for _, m := range c.members {
		if m.State != routing.Gone {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// HasGroup tells whether any list has named a database of the group.
func (c *Core) HasGroup(group int) bool {
	for _, m := range c.members {
		if m.Group == group {
			return true
		}
	}
	return len(c.members) == 0 // before the first list none is known to be wrong
}

// IsOpen tells whether a request of this name is open.
func (c *Core) IsOpen(name string) bool {
	_, open := c.names[name]
	return open
}

func (c *Core) push(e routing.Event) {
	c.events = append(c.events, e)
	c.rouse()
}

// rouse asks for a Flush.
func (c *Core) rouse() {
	if !c.awake {
		c.awake = true
		c.wake()
	}
}

// ---- From the fronts

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

// ---- From the backends

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

func failure(late bool) Failure {
	if late {
		return DeadlineExceeded
	}
	return ConnectionBroke
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

// Probed ends a probe.
func (c *Core) Probed(m *Member, status routing.Status, took time.Duration, report routing.Evidence) {
	if status != routing.OK {
		c.Count.ProbesFailed++
	}
	delete(c.asking, m.ID)
	c.reported(took, report)
	c.push(routing.Event{Kind: routing.ProbeDone, Outcome: routing.Outcome{
		Node: m.ID, Status: status, Duration: took,
		Report: report,
	}})
}

// ---- From discovery

// LoadKnownMembers takes in the list as it was known before the start.
func (c *Core) LoadKnownMembers(entries []Member) {
	c.UpdateMembers(entries, true)
	c.listed = false
}

// UpdateMembers takes in the whole list, or the entries that changed.
func (c *Core) UpdateMembers(entries []Member, full bool) {
	c.listed, c.relisted = true, true
	c.Count.Lists++
	nodes := make([]routing.Node, 0, len(entries))
	listed := map[routing.NodeID]bool{}
	for _, e := range entries {
		if c.members[e.ID] == nil && len(c.members) >= c.limits.Members { // Against lists that name ever new ones.
			c.leaveOut(e)
			continue
		}
		listed[e.ID] = true
		nodes = append(nodes, e.Node)
		c.change(e)
	}
	if full {
		for id, m := range c.members {
			if !listed[id] && m.State != routing.Gone {
				gone := *m
				gone.State = routing.Gone
				c.change(gone)
			}
		}
	}
	kind := routing.ListUpdated
	if full {
		kind = routing.ListComplete
	}
	c.push(routing.Event{Kind: kind, Nodes: nodes})
	if c.off.All { // what the list has brought, too
		c.keepOff()
	}
}

// leaveOut counts an entry that is not taken in, and logs one in a while.
func (c *Core) leaveOut(e Member) {
	c.Count.Unlisted++
	if now := c.clock(); c.crowded == 0 || now-c.crowded >= c.limits.LogEvery {
		c.crowded = now
		c.log.Error().Str("database", e.Name).Int("known", len(c.members)).Int64("so_far", c.Count.Unlisted).Msg("the list names too many databases")
	}
}

// forgetGone drops the members that the router has forgotten, which it was told of in this step at the latest.
func (c *Core) forgetGone() {
	c.relisted = false
	for id, m := range c.members {
		if m.State == routing.Gone && !c.router.Knows(id) {
			delete(c.members, id)
			for _, w := range c.watchers {
				w.Forgotten(m)
			}
		}
	}
}

func (c *Core) change(e Member) {
	m := c.members[e.ID]
	if m == nil {
		m = &Member{}
		c.members[e.ID] = m
	}
	since := m.DrainingSince
	*m = e
	_, m.Excluded = c.bans[m.ID]
	if m.DrainingSince = 0; e.State == routing.Draining || e.State == routing.Gone && (since > 0 || !c.settings.OnlyDrainingBinds) {
		m.DrainingSince = cmp.Or(since, c.clock())
	}
	for _, w := range c.watchers {
		w.Changed(m)
	}
}

// ListFailed tells that a call for the list failed or that the watch broke.
func (c *Core) ListFailed() {
	c.Count.ListsFailed++
	c.push(routing.Event{Kind: routing.ListFailed})
}

// ---- Time and decisions

// Tick fires the timers that are due.
func (c *Core) Tick() {
	now := c.clock()
	c.noteStall(now)
	c.Wheel.Advance(now)
}

// Start gives the router its first turn; from then on its own timers drive it.
func (c *Core) Start() {
	c.push(routing.Event{Kind: routing.TimerFired})
	c.readyBy = c.clock() + c.limits.ReadyWait
	c.publish()
}

// Flush hands the router what has come in and carries out what it decides.
func (c *Core) Flush() {
	c.awake = false
	if c.door != nil {
		c.enter()
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	c.Count.Batches++
	c.Count.Events += int64(len(events))
	c.actions = c.router.Step(c.clock(), events, c.actions[:0])
	c.Count.Size = c.router.Size()
	for _, a := range c.actions {
		c.act(a)
	}
	if c.relisted {
		c.forgetGone()
	}
	c.relieve()
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

func (c *Core) act(a routing.Action) {
	switch a.Kind {
	case routing.Subscribe:
		c.lister.Subscribe()
		return
	case routing.SetTimer:
		c.Wheel.At(c.clock()+a.Delay, func() { c.push(routing.Event{Kind: routing.TimerFired}) })
		return
	case routing.Probe:
		c.Count.Probes++
		c.prober.Probe(c.members[a.Node])
		return
	}
	q := c.requests[a.Request]
	if q == nil {
		return // over, and nothing is out for it
	}
	switch a.Kind {
	case routing.Send:
		c.send(q, a)
	case routing.Cancel:
		c.cancel(q.attempts[a.Attempt], routing.Cancelled)
	case routing.Reject, routing.Fail:
		if q.done {
			return
		}
		c.shed(q)
		a.Delay = c.advise(q, a.Delay)
		c.finish(q)
		if a.Kind == routing.Reject && q.began == nil {
			q.count.Refused++
			q.Client.Rejected(a.Delay)
		} else {
			q.count.Failed++
			q.Client.Failed(failure(c.clock() >= q.deadline))
		}
	}
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

// cancel ends the wait on an attempt: its connection is closed before anything else is sent for the request.
func (c *Core) cancel(a *Attempt, status routing.Status) {
	if a.done {
		return
	}
	a.Request.Backend.Cancel(a)
	c.Done(a, status, routing.Evidence{}, nil)
}
