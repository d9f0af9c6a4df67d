package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// This file simulates the slow start of a fleet: routers and databases on one virtual clock. The databases need time
// for each request. The work sent to a warming database in any overload window must stay within the limit that the
// settings set for its current capacity. Work is counted in units of the mean request's work.

// workload is a class's share of the requests and its mean work, as a multiple of the lightest class's.
type workload struct {
	class       int
	share, work float64
}

// spread is the distribution of requests over the routers.
type spread int

const (
	evenSpread  spread = iota
	oneHasMost         // one router receives nine tenths of the requests
	tenthActive        // nine tenths of the routers receive no requests
)

// The databases of a fleet and the duration of its phases.
const (
	fleetDatabases        = 5 // in one group; the first is the primary
	fleetCores            = 3
	fleetMeanWork         = 80 * ms
	fleetQueue            = 12 // running and waiting requests per core; more are rejected
	fleetWarmUp           = 4 * time.Second
	fleetColdPhase        = 6 * time.Second // after the restart
	fleetSlowStartTime    = 10 * time.Second
	fleetOverloadMultiple = 2.5
)

// database simulates cores that serve a queue of requests, at a speed proportional to the database's capacity share.
type database struct {
	id          NodeID
	freeAt      [fleetCores]time.Duration // when each core has completed its work
	started     time.Duration             // 0: long ago
	sends       []weightedSend            // in the current window, while warming up
	windowWork  float64                   // total work of sends
	worst       float64                   // the most work sent in a window, as a share of the limit
	inFlight    int
	overloaded  bool    // exceeded the limit before the routers could know of the start
	sentWork    float64 // total work sent while warming up
	allowedWork float64 // total work that OverloadMultiple allows while warming up
}

// weightedSend is the time and the work of a request that was sent.
type weightedSend struct {
	at   time.Duration
	work float64
}

// result is an event that reaches a router at a later time.
type result struct {
	at       time.Duration
	order    int // sequence number, which orders results of the same time
	router   int
	event    Event
	database *database
}

// results is a heap, ordered by time and then by the order of creation.
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

// slowFleet simulates the routers and databases of a scenario.
type slowFleet struct {
	slowStartScenario
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	running   []*Router
	wakeAt    []time.Duration // when each router's next step is due
	events    [][]Event       // of each router's next step
	databases map[NodeID]*database
	queue     results
	order     int
	lastID    RequestID
	work      map[RequestID]float64 // in units of the mean request
	attempts  map[RequestID]int
}

// newSlowFleet returns the fleet of a scenario with all routers started.
func newSlowFleet(scenario slowStartScenario) *slowFleet {
	settings := defaultSettings()
	settings.Routers = scenario.statedRouters
	settings.CanHedge = false
	settings.SlowStartShare, settings.SlowStartTime = scenario.coldShare, fleetSlowStartTime
	settings.OverloadMultiple, settings.OverloadWindow = fleetOverloadMultiple, scenario.window
	longReads := &settings.Classes[classAny]
	longReads.LatencyObjective, longReads.Deadline = 5*time.Second, 10*time.Second
	fleet := &slowFleet{
		slowStartScenario: scenario, settings: settings, rng: rand.New(rand.NewPCG(scenario.seed, 11)), now: start,
		databases: map[NodeID]*database{}, work: map[RequestID]float64{}, attempts: map[RequestID]int{},
		events: make([][]Event, scenario.routers), wakeAt: make([]time.Duration, scenario.routers),
	}
	for id := NodeID(1); id <= fleetDatabases; id++ {
		fleet.databases[id] = &database{id: id}
	}
	for i := range scenario.routers {
		fleet.running = append(fleet.running, fleet.newRouter(i))
	}
	return fleet
}

// newRouter starts the router with the given index and passes a complete list to its next step.
func (f *slowFleet) newRouter(index int) *Router {
	f.events[index] = []Event{{Kind: ListComplete, Nodes: f.list()}}
	f.wakeAt[index] = f.now
	return New(f.settings, f.seed+uint64(index)*7919+1)
}

// list returns the current endpoint list.
func (f *slowFleet) list() (list []Node) {
	for id := NodeID(1); id <= fleetDatabases; id++ {
		list = append(list, Node{ID: id, State: Ready, Started: f.databases[id].started})
	}
	return list
}

// capacityShare returns the share of its full capacity that a database has at a time.
func (f *slowFleet) capacityShare(target *database, at time.Duration) float64 {
	if target.started == 0 || at >= target.started+fleetSlowStartTime {
		return 1
	}
	return f.coldShare + (1-f.coldShare)*float64(at-target.started)/float64(fleetSlowStartTime)
}

// evidence returns what a database reports about itself.
func (f *slowFleet) evidence(target *database) Evidence {
	if target.id == 1 {
		return Evidence{Role: Primary, Position: f.now}
	}
	position := f.now - 20*ms
	if target.started > 0 {
		position -= f.lag
	}
	return Evidence{Role: Replica, Position: position}
}

// serve passes a request to a database. It returns the time at which the request ends and its status.
func (f *slowFleet) serve(target *database, work float64) (time.Duration, Status) {
	if target.started > 0 && f.now < target.started+fleetSlowStartTime {
		f.recordSend(target, work)
	}
	if target.inFlight >= fleetQueue*fleetCores {
		return f.now + ms, NodeOverloaded
	}
	target.inFlight++
	core := 0
	for i, free := range target.freeAt {
		if free < target.freeAt[core] {
			core = i
		}
	}
	begin := max(f.now, target.freeAt[core])
	target.freeAt[core] = begin + time.Duration(work*float64(fleetMeanWork)/f.capacityShare(target, begin))
	return target.freeAt[core] + ms, OK
}

// recordSend compares the work sent to a warming database in a window with its limit, which is computed from the
// capacity in the middle of the window. The limit includes two or three standard deviations: the work of requests is
// random.
func (f *slowFleet) recordSend(target *database, work float64) {
	window := f.settings.OverloadWindow
	target.sends = append(target.sends, weightedSend{f.now, work})
	target.windowWork += work
	target.sentWork += work
	for f.now-target.sends[0].at > window {
		target.windowWork -= target.sends[0].work
		target.sends = target.sends[1:]
	}
	capacity := f.capacityShare(target, max(target.started, f.now-window/2)) * fleetCores / fleetMeanWork.Seconds()
	mean := fleetOverloadMultiple * capacity * window.Seconds()
	limit := mean + 2*math.Sqrt(mean) + 2
	if mean < 30 {
		limit = mean + 3*math.Sqrt(mean) + 3
	}
	if target.windowWork > limit && f.now < target.started+f.listDelay {
		target.overloaded = true
	}
	if !target.overloaded {
		target.worst = max(target.worst, target.windowWork/limit)
	}
}

// schedule adds an event that reaches a router at the given time. target is the database that sends it, or nil.
func (f *slowFleet) schedule(at time.Duration, router int, event Event, target *database) {
	f.order++
	heap.Push(&f.queue, result{at: at, order: f.order, router: router, event: event, database: target})
}

// execute executes an action of a router.
func (f *slowFleet) execute(router int, action Action) {
	switch action.Kind {
	case SetTimer:
		f.wakeAt[router] = f.now + action.Delay
	case Probe:
		target := f.databases[action.Node]
		f.schedule(f.now+tickInterval, router, Event{Kind: ProbeDone, Outcome: Outcome{
			Node: action.Node, HealthReport: f.evidence(target),
		}}, target)
	case Send:
		target := f.databases[action.Node]
		end, status := f.serve(target, f.work[action.Request])
		f.schedule(end, router, Event{Kind: AttemptDone, Request: action.Request, Outcome: Outcome{
			Node: action.Node, Attempt: f.attempts[action.Request],
			Status: status, Duration: end - f.now, Final: status == OK,
		}}, target)
		f.attempts[action.Request]++
	}
}

// arrivals adds the random requests of one tick to the routers' next steps.
func (f *slowFleet) arrivals() {
	meanWork := 0.0
	for _, load := range f.mix {
		meanWork += load.share * load.work
	}
	mean := f.load * fleetDatabases * fleetCores / fleetMeanWork.Seconds() * tickInterval.Seconds()
	for range f.poisson(mean) {
		load := f.drawWorkload()
		f.lastID++
		f.work[f.lastID] = load.work / meanWork * f.rng.ExpFloat64()
		router := f.drawRouter()
		f.events[router] = append(f.events[router], arrivalEvent(f.lastID, Arrival{
			Class: load.class, Session: uint64(f.lastID), TimeLeft: f.settings.Classes[load.class].Deadline,
		}))
		f.wakeAt[router] = f.now
	}
}

// drawWorkload returns a random workload of the mix, by the shares.
func (f *slowFleet) drawWorkload() workload {
	left := f.rng.Float64()
	for _, load := range f.mix {
		if left -= load.share; left < 0 {
			return load
		}
	}
	return f.mix[len(f.mix)-1]
}

// drawRouter returns the index of the router at which a request arrives, at random by the spread.
func (f *slowFleet) drawRouter() int {
	switch {
	case f.spread == oneHasMost && f.rng.Float64() < 0.9:
		return 0
	case f.spread == tenthActive:
		return f.rng.IntN((f.routers + 9) / 10)
	}
	return f.rng.IntN(f.routers)
}

// poisson returns a random number from the Poisson distribution with the given mean.
func (f *slowFleet) poisson(mean float64) (n int) {
	for left := math.Exp(-mean); ; n++ {
		if left /= max(f.rng.Float64(), 1e-12); left >= 1 {
			return n
		}
	}
}

// restartDatabases restarts the databases. Routers restart too if this is the first restart and the scenario restarts
// them. Other routers receive a new list after listDelay.
func (f *slowFleet) restartDatabases(first bool) {
	for _, id := range f.restart {
		old := f.databases[id]
		f.databases[id] = &database{
			id: id, started: f.now, worst: old.worst, sentWork: old.sentWork, allowedWork: old.allowedWork,
		}
	}
	for i := range f.running {
		if first && f.restartRouters {
			f.running[i] = f.newRouter(i)
		} else {
			f.schedule(f.now+f.listDelay, i, Event{Kind: ListUpdated, Nodes: f.list()}, nil)
		}
	}
}

// deliver passes the due results to the routers. Attempts at a process that has ended have a broken connection.
func (f *slowFleet) deliver() {
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		due := heap.Pop(&f.queue).(result)
		event := due.event
		switch {
		case event.Kind == AttemptDone && due.database != f.databases[due.database.id]:
			event.Outcome.Status, event.Outcome.Final = ConnectionBroken, false
		case event.Kind == AttemptDone:
			event.Outcome.AnswerEvidence = f.evidence(due.database)
			if event.Outcome.Status == OK {
				due.database.inFlight--
			}
		}
		f.events[due.router] = append(f.events[due.router], event)
		f.wakeAt[due.router] = f.now
	}
}

// run runs the fleet. It returns worst, the most work that a warming database was sent in a window as a share of the
// limit, and used, the work sent in total as a share of the work that OverloadMultiple allows.
func (f *slowFleet) run() (worst, used float64) {
	for end := start + fleetWarmUp + fleetColdPhase; f.now < end; f.now += tickInterval {
		sinceRestart := f.now - start - fleetWarmUp
		again := f.restartEvery > 0 && sinceRestart > 0 && sinceRestart%f.restartEvery == 0
		if sinceRestart == 0 || again {
			f.restartDatabases(sinceRestart == 0)
		}
		f.arrivals()
		f.deliver()
		f.stepRouters()
		f.addAllowedWork()
	}
	for _, id := range f.restart {
		target := f.databases[id]
		worst = max(worst, target.worst)
		used += target.sentWork / target.allowedWork / float64(len(f.restart))
	}
	return worst, used
}

// stepRouters steps the routers that have events or whose timers are due.
func (f *slowFleet) stepRouters() {
	for i, router := range f.running {
		if f.wakeAt[i] > f.now {
			continue
		}
		events := append(f.events[i], Event{Kind: TimerFired})
		f.events[i], f.wakeAt[i] = nil, f.now+time.Second
		for _, action := range router.Step(f.now, events, nil) {
			f.execute(i, action)
		}
	}
}

// addAllowedWork adds the work that OverloadMultiple allows for this tick to each restarted database.
func (f *slowFleet) addAllowedWork() {
	const perSecond = fleetOverloadMultiple * fleetCores
	for _, id := range f.restart {
		if target := f.databases[id]; target.started > 0 {
			share := f.capacityShare(target, f.now)
			target.allowedWork += perSecond * share / fleetMeanWork.Seconds() * tickInterval.Seconds()
		}
	}
}
