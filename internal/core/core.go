// Package core executes the routing decisions for requests of every wire protocol. It has no socket or protocol code:
// fronts submit requests and receive one final answer for each; backends send attempts and report their outcomes.
//
// One goroutine owns a Core and makes all calls to it, except to Core.Figures. A Core collects events. Flush passes
// them to the router (package routing) in one batch and performs the actions that the router returns.
package core

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clockoffset"
	"capercove/internal/idclaim"
	"capercove/internal/limits"
	"capercove/internal/pending"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

// Core owns the router, the tables of requests and members, and the timers.
type Core struct {
	Wheel *timerwheel.Wheel

	counters Counters

	limits         limits.Request
	log            zerolog.Logger
	clock          func() time.Duration // monotonic; the time since the Unix epoch
	notifyOwner    func()               // requests that the owner call Flush soon
	flushRequested bool                 // notifyOwner has been called since the last Flush
	closed         bool                 // AnswerAll was called: further requests are rejected

	router  *routing.Router
	events  []routing.Event // collected for the next Step of the router
	actions []routing.Action
	stall   stall // the most recent one; zero if there was none

	// Settings, in settings.go.
	settings         *Settings
	statementRouting bool // the router also has each class as a write and as a read
	routerCount      int  // poolers that share the databases, by membership; 0: Settings.Routers applies
	rejectedReload   rejectedReload

	// Requests, in request.go.
	requests    map[routing.RequestID]*Request
	openNames   map[string]struct{}              // Request.Name of the open requests
	lastRequest routing.RequestID                // the most recently assigned ID
	claims      *idclaim.Table                   // of the names of requests that must not run twice
	pending     pending.Queue[routing.RequestID] // at the router, and not sent to a database yet
	admission   *admissionControl                // nil: admission control is off

	// costObserved counts the attempts in flight by database, for requests with a CostObserver only.
	costObserved map[routing.NodeID]int

	// The endpoint list, in members.go, and health checks.
	lister        EndpointLister
	watchers      []Watcher
	members       map[routing.NodeID]*Member
	listReceived  bool        // discovery has sent a list
	listChanged   bool        // a list has arrived since the last forgetGone
	unlistedLog   logThrottle // of list entries that were left out
	repeatLog     logThrottle // of names that were claimed before
	healthChecker HealthChecker
	hintedProbes  map[routing.NodeID]bool // databases with a probe in flight that another pooler's hint caused

	// Exclusions and blocks, in blocks.go: the excluded databases with the start of each exclusion on the core's clock.
	excluded            map[routing.NodeID]time.Duration // by operators or blocked, as last passed to the router
	excludedByOperators map[routing.NodeID]time.Duration
	blocks              Blocklist
	blockedSince        map[routing.NodeID]time.Duration // blocked databases; the start is set back by the drain grace
	blocksExpiry        *timerwheel.Timer

	// The clock offset, in clockoffset.go.
	offset    clockoffset.Estimator
	offsetLog logThrottle // of changes of the estimate

	// Readiness and figures, in figures.go.
	ready           func()        // nil once it has been called
	readyBy         time.Duration // latest time at which ready is called, on the core's clock
	stopping        bool          // Stopping was called: the process is about to exit
	observing       bool          // Observe was called
	requestsByGroup map[int]int64 // only while observing
	figures         atomic.Pointer[Figures]
}

// New returns a core that calls ready once it can serve, or ReadyTimeout after Start at the latest. The clock must be
// monotonic and return the time since the Unix epoch, as in replication positions. The core calls notifyOwner when the
// owner has to call Flush.
func New(
	settings Settings, seed uint64, bounds limits.Request, log zerolog.Logger,
	clock func() time.Duration, notifyOwner, ready func(),
) *Core {
	return &Core{
		Wheel:        timerwheel.New(bounds.TimerTick, bounds.TimerSlots, clock()),
		counters:     Counters{Fronts: map[string]map[string]*Answers{}, Routers: settings.Routers},
		limits:       bounds,
		log:          log,
		clock:        clock,
		notifyOwner:  notifyOwner,
		router:       routing.New(settings.Settings, seed),
		settings:     &settings,
		requests:     map[routing.RequestID]*Request{},
		openNames:    map[string]struct{}{},
		claims:       idclaim.NewTable(),
		costObserved: map[routing.NodeID]int{},
		members:      map[routing.NodeID]*Member{},
		blockedSince: map[routing.NodeID]time.Duration{},
		ready:        ready,
	}
}

// Attach sets the endpoint lister, the health checker and the watchers of members. It must be called before the first
// event.
func (c *Core) Attach(lister EndpointLister, healthChecker HealthChecker, watchers ...Watcher) {
	c.lister, c.healthChecker, c.watchers = lister, healthChecker, watchers
}

// Now returns the time on the core's clock, as a span since the Unix epoch.
func (c *Core) Now() time.Duration { return c.clock() }

// Start triggers the router's first Step, which sets timers for the further ones, and starts publishing figures.
func (c *Core) Start() {
	c.pushEvent(routing.Event{Kind: routing.TimerFired})
	c.readyBy = c.clock() + c.limits.ReadyTimeout
	c.publish()
}

// Tick fires the timers that are due.
func (c *Core) Tick() {
	now := c.clock()
	c.detectStall(now)
	c.Wheel.Advance(now)
}

// SetAlarm registers a function that is called with the time of the earliest timer whenever that changes; see
// timerwheel.Wheel.SetAlarm.
func (c *Core) SetAlarm(alarm func(at time.Duration)) { c.Wheel.SetAlarm(alarm) }

// pushEvent queues an event for the router's next Step and requests a Flush.
func (c *Core) pushEvent(event routing.Event) {
	c.events = append(c.events, event)
	c.requestFlush()
}

// requestFlush notifies the owner, at most once per Flush.
func (c *Core) requestFlush() {
	if !c.flushRequested {
		c.flushRequested = true
		c.notifyOwner()
	}
}

// Flush passes the collected events to the router in one batch and performs the actions that it returns.
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
	c.counters.Batches++
	c.counters.Events += int64(len(events))
	c.actions = c.router.Step(c.clock(), events, c.actions[:0])
	c.counters.Size = c.router.NodeSize()
	for _, action := range c.actions {
		c.perform(action)
	}
	if c.listChanged {
		c.forgetGone()
	}
	c.shedPending()
}

// perform performs one action of the router. It ignores actions for a request that is over and has no attempt in
// flight.
func (c *Core) perform(action routing.Action) {
	switch action.Kind {
	case routing.Subscribe:
		c.lister.Subscribe()
		return
	case routing.SetTimer:
		c.Wheel.Schedule(c.clock()+action.Delay, func() { c.pushEvent(routing.Event{Kind: routing.TimerFired}) })
		return
	case routing.Probe:
		c.counters.Probes++
		c.healthChecker.Probe(c.members[action.Node])
		return
	}
	request := c.requests[action.Request]
	if request == nil {
		return
	}
	switch action.Kind {
	case routing.Send:
		c.send(request, action)
	case routing.Cancel:
		c.cancel(request.attempts[action.Attempt], routing.Cancelled)
	case routing.Reject, routing.Fail:
		c.giveUp(request, action)
	}
}

// giveUp ends a request for which the router sends no further attempts. A request whose answer has begun to reach the
// client can only fail.
func (c *Core) giveUp(request *Request, action routing.Action) {
	if request.done {
		return
	}
	c.reportNoCapacity(request)
	retryAfter := c.retryAfter(request, action.Delay)
	if action.Kind == routing.Reject && request.answering == nil {
		c.reject(request, retryAfter)
	} else {
		c.fail(request, request.failure(c.clock()))
	}
}
