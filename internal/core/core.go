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

// Start gives the router its first turn; from then on its own timers drive it.
func (c *Core) Start() {
	c.push(routing.Event{Kind: routing.TimerFired})
	c.readyBy = c.clock() + c.limits.ReadyWait
	c.publish()
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

// Tick fires the timers that are due.
func (c *Core) Tick() {
	now := c.clock()
	c.noteStall(now)
	c.Wheel.Advance(now)
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

// Stopping tells that this process is about to end: it is ready no more.
func (c *Core) Stopping() { c.stopping = true }
