// Package core runs the decisions of package choice for requests of any wire. It knows no socket and no
// protocol: fronts submit requests and get one final answer each; backends carry attempts and report how they
// ended. One goroutine owns a Core and calls everything in it.
package core

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clockoffset"
	"capercove/internal/limits"
	"capercove/internal/pending"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Core owns the router, the tables and the timers.
type Core struct {
	Wheel *timerwheel.Wheel
	Count Counters

	limits              limits.Limits
	log                 zerolog.Logger
	clock               func() time.Duration
	notifyOwner         func() // asks for a Flush soon
	flushRequested      bool
	router              *routing.Router
	lister              EndpointLister
	healthChecker       HealthChecker
	watchers            []Watcher
	settings            *Settings
	figures             atomic.Pointer[Figures]
	excluded            map[routing.NodeID]time.Duration // by the operators, and those that are kept off
	excludedByOperators map[routing.NodeID]time.Duration // of them, by the operators
	blocks              Blocks
	blockedSince        map[routing.NodeID]time.Duration // of what is kept off: from when it would have been banned
	blocksExpiry        *timerwheel.Timer                // of what is known of it
	requestsByGroup     map[int]int64                    // requests by group, where the figures tell what the router sees
	ready               func()                           // called once; nil from then on
	readyBy             time.Duration
	statementRouting    bool                   // the router knows each class as a write and as a read too
	teachingInFlight    map[routing.NodeID]int // attempts that are out, of requests that teach
	listReceived        bool                   // the list has come
	listChanged         bool                   // ... since members were last forgotten
	unlistedLogged      time.Duration          // when entries that were left out were last logged
	stall               stall                  // the last one
	stopping            bool
	closed              bool                    // nothing is taken any more
	observing           bool                    // the figures tell what the router sees
	routerCount         int                     // that share the databases, as is known of the fleet; 0: as in the settings
	hintedProbes        map[routing.NodeID]bool // probes that are out on other poolers' word
	members             map[routing.NodeID]*Member
	requests            map[routing.RequestID]*Request
	names               map[string]struct{} // of the open requests
	lastRequest         routing.RequestID
	offset              clockoffset.Estimator
	offsetLogged        time.Duration                    // when a change of its estimate was last logged
	admission           *admissionControl                // nil: all come in at once
	pending             pending.Queue[routing.RequestID] // with the router, and sent nowhere yet
	events              []routing.Event
	actions             []routing.Action
}

// New returns a core that calls ready once it is able to serve. The clock must be monotonic; it counts from the Unix
// epoch, as positions do.
func New(s Settings, seed uint64, l limits.Limits, log zerolog.Logger, clock func() time.Duration, wake, ready func()) *Core {
	return &Core{
		Wheel: timerwheel.New(l.Tick, l.Slots, clock()), limits: l, log: log, clock: clock, notifyOwner: wake,
		router: routing.New(s.Settings, seed), settings: &s, ready: ready, members: map[routing.NodeID]*Member{},
		teachingInFlight: map[routing.NodeID]int{}, blockedSince: map[routing.NodeID]time.Duration{},
		requests: map[routing.RequestID]*Request{}, names: map[string]struct{}{},
		Count: Counters{Fronts: map[string]map[string]*Answers{}, Routers: s.Routers},
	}
}

// Attach names who lists, who probes and who is told of members. It comes before the first event.
func (c *Core) Attach(lister EndpointLister, prober HealthChecker, watchers ...Watcher) {
	c.lister, c.healthChecker, c.watchers = lister, prober, watchers
}

func (c *Core) Now() time.Duration { return c.clock() }

// Start gives the router its first turn; from then on its own timers drive it.
func (c *Core) Start() {
	c.pushEvent(routing.Event{Kind: routing.TimerFired})
	c.readyBy = c.clock() + c.limits.ReadyWait
	c.publish()
}

func (c *Core) pushEvent(e routing.Event) {
	c.events = append(c.events, e)
	c.requestFlush()
}

// requestFlush asks for a Flush.
func (c *Core) requestFlush() {
	if !c.flushRequested {
		c.flushRequested = true
		c.notifyOwner()
	}
}

// Tick fires the timers that are due.
func (c *Core) Tick() {
	now := c.clock()
	c.detectStall(now)
	c.Wheel.Advance(now)
}

// Flush hands the router what has come in and carries out what it decides.
func (c *Core) Flush() {
	c.flushRequested = false
	if c.admission != nil {
		c.stepAdmission()
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
	for _, action := range c.actions {
		c.perform(action)
	}
	if c.listChanged {
		c.forgetGone()
	}
	c.shedOldest()
}

func (c *Core) perform(action routing.Action) {
	switch action.Kind {
	case routing.Subscribe:
		c.lister.Subscribe()
		return
	case routing.SetTimer:
		c.Wheel.At(c.clock()+action.Delay, func() { c.pushEvent(routing.Event{Kind: routing.TimerFired}) })
		return
	case routing.Probe:
		c.Count.Probes++
		c.healthChecker.Probe(c.members[action.Node])
		return
	}
	request := c.requests[action.Request]
	if request == nil {
		return // over, and nothing is out for it
	}
	switch action.Kind {
	case routing.Send:
		c.send(request, action)
	case routing.Cancel:
		c.cancel(request.attempts[action.Attempt], routing.Cancelled)
	case routing.Reject, routing.Fail:
		if request.done {
			return
		}
		c.noteShedByRouter(request)
		action.Delay = c.retryAfter(request, action.Delay)
		c.finish(request)
		if action.Kind == routing.Reject && request.answering == nil {
			request.answers.Refused++
			request.Client.Rejected(action.Delay)
		} else {
			request.answers.Failed++
			request.Client.Failed(failure(c.clock() >= request.deadline))
		}
	}
}

// Stopping tells that this process is about to end: it is ready no more.
func (c *Core) Stopping() { c.stopping = true }
