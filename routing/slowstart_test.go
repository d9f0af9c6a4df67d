package routing

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Slow start of a whole fleet: many routers on one virtual clock and databases that take time for their work. What a
// warming database is sent in any overload window, in work of the mean request, stays within what the settings allow
// it then.

// workload is a class's share of the requests and its work, as a multiple of the lightest class's.
type workload struct {
	class       int
	share, work float64
}

// spread tells how requests are dealt out to the routers.
type spread int

const (
	evenSpread  spread = iota
	oneHasMost         // one router has nine tenths
	tenthActive        // nine in ten routers have no request
)

// slowStart is one play: a group with databases that restart in the middle.
type slowStart struct {
	name          string
	routers, told int // that there are, and as the settings say
	spread        spread
	mix           []workload
	restart       []NodeID      // the databases that start anew
	every         time.Duration // so often; 0: once
	lag           time.Duration // of the started ones' positions
	late          time.Duration // when routers are told, after the start
	coldShare     float64       // of the settings
	freshRouters  bool          // the routers start with the databases
	load          float64       // of what the warm databases can do
	window        time.Duration // overload window
	least         float64       // of the multiple that is to be used where few routers share it
	large         bool          // a large fleet plays it too
	seed          uint64
}

const (
	slowNodes    = 5 // of the group; the first is the primary
	slowCores    = 3
	slowMeanWork = 80 * ms
	slowQueue    = 12 // waiting for each core; what comes beyond is rejected
	slowWarmUp   = 4 * time.Second
	slowCold     = 6 * time.Second // played after the start
	slowColdTime = 10 * time.Second
	slowMultiple = 2.5
)

// database has cores that work through a queue, as fast as it is warm.
type database struct {
	id        NodeID
	free      [slowCores]time.Duration // when each core has done its work
	started   time.Duration            // 0: long ago
	sends     []weighted               // since the start
	inWindow  float64
	worst     float64 // work sent in a window, as a share of what it bears
	held      int
	fallen    bool
	sent, all float64 // work sent while cold; what the multiple allows
}

type weighted struct {
	at   time.Duration
	work float64
}

// result is an event that reaches a router later.
type result struct {
	at     time.Duration
	order  int
	router int
	event  Event
	node   *database
	sentAt time.Duration
}

type results []result

func (r results) Len() int { return len(r) }
func (r results) Less(i, j int) bool {
	return r[i].at < r[j].at || r[i].at == r[j].at && r[i].order < r[j].order
}
func (r results) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *results) Push(x any)   { *r = append(*r, x.(result)) }
func (r *results) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

type slowFleet struct {
	slowStart
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	routing  []*Router
	due      []time.Duration // timers
	events   [][]Event
	nodes    map[NodeID]*database
	queue    results
	order    int
	next     RequestID
	work     map[RequestID]float64 // in units of the mean request
	tries    map[RequestID]int
	served   int
	asked    int
}

func newSlowFleet(c slowStart) *slowFleet {
	s := settings()
	s.Routers, s.CanHedge, s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple = c.told, false, c.coldShare, slowColdTime, slowMultiple
	s.Classes[classAny].LatencyObjective, s.Classes[classAny].Deadline = 5*time.Second, 10*time.Second // reports
	s.OverloadWindow = c.window
	f := &slowFleet{
		slowStart: c, settings: s, rng: rand.New(rand.NewPCG(c.seed, 11)), now: start,
		nodes: map[NodeID]*database{}, work: map[RequestID]float64{}, tries: map[RequestID]int{},
		events: make([][]Event, c.routers), due: make([]time.Duration, c.routers),
	}
	for id := NodeID(1); id <= slowNodes; id++ {
		f.nodes[id] = &database{id: id}
	}
	for i := range c.routers {
		f.routing = append(f.routing, f.newRouter(i))
	}
	return f
}

func (f *slowFleet) newRouter(i int) *Router {
	f.events[i] = []Event{{Kind: ListComplete, Nodes: f.list()}}
	f.due[i] = f.now
	return New(f.settings, f.seed+uint64(i)*7919+1)
}

func (f *slowFleet) list() (list []Node) {
	for id := NodeID(1); id <= slowNodes; id++ {
		list = append(list, Node{ID: id, State: Ready, Started: f.nodes[id].started})
	}
	return list
}

// warmth is the share of its capacity that a database has at a time.
func (f *slowFleet) warmth(d *database, at time.Duration) float64 {
	if d.started == 0 || at >= d.started+slowColdTime {
		return 1
	}
	return f.coldShare + (1-f.coldShare)*float64(at-d.started)/float64(slowColdTime)
}

// evidence is what a database says of itself.
func (f *slowFleet) evidence(d *database) Evidence {
	e := Evidence{Role: Replica, Position: f.now - 20*ms}
	if d.id == 1 {
		return Evidence{Role: Primary, Position: f.now}
	}
	if d.started > 0 {
		e.Position -= f.lag
	}
	return e
}

// take has a database take a request, and tells when it ends and how.
func (f *slowFleet) take(d *database, work float64) (time.Duration, Status) {
	if d.started > 0 && f.now < d.started+slowColdTime {
		f.pressure(d, work)
	}
	if d.held >= slowQueue*slowCores {
		return f.now + ms, NodeOverloaded
	}
	d.held++
	core := 0
	for i, free := range d.free {
		if free < d.free[core] {
			core = i
		}
	}
	from := max(f.now, d.free[core])
	d.free[core] = from + time.Duration(work*float64(slowMeanWork)/f.warmth(d, from))
	return d.free[core] + ms, OK
}

// pressure books what a warming database is sent against what it bears: N is taken at the middle of the window.
func (f *slowFleet) pressure(d *database, work float64) {
	window := f.settings.OverloadWindow
	d.sends, d.inWindow, d.sent = append(d.sends, weighted{f.now, work}), d.inWindow+work, d.sent+work
	for f.now-d.sends[0].at > window {
		d.inWindow -= d.sends[0].work
		d.sends = d.sends[1:]
	}
	capacity := f.warmth(d, max(d.started, f.now-window/2)) * slowCores / slowMeanWork.Seconds()
	n := slowMultiple * capacity * window.Seconds()
	bound := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		bound = n + 3*math.Sqrt(n) + 3
	}
	if d.inWindow > bound && f.now < d.started+f.late {
		d.fallen = true // by routers that could not know
	}
	if !d.fallen {
		d.worst = max(d.worst, d.inWindow/bound)
	}
}

func (f *slowFleet) later(at time.Duration, router int, e Event, d *database) {
	f.order++
	heap.Push(&f.queue, result{at: at, order: f.order, router: router, event: e, node: d, sentAt: f.now})
}

// act carries out what a router decided.
func (f *slowFleet) act(router int, a Action) {
	switch a.Kind {
	case SetTimer:
		f.due[router] = f.now + a.Delay
	case Probe:
		d := f.nodes[a.Node]
		f.later(f.now+tickInterval, router, Event{Kind: ProbeDone, Outcome: Outcome{Node: a.Node, Report: f.evidence(d)}}, d)
	case Send:
		d := f.nodes[a.Node]
		at, status := f.take(d, f.work[a.Request])
		f.later(at, router, Event{Kind: AttemptDone, Request: a.Request, Outcome: Outcome{
			Node:    a.Node,
			Attempt: f.tries[a.Request], Status: status, Duration: at - f.now, Final: status == OK,
		}}, d)
		f.tries[a.Request]++
	}
}

// arrivals draws the requests of one tick.
func (f *slowFleet) arrivals() {
	unit := 0.0
	for _, m := range f.mix {
		unit += m.share * m.work
	}
	mean := f.load * slowNodes * slowCores / slowMeanWork.Seconds() * tickInterval.Seconds()
	for range f.poisson(mean) {
		m, left := f.mix[0], f.rng.Float64()
		for _, m = range f.mix {
			if left -= m.share; left < 0 {
				break
			}
		}
		f.next++
		f.work[f.next] = m.work / unit * f.rng.ExpFloat64()
		router := f.router()
		f.events[router] = append(f.events[router], Event{Kind: RequestArrived, Request: f.next, Arrival: Arrival{
			Class: m.class, Session: uint64(f.next), TimeLeft: f.settings.Classes[m.class].Deadline,
		}})
		f.due[router] = f.now
	}
}

func (f *slowFleet) router() int {
	switch {
	case f.spread == oneHasMost && f.rng.Float64() < 0.9:
		return 0
	case f.spread == tenthActive:
		return f.rng.IntN((f.routers + 9) / 10)
	}
	return f.rng.IntN(f.routers)
}

func (f *slowFleet) poisson(mean float64) (n int) {
	for left := math.Exp(-mean); ; n++ {
		if left /= max(f.rng.Float64(), 1e-12); left >= 1 {
			return n
		}
	}
}

// start has databases start anew, and routers that are to, and tells.
func (f *slowFleet) start(first bool) {
	for _, id := range f.restart {
		old := f.nodes[id]
		f.nodes[id] = &database{id: id, started: f.now, worst: old.worst, sent: old.sent, all: old.all}
	}
	for i := range f.routing {
		if first && f.freshRouters {
			f.routing[i] = f.newRouter(i)
		} else {
			f.later(f.now+f.late, i, Event{Kind: ListUpdated, Nodes: f.list()}, nil)
		}
	}
}

// deliver hands on the results that are due. What a process that has ended was sent is broken off.
func (f *slowFleet) deliver() {
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		e := heap.Pop(&f.queue).(result)
		switch {
		case e.event.Kind == AttemptDone && e.node != f.nodes[e.node.id]:
			e.event.Outcome.Status, e.event.Outcome.Final = ConnectionBroken, false
		case e.event.Kind == AttemptDone:
			e.event.Outcome.Note = f.evidence(e.node)
			if e.event.Outcome.Status == OK {
				e.node.held--
				f.served++
			}
		}
		f.events[e.router] = append(f.events[e.router], e.event)
		f.due[e.router] = f.now
	}
}

// play runs the fleet. It returns the most that a warming database was sent in a window, as a share of what it
// bears, and what they were sent in all, as a share of what the multiple allows.
func (f *slowFleet) play() (worst, used float64) {
	for end := start + slowWarmUp + slowCold; f.now < end; f.now += tickInterval {
		since := f.now - start - slowWarmUp
		if since == 0 || f.every > 0 && since > 0 && since%f.every == 0 {
			f.start(since == 0)
		}
		f.arrivals()
		f.deliver()
		for i, r := range f.routing {
			if f.due[i] > f.now {
				continue
			}
			events := append(f.events[i], Event{Kind: TimerFired})
			f.events[i], f.due[i] = nil, f.now+time.Second
			for _, a := range r.Step(f.now, events, nil) {
				f.act(i, a)
			}
		}
		for _, id := range f.restart {
			if d := f.nodes[id]; d.started > 0 {
				d.all += slowMultiple * f.warmth(d, f.now) * slowCores / slowMeanWork.Seconds() * tickInterval.Seconds()
			}
		}
	}
	for _, id := range f.restart {
		worst, used = max(worst, f.nodes[id].worst), used+f.nodes[id].sent/f.nodes[id].all/float64(len(f.restart))
	}
	return worst, used
}

// slowStartCases are the plays of a fleet; a large one plays a part of them. Settings that tell a third of the
// routers stand for a restart in which old and new processes overlap.
func slowStartCases(routers int) (cases []slowStart) {
	even := []workload{{classBounded, 0.85, 1}, {classWrite, 0.15, 1.5}}
	reports := []workload{{classBounded, 0.81, 1}, {classAny, 0.04, 16}, {classWrite, 0.15, 1.6}}
	two, three, all := []NodeID{1, 2}, []NodeID{2, 3, 4}, []NodeID{1, 2, 3, 4, 5}
	for _, c := range []slowStart{
		{name: "replica", restart: []NodeID{2}, least: 0.08, large: true},
		{name: "primary", restart: []NodeID{1}, least: 0.20, large: true},
		{name: "whole group", restart: all, least: 0.12},
		{name: "one router has most", spread: oneHasMost, restart: two, large: true},
		{name: "a tenth of the routers is active", spread: tenthActive, restart: two, large: true},
		{name: "overload", load: 1.2, restart: two, least: 0.15},
		{name: "quiet", load: 0.1, restart: two},
		{name: "colder start", coldShare: 0.05, restart: two, least: 0.15},
		{name: "short window", coldShare: 0.05, window: 500 * ms, restart: two, least: 0.08},
		{name: "restarts every 2.5 s", every: 2500 * ms, restart: two},
		{name: "settings tell a third", told: max(1, routers/3), restart: two, large: true},
		{name: "started with the databases", freshRouters: true, restart: all},
		{name: "told 0.7 s late", load: 0.9, late: 700 * ms, restart: two, large: true},
		{name: "heavy reads", mix: reports, restart: three, least: 0.08},
		{name: "heavy reads alone are fresh enough", mix: reports, lag: 30 * time.Second, restart: three, large: true},
		{name: "heavy reads, whole group", mix: reports, restart: all, least: 0.12, large: true},
		{name: "heavy reads, one router has most", mix: reports, spread: oneHasMost, restart: three},
		{name: "heavy reads, started with the databases", mix: reports, freshRouters: true, restart: all},
	} {
		c.routers, c.told, c.load = routers, cmp.Or(c.told, routers), cmp.Or(c.load, 0.7)
		c.coldShare, c.window = cmp.Or(c.coldShare, 0.16), cmp.Or(c.window, 2*time.Second)
		if c.mix == nil {
			c.mix = even
		}
		if c.large || routers < 300 {
			cases = append(cases, c)
		}
	}
	return cases
}

// What all routers together send a warming database stays within its budget, and the budget is used where few
// routers share it. With many of them a play's requests are too few for that:
// TestSlowStartBudgetIsUsedBySparseRequests has more.
func TestSlowStart(t *testing.T) {
	for _, fleet := range []struct {
		routers, seeds int
		used           bool
	}{{1, 3, true}, {2, 2, true}, {5, 2, true}, {30, 1, true}, {300, 1, false}, {900, 1, false}} {
		for _, c := range slowStartCases(fleet.routers) {
			t.Run(fmt.Sprintf("%d routers, %s", c.routers, c.name), func(t *testing.T) {
				for seed := range fleet.seeds {
					c.seed = uint64(seed) + 4
					worst, used := newSlowFleet(c).play()
					t.Logf("seed %d: %.2f of the bound in the worst window, %.3f of the multiple used", c.seed, worst, used)
					if worst > 1 {
						t.Errorf("seed %d: a warming database was sent %.2f of what it bears", c.seed, worst)
					}
					if fleet.used && used < c.least {
						t.Errorf("seed %d: %.3f of the multiple used, want %.2f", c.seed, used, c.least)
					}
				}
			})
		}
	}
}
