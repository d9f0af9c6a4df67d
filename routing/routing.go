package routing

// The types, events and actions are in api.go, comparisons with the nodes' clock in remotetime.go. Every
// other decision and every tuned value is in this file.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"capercove/internal/capacity"
	"capercove/internal/clockoffset"
	"capercove/internal/quota"
	"capercove/internal/session"
)

const ms = time.Millisecond

// listedAt is when the list's word on roles is taken to be from: before all evidence.
const listedAt time.Duration = 1

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	tickEvery     = 10 * ms   // how often held and overdue requests are looked at
	loopPeriod    = 500 * ms  // P of the design's loop
	gainP         = 0.1       // K_P, as a share of the cap
	gainI         = 0.3       // K_I
	worstError    = -2.0      // one hung period moves a bound no further than this error
	minSamples    = 6         // fewer reads than this are carried over to the next period
	capAll        = 4.0       // cap of d, the reads that all routers may have out at a node of size 1
	presumeOver   = 4000 * ms // what others have out is taken from this router's mean of so long
	presumeEach   = 100 * ms  // ... or this times the routers, if shorter
	floorShare    = 1.0 / 6   // floor of d, as a share of the cap
	pointsMost    = 48        // ring points of a replica whose d is at the cap
	smooth        = 0.1       // weight of a new sample in the running means
	probeEvery    = 1000 * ms // for replicas unheard from or off the ring
	probeFast     = 100 * ms  // while a group's primary is unknown or a node is down
	lagWait       = 12        // a replica is asked again after its lag, times the routers over so many more
	asksMost      = 4         // probes for one read
	probeShare    = 0.1       // probes that each request pays for, beside those that reads ask for
	probeAlone    = 0.3       // ... and this over the routers more: each must ask for itself
	silence       = 300 * ms  // attempts out this long, and beyond their aim, with nothing heard: suspect
	silenceBy     = 4         // ... or this multiple of its usual latency, if longer
	restarted     = 1000 * ms // a node unreachable this long is taken to have restarted cold
	askEach       = 100 * ms  // times the routers: they spread their list calls after a failure over so long
	pauseFirst    = 500 * ms  // first pause of a mute node; doubles. Least time to spread list calls over
	pauseMost     = 4 * time.Second
	again         = 50 * ms          // before a request goes to a node, or asks for its report, once more
	lostAfter     = 8                // times the usual latency, and the aim: what later ones overtook is lost
	extraShare    = 0.1              // second copies and retries allowed for each first try
	extraMost     = 20.0             // saved up
	coldLeast     = 3.0              // sends to a cold node in a window that all routers together always have
	coldTurns     = 2                // turns of a window in which chance deals out parts of one send
	workSpread    = 4.0              // one request's work may be so many times its class's mean
	spillShare    = 2.0              // of the primary's bound: reads that a replica could take stop here
	patienceLeast = 0.3              // of what is left of the aim: longer waits are not worth a send
	patienceWorth = 0.3              // ... and this much more for the dearest class
	anyRoom       = 2.0              // times the bound: room for long reads of any data, which keep together
	neverShed     = 1.5              // times the cap in flight: no shedding below, the prediction is coarse
	writeRoom     = 3.0              // writes are held beyond this multiple of the cap
	keepWrites    = 60 * time.Second // a session's last write is remembered this long
	keepGone      = 10 * time.Minute // and so is a node that is gone and says nothing
)

// node is what this router knows of one data node.
type node struct {
	Node
	group              *group
	walked             uint64        // last walk of the ring that looked at it
	toldOff            time.Duration // when it was first listed as draining or gone; 0: it is ready
	drained            bool          // it has been listed as draining
	coldAt             time.Duration // when this router found that it had restarted; 0: never
	startedAt          time.Duration // its last start as listed, by the nodes' clock; 0: long ago
	position, provenAt time.Duration // last proven position, which never goes back; when that was learned
	role               Role
	roleAt             clockoffset.Instant // time of the evidence for role

	inFlight                 int
	mean                     float64       // of inFlight, over presumeOver
	meanAt                   time.Duration // up to here
	fails                    int           // failures since its last answer
	completed                float64       // work completed in this loop period, in requests of mean work
	down, mute, died         bool          // only probes are sent; these do not help; no process there
	downAt, retryAt, backoff time.Duration // for a mute one: when it is given one request, the next pause
	unproven, probing        bool          // back from being down and yet to answer a request; a probe is out
	heard, answered          time.Duration // last answer or probe; last answer to a request
	overtook                 time.Duration // latest send of a request that was answered
	probed                   time.Duration
	cold                     capacity.Cold // what it was sent and has answered while cold
	latency                  float64       // running mean of its answers, in ns
	load                     float64       // running mean of crowd at the sends of those answers

	d, delta, lastError float64 // the loop: bound, last change, last error
	sum                 float64 // latency over aim, of this period's samples
	samples, points     int     // in this period; on the ring
}

type point struct {
	hash uint64
	n    *node
}

// group is a primary and its replicas.
type group struct {
	number  int
	lost    bool    // no primary is known, as of the last watch
	members []*node // by ID
	ring    []point
}

type attempt struct {
	n             *node
	at, ended     time.Duration
	behind        float64 // crowd there at the send
	pending, lost bool
}

type request struct {
	id RequestID
	Arrival
	class             *Class
	group             *group
	arrived, deadline time.Duration
	letGo             time.Duration       // held no longer: half its time until it has reached a node
	worth, room       float64             // share of the dearest's; multiple of a bound that it may fill
	need              clockoffset.Instant // position that a session or fresh read must see
	tries             []attempt
	out, asked, most  int           // attempts that are out; probes made for it; attempts it may have
	mayRun            bool          // an attempt is out or ended without proof that it never ran
	firstRun          time.Duration // send of the first such attempt
	dedup             *node         // where it went
	done, begun       bool
}

// Router makes the decisions of one router.
type Router struct {
	set                Settings
	seed               uint64
	now                time.Duration
	offset             clockoffset.Bounds // of the nodes' clock, of which positions and starts are times
	nodes              []*node            // by ID
	byID               map[NodeID]*node
	groups             []*group // by number
	requests           map[RequestID]*request
	open               []*request // by arrival
	writes             session.Writes
	extra              float64       // second copies and retries that may still be spent
	probes             float64       // probes that may still be spent
	rate               float64       // completions a second on a warm node, in requests of mean work
	work               capacity.Work // of the requests of each class
	doubt              *node
	walks, turn        uint64 // walks of rings so far; the node that watch begins with
	quotas             quota.Quotas
	size               capacity.Size // of the nodes, as far as their reports tell
	topWorth           float64
	tightest           time.Duration // bound on age of all classes
	nextTick, nextLoop time.Duration
	bans               map[NodeID]time.Duration
	askAt, asked       time.Duration // when to subscribe, negative: done; since when it is unanswered
	out                []Action
}

// New returns a router that knows nothing but its settings.
func New(s Settings, seed uint64) *Router {
	r := &Router{seed: seed, size: 1, byID: map[NodeID]*node{}, requests: map[RequestID]*request{},
		writes: session.New(), extra: extraMost / 2}
	r.retune(s)
	return r
}

// Step takes one batch of events and appends what is to be done. All news is taken in before any is placed.
func (r *Router) Step(now time.Duration, events []Event, out []Action) []Action {
	r.now, r.out = now, out
	var place []*request
	for i := range events {
		switch e := &events[i]; e.Kind {
		case AttemptDone:
			if q := r.attemptDone(e.Request, &e.Outcome); q != nil {
				place = append(place, q)
			}
		case AnswerStarted:
			r.began(e.Request, e.Outcome.Attempt)
		case ProbeDone:
			r.probeDone(&e.Outcome)
		case ListComplete, ListUpdated:
			r.list(e.Nodes, e.Kind == ListComplete)
		case ExclusionsChanged:
			r.ban(e.Exclusions)
		case ClockOffset:
			r.setOffset(e.Clock)
		case ListFailed:
			over := r.askOver()
			wait := time.Duration(mix(r.seed^uint64(now)) % uint64(over))
			if r.asked == 0 || now-r.asked < pauseFirst { // a watch broke, or it was turned away at once
				over, wait = 0, wait/2
			}
			r.askAt = now + over + wait
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case SettingsChanged: // In its place among the arrivals: those before it are of the old classes.
			r.retune(*e.Settings)
		case RequestArrived:
			place = append(place, r.arrive(e.Request, &e.Arrival))
		case ClientGone: // Even one that came in the same batch, as after a pause of this router.
			if q := r.requests[e.Request]; q != nil {
				r.end(q)
			}
		}
	}
	for _, q := range place {
		r.place(q)
	}
	rest := again // With nothing open there is no hurry: many idle routers must not wake for nothing.
	if len(r.open) > 0 {
		rest = tickEvery
	}
	if due := now >= r.nextTick; due || r.nextTick > now+rest {
		if due {
			r.tick()
		}
		r.nextTick = now + rest
		r.emit(Action{Kind: SetTimer, Delay: rest})
	}
	return r.out
}

func (r *Router) emit(a Action) { r.out = append(r.out, a) }

// mix is the finisher of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ---- The node list

// askOver is the time over which routers spread their next calls for the list after one that waited in
// vain, when as much has passed without any: a service that answers in turn would never get through with
// those that gave up. After another loss half of it does: nobody waits, or being turned away cost nothing.
func (r *Router) askOver() time.Duration {
	return min(max(pauseFirst, time.Duration(r.set.Routers)*askEach), cmp.Or(r.set.ListBindsAfter/3, pauseMost))
}

func (r *Router) list(entries []Node, full bool) {
	r.asked = 0
	if full {
		for _, n := range r.nodes {
			if !slices.ContainsFunc(entries, func(e Node) bool { return e.ID == n.ID }) {
				gone := n.Node
				gone.State = Gone
				r.entry(gone)
			}
		}
	}
	for _, e := range entries {
		r.entry(e)
	}
	r.nodes = slices.DeleteFunc(r.nodes, func(n *node) bool { // Against ever more of them.
		past := n.State == Gone && n.inFlight == 0 && !n.probing && r.now-max(n.toldOff, n.heard) > keepGone
		if past {
			delete(r.byID, n.ID)
		}
		return past
	})
	r.rebuild()
}

func (r *Router) entry(e Node) {
	n := r.byID[e.ID]
	if n == nil { // Also for one first listed as gone: the drain rule counts from that news.
		n = &node{Node: e, d: capAll / 2, heard: r.now}
		r.byID[e.ID] = n
		r.nodes = append(r.nodes, n)
		slices.SortFunc(r.nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	} else if e.Started > n.Started { // It restarted: what was known of its process is void.
		n.role, n.roleAt = Replica, n.roleAt.Later(r.told(e.Started))
		n.down, n.fails, n.unproven = false, 0, true
	}
	n.startedAt = max(n.startedAt, e.Started)
	n.Node = e
	switch {
	case e.State == Ready:
		n.toldOff, n.drained = 0, false
	case n.toldOff == 0:
		n.toldOff = r.now
	}
	n.drained = n.drained || e.State == Draining
	// The list's word counts only for a node that has not spoken for itself: a list far behind would call a
	// deposed primary back, and reads there would be stale.
	if e.Primary && r.set.ListHintsRole && n.role == RoleUnknown {
		n.role, n.roleAt = Primary, clockoffset.Instant{Remote: listedAt}
	}
}

// rebuild sorts the nodes into groups and lays the rings: points in proportion to d, each at a place of its
// own, so that a changed bound moves only that replica's points.
func (r *Router) rebuild() {
	for _, g := range r.groups {
		g.members, g.ring = g.members[:0], g.ring[:0]
	}
	for _, n := range r.nodes {
		g := r.groupOf(n.Group)
		if g == nil {
			g = &group{number: n.Group}
			r.groups = append(r.groups, g)
			slices.SortFunc(r.groups, func(a, b *group) int { return cmp.Compare(a.number, b.number) })
		}
		n.group = g
		if n.State != Gone || r.set.OnlyDrainingBinds {
			g.members = append(g.members, n)
		}
	}
	r.layRings()
}

func (r *Router) groupOf(number int) *group {
	if i := slices.IndexFunc(r.groups, func(g *group) bool { return g.number == number }); i >= 0 {
		return r.groups[i]
	}
	return nil
}

func (r *Router) layRings() {
	for _, g := range r.groups {
		changed := len(g.ring) == 0
		for _, n := range g.members {
			points := max(1, int(math.Round(pointsMost*n.d/capAll*r.warmth(n))))
			changed = changed || points != n.points
			n.points = points
		}
		if !changed {
			continue
		}
		g.ring = g.ring[:0]
		for _, n := range g.members {
			for j := range n.points {
				g.ring = append(g.ring, point{mix(uint64(n.ID)*0x9e3779b97f4a7c15 + uint64(j)), n})
			}
		}
		slices.SortFunc(g.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	}
}

// ---- Evidence

// learn takes in what a node said of itself. Positions never go back; the newest word on the role wins.
func (r *Router) learn(n *node, e Evidence, at clockoffset.Instant) {
	if e.Position > 0 {
		if r.plausible(e.Position) { // Else it is spoilt, or the clocks differ and that is yet to be found.
			n.position = max(n.position, e.Position)
		}
		n.provenAt = r.now
	}
	if e.Role != RoleUnknown && at.By(r.offset.Earliest) >= r.roleTime(n) {
		n.role, n.roleAt = e.Role, at
	}
	if e.ReportsQueue && r.warmth(n) == 1 {
		r.size = r.size.Told(r.crowd(n), e.QueueLength)
	}
}

// primary returns the member with the newest evidence of being the primary, nil if none may be sent to.
func (r *Router) primary(g *group) *node {
	var p *node
	for _, n := range g.members {
		if n.role == Primary && (p == nil || r.roleTime(n) > r.roleTime(p)) {
			p = n
		}
	}
	if p == nil || p.down || !r.mayUse(p, true) {
		return nil
	}
	return p
}

// coldRoom keeps a cold node from being pushed over: its sends in a fall window stay in this router's part of
// multiple x present capacity x window, counted in requests of mean work. The capacity is what it completes
// on a warm node, or what the cold one answered in the last window, if more: it can surely do that, however
// little is asked elsewhere. Of a part of a send chance makes a whole one, drawn anew each turn, so that all
// together keep the budget. Heavy reads get none by chance while another member is warm.
func (r *Router) coldRoom(n *node, q *request) bool {
	warmth := r.warmth(n)
	if warmth == 1 {
		n.cold.Warm()
		return true
	}
	left := n.cold.Left(r.now, r.coldSince(n), r.set.OverloadWindow, r.set.OverloadMultiple,
		warmth*r.rate*r.set.OverloadWindow.Seconds(), coldLeast/float64(r.set.Routers))
	own := mix(r.seed ^ uint64(n.ID)) // Turns begin at another time at each router, not all at once.
	turn := mix(own ^ uint64(coldTurns*(r.now+time.Duration(own%uint64(r.set.OverloadWindow)))/r.set.OverloadWindow))
	work := r.coldWork(q)
	part := left / work
	if heavy := work > r.work.Of(q.Class); heavy && part < 1 && r.warmElsewhere(n) {
		return false
	}
	return part >= 1 || coldTurns*float64(turn>>11)/(1<<53) < part
}

// coldWork is what a request counts for at a cold node, in requests of mean work. One of a heavy class may be
// several times its class's mean, which does not even out over the few that fit into a window: it counts for
// more. What only the primary takes has no other way and counts for its work.
func (r *Router) coldWork(q *request) float64 {
	work := r.work.Of(q.Class)
	if q.class.Read == Write || q.class.Read == FreshRead {
		return work
	}
	return max(work, workSpread*(work-1))
}

// warmElsewhere tells whether another member of the node's group is warm and may be sent reads.
func (r *Router) warmElsewhere(n *node) bool {
	return slices.ContainsFunc(n.group.members, func(m *node) bool {
		return r.warmth(m) == 1 && !m.down && r.mayUse(m, false)
	})
}

// book notes a change of what is in flight at a node.
func (r *Router) book(n *node, change int) {
	over := min(presumeOver, time.Duration(r.set.Routers)*presumeEach)
	n.mean += (float64(n.inFlight) - n.mean) * (1 - math.Exp(-float64(r.now-n.meanAt)/float64(over)))
	n.meanAt = r.now
	n.inFlight += change
}

// crowd is what all routers together have in flight at a node: what this one has, and for each other what
// this one has had in the mean, as the front deals alike; for each unit of the size. So bounds add up even if
// each part is under one, and what holds of a small node holds of a large one.
func (r *Router) crowd(n *node) float64 {
	r.book(n, 0)
	return (float64(n.inFlight) + n.mean*float64(r.set.Routers-1)) / float64(r.size)
}

// bound is the loop's d for a node, less while it is cold or has yet to prove itself.
func (r *Router) bound(n *node) float64 {
	if n.unproven {
		return min(1, n.d)
	}
	return n.d * r.warmth(n)
}

// ---- Health

// suspect takes a node out. A mute one left requests unanswered, whatever its probes say: a process can be up
// and its work stuck. It is given single requests again, ever more rarely, until one is answered. This also
// catches answers lost on the way; it harms a node whose every request is truly that long.
func (r *Router) suspect(n *node, mute bool) {
	if !n.down {
		n.down, n.downAt, n.probed = true, r.now, 0
	} else if n.mute || !mute {
		return
	}
	n.mute, n.backoff = mute, min(max(pauseFirst, 2*n.backoff), pauseMost)
	n.retryAt = r.now + n.backoff
}

func (r *Router) probeDone(o *Outcome) {
	n := r.byID[o.Node]
	switch {
	case n == nil:
		return
	case o.Status == OK:
		r.learn(n, o.Report, r.told(o.Report.Position))
		n.heard, r.nextTick = r.now, r.now // held reads may wait for this proof
		if !n.mute {
			r.revive(n)
		}
	case o.Status == NotSent: // it tells nothing of the node
	default:
		n.died = n.died || o.Status == ConnectRefused
		if n.fails++; n.fails >= 2 {
			r.suspect(n, false)
		}
	}
	n.probing = false
}

// revive brings a node back that answers again. One whose process was not there for long is taken for cold,
// unless it kept up with the log: then it ran all the while, as did one merely silent, such as behind a cut.
func (r *Router) revive(n *node) {
	died := n.died
	if n.died = false; !n.down {
		return
	}
	n.down, n.unproven = false, true
	if died && !n.mute && min(r.now-n.downAt, r.latestNow()-n.position) > restarted {
		n.coldAt = r.now
	}
}

func (r *Router) probe(n *node) {
	if !r.set.CanProbe || n.probing || (n.State == Gone && !r.set.OnlyDrainingBinds) {
		return
	}
	n.probing, n.probed = true, r.now
	r.emit(Action{Kind: Probe, Node: n.ID})
}

// ---- Requests

func (r *Router) arrive(id RequestID, a *Arrival) *request {
	class := &r.set.Classes[a.Class]
	q := &request{id: id, Arrival: *a, class: class, group: r.groupOf(a.Group), arrived: r.now,
		deadline: r.now + a.TimeLeft, letGo: r.now + a.TimeLeft/2, worth: class.Weight / r.topWorth, room: 1,
		most: r.set.MaxAttempts}
	switch {
	case class.Read == AnyRead && class.LatencyObjective > r.tightest: // It may hold the log up too long: at few nodes.
		q.Session, q.room = uint64(a.Class)+1, anyRoom
	case class.Read == FreshRead:
		q.need = clockoffset.Instant{Own: r.now}
	case class.Read == SessionRead:
		if q.need.Remote = a.LastWrite; r.set.KeepSessions {
			q.need = q.need.Later(r.writes.Need(a.Session, r.now))
		}
	}
	r.work.Arrived(a.Class)
	r.requests[id] = q
	r.open = append(r.open, q)
	r.extra = min(extraMost, r.extra+extraShare)
	r.probes = min(float64(len(r.nodes)), r.probes+probeShare+probeAlone/float64(r.set.Routers))
	if !r.quotas.Take(a.Tenant, r.now) {
		q.worth *= r.set.OverQuota
	}
	return q
}

// end closes the request. Attempts that are still out are called off where that is allowed.
func (r *Router) end(q *request) {
	q.done = true
	for i, t := range q.tries {
		if t.pending && r.set.CanCancel {
			r.emit(Action{Kind: Cancel, Request: q.id, Attempt: i})
		}
	}
	if q.out == 0 {
		delete(r.requests, q.id)
	}
}

// giveUp gives the final answer at once: refused where a retry is known to be harmless, failed elsewhere. A
// refused client is told to come back after the aim: sooner it would find the same crowd, or no primary yet.
func (r *Router) giveUp(q *request) {
	c := q.class
	if c.Effect == Idempotent || !q.mayRun || c.Effect == Deduplicated && c.DedupGroup == DedupAll { // harmless
		r.emit(Action{Kind: Reject, Request: q.id, Delay: min(c.LatencyObjective, r.set.MaxRetryAfter)})
	} else {
		r.emit(Action{Kind: Fail, Request: q.id})
	}
	r.end(q)
}

// attemptDone books an outcome. It returns the request if it is still to be placed.
func (r *Router) attemptDone(id RequestID, o *Outcome) *request {
	if n := r.byID[o.Node]; n != nil {
		r.learn(n, o.Note, clockoffset.Instant{Own: r.now})
		r.learn(n, o.Report, r.told(o.Report.Position))
	}
	q := r.requests[id]
	if q == nil || o.Attempt >= len(q.tries) || !q.tries[o.Attempt].pending {
		return nil
	}
	t := &q.tries[o.Attempt]
	n := t.n
	t.pending, t.ended = false, r.now
	if o.Status != ConnectFailed && o.Status != ConnectRefused && o.Status != NotSent {
		q.letGo = q.deadline
	}
	q.out--
	if !t.lost {
		r.book(n, -1)
	}
	if o.Status != NotSent && o.Status != Cancelled && !(t.lost && o.Status == TimedOut) {
		r.sample(n, q, o)
	}
	if q.class.Read == Write {
		commit := clockoffset.Instant{Remote: o.Note.Position}
		if commit.Remote == 0 {
			commit.Own = r.now
		}
		r.writes.Ended(q.Session, !o.Status.NeverRan(), commit)
	}
	if q.done || o.Final {
		r.end(q)
		return nil
	}
	if o.Status.NeverRan() && q.out == 0 && q.dedup == n && q.firstRun == t.at {
		q.mayRun, q.dedup = false, nil
	}
	if q.out > 0 {
		return nil
	}
	full := o.Status == NodeOverloaded && q.class.Read != Write // Where one is full, all may be: no storm.
	if full && r.extra < 1 || q.mayRun && q.class.Effect == NonIdempotent || r.now >= q.deadline {
		r.giveUp(q)
		return nil
	}
	if full {
		r.extra--
	}
	return q
}

// sample books what an outcome tells of its node: health, latency, the loop's sample.
func (r *Router) sample(n *node, q *request, o *Outcome) {
	switch o.Status {
	case ConnectFailed, ConnectRefused, ConnectionBroken, NodeError: // Sound nodes err, and reset connections.
		n.died = n.died || o.Status == ConnectRefused
		if n.fails++; n.fails >= 3 || n.fails == 2 && o.Status != NodeError {
			r.suspect(n, o.Status == NodeError)
		}
	case TimedOut: // Health is for the watch on silence: a client's short time-out says little of the node.
	default:
		n.heard, n.answered, n.fails, n.mute, n.backoff = r.now, r.now, 0, false, 0
		r.revive(n)
	}
	if o.Status == OK {
		n.unproven = false
		work := r.work.Of(q.Class)
		n.completed += work
		n.cold.Answered(r.now, work)
		n.overtook = max(n.overtook, q.tries[o.Attempt].at)
	}
	if o.Status == OK || o.Status == TimedOut {
		if r.warmth(n) == 1 {
			r.work.Answered(q.Class, o.Duration)
		}
		n.latency += smooth * (float64(o.Duration) - n.latency)
		n.load += smooth * (q.tries[o.Attempt].behind - n.load)
		n.sum += float64(o.Duration) / float64(r.aim(q))
		n.samples++
	}
}

func (r *Router) aim(q *request) time.Duration {
	return min(q.class.LatencyObjective+time.Duration(q.class.ObjectivePerWork*float64(q.Work)), q.class.Deadline)
}

func (r *Router) send(q *request, n *node) {
	n.cold.Sent(r.now, r.set.OverloadWindow, r.coldWork(q))
	if !q.mayRun {
		q.mayRun, q.firstRun, q.dedup = true, r.now, n
	}
	q.tries = append(q.tries, attempt{n: n, at: r.now, pending: true, behind: r.crowd(n)})
	r.book(n, 1)
	if q.out++; q.class.Read == Write {
		r.writes.Sent(q.Session)
	}
	var by time.Duration // Proof of freshness may run out while a connection is opened.
	if q.class.Read == BoundedRead && n.role != Primary && r.set.StaleReads == StaleAnswered {
		by = n.position + q.class.MaxAge - r.offset.Latest
	}
	r.emit(Action{Kind: Send, Request: q.id, Node: n.ID, WriteBy: by})
}

// maySend keeps the rule on repeats and the attempts within their cap.
func (r *Router) maySend(q *request, n *node) bool {
	if q.done || len(q.tries) >= q.most || q.out > 0 && !r.set.CanHedge {
		return false
	}
	if !q.mayRun || q.class.Effect == Idempotent {
		return true
	}
	return q.class.Effect == Deduplicated && r.now-q.firstRun < q.class.DedupWindow &&
		(q.class.DedupGroup != DedupZone || n.Zone == q.dedup.Zone)
}

// usable tells whether the request may go to the node as far as rules, health and earlier attempts go.
func (r *Router) usable(n *node, q *request, asPrimary bool) bool {
	if n.down || !r.mayUse(n, asPrimary) || !r.maySend(q, n) || !r.coldRoom(n, q) {
		return false
	}
	for _, t := range q.tries {
		if t.n == n && (t.pending || r.now-t.ended < again) {
			return false
		}
	}
	return true
}

// predicted is how long an answer would take: the usual latency, more by as much as more is out.
func (r *Router) predicted(n *node) time.Duration {
	return time.Duration(n.latency * (r.crowd(n) + 1) / (n.load + 1))
}

// place sends the request, holds it, or gives it up.
func (r *Router) place(q *request) {
	if q.done || q.out > 0 {
		return
	}
	if q.group == nil || len(q.tries) >= q.most || r.now >= q.letGo-2*tickEvery {
		r.giveUp(q)
		return
	}
	if q.class.Read == Write {
		p := r.primary(q.group)
		if p == nil && !r.set.CanProbe { // A member that is not the primary turns the write away untouched.
			p, _ = r.walk(q.group, nil, q)
		}
		if p != nil && r.usable(p, q, true) && (!p.unproven || p.inFlight < 1) &&
			r.crowd(p) < writeRoom*capAll {
			r.send(q, p)
		}
		return
	}
	if q.class.LateWeight == 0 && r.now >= q.arrived+r.aim(q) {
		r.giveUp(q)
	} else if n, shed := r.chooseRead(q); n != nil {
		r.send(q, n)
	} else if shed {
		r.giveUp(q)
	}
}

// chooseRead is the ordinary path of a read. The key's place on the ring is walked clockwise past replicas
// that are unfit, stale or at their bound; if all are full, the one least over takes it. It returns nil to
// hold the read, or to shed it.
func (r *Router) chooseRead(q *request) (choice *node, shed bool) {
	g := q.group
	p := r.primary(g)
	n, room := r.walk(g, p, q)
	if room {
		return n, false
	}
	if d := r.doubt; n == nil && d != nil && q.class.Read != FreshRead {
		if r.set.StaleReads == StaleRejected {
			return d, false
		}
		// Where nodes do not check, a proof lasts no longer than the bound, and a router with few answers has
		// none: it asks for one, and waits. All replicas behind cost asksMost probes a read.
		if d.probing {
			return nil, false
		}
		if q.asked++; q.asked <= asksMost {
			r.probe(d)
			return nil, false
		}
	}
	share := spillShare
	if n == nil {
		share = writeRoom
	}
	patience := r.patience(q)
	calm := n != nil && (r.predicted(n) <= patience || r.crowd(n) < neverShed*capAll*r.warmth(n))
	if calm && q.class.Read != FreshRead {
		return n, false
	}
	if p != nil && r.usable(p, q, true) {
		if r.crowd(p) < share*r.bound(p) {
			return p, false
		}
		return nil, true
	}
	return nil, n != nil
}

// patience is how long an answer may take for the read to be sent at all; less worth is given up first.
func (r *Router) patience(q *request) time.Duration {
	return time.Duration((patienceLeast + patienceWorth*q.worth) * float64(q.arrived+r.aim(q)-r.now))
}

// walk finds the first fit replica with room, clockwise from the key's place, or else the one least over.
func (r *Router) walk(g *group, p *node, q *request) (least *node, room bool) {
	if r.doubt = nil; len(g.ring) == 0 {
		return nil, false
	}
	start, _ := slices.BinarySearchFunc(g.ring, mix(cmp.Or(q.Session, uint64(q.id))),
		func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	r.walks++
	left, over := len(g.members), 0.0
	for i := range g.ring {
		n := g.ring[(start+i)%len(g.ring)].n
		if n.walked == r.walks {
			continue
		}
		n.walked = r.walks
		if n != p && r.usable(n, q, false) {
			crowd, bound := r.crowd(n), q.room*r.bound(n)
			excess := (crowd + 1) / bound
			switch fresh := r.fresh(n, q); {
			case fresh && crowd < bound:
				return n, true
			case !fresh && crowd < bound && r.better(n, q):
				r.doubt = n
			case fresh && !n.unproven && (least == nil || excess < over):
				least, over = n, excess
			}
		}
		if left--; left == 0 {
			break
		}
	}
	return least, false
}

// better tells whether a replica with room but without proof is a better try than the one noted: the most
// advanced where nodes check, elsewhere the first on the ring whose report is out or may be asked for again,
// and rather one that was not too far behind when it last spoke.
func (r *Router) better(n *node, q *request) bool {
	if r.set.StaleReads == StaleRejected {
		return r.doubt == nil || n.position > r.doubt.position
	}
	lag, last, wait, all := r.lag(n), n.probed, again, time.Duration(r.set.Routers)
	if !n.probing { // What it said just now will not have changed, all the less the further it was behind.
		last, wait = max(last, n.provenAt), max(again, lag*all/(all+lagWait))
	}
	nearer := r.doubt == nil || lag+q.class.MaxAge < r.lag(r.doubt)
	return nearer && r.set.CanProbe && (r.now-last < wait) == n.probing
}

// ---- Time

func (r *Router) tick() {
	r.sweep()
	if r.now >= r.nextLoop {
		if r.nextLoop > 0 {
			r.loop()
		}
		r.nextLoop = r.now + loopPeriod
	}
	r.watch()
	if r.set.ListIsPolled && r.askAt >= 0 && r.now >= r.askAt {
		r.emit(Action{Kind: Subscribe})
		r.askAt, r.asked = -1, r.now
	}
}

// watch probes what is in doubt and what is merely unheard from. Requests alone pay for the probes, for new
// nodes too: many routers that each probe every node would ask more than they send. Half is for the doubtful.
func (r *Router) watch() {
	for _, g := range r.groups {
		g.lost = r.primary(g) == nil
	}
	for i := range r.nodes {
		n := r.nodes[(int(r.turn)+i)%len(r.nodes)]
		wait, keep := probeEvery, float64(len(r.nodes)/2)
		switch {
		case (n.group.lost || n.down) && !r.banned(n):
			wait, keep = probeFast, 0
		case r.now-n.heard < probeEvery, r.banned(n):
			continue
		}
		if !n.probing && (n.probed == 0 || r.now-n.probed >= wait) && r.probes >= 1+keep {
			r.probe(n)
			r.probes--
		}
		if n.down && r.now >= n.retryAt && (n.mute || !r.set.CanProbe || r.probes < 1) {
			r.revive(n)
		}
	}
	r.turn++
}

// sweep places held requests again, and gives the final answer at the deadline even if an attempt is out.
func (r *Router) sweep() {
	r.open = slices.DeleteFunc(r.open, func(q *request) bool {
		switch {
		case q.done || q.begun:
		case q.out == 0:
			r.place(q)
		case r.now >= q.deadline:
			r.giveUp(q)
		default:
			r.overdue(q)
		}
		return q.done || q.begun
	})
}

func (r *Router) overdue(q *request) {
	t := &q.tries[len(q.tries)-1]
	n, waited, aim, usual := t.n, r.now-t.at, r.aim(q), time.Duration(t.n.latency)
	quiet := max(silence, silenceBy*usual, aim)
	if waited > quiet && r.now-n.answered > quiet && !n.down {
		r.suspect(n, true)
	}
	// An attempt out for many times the usual while ones sent well after it are answered was lost on the way.
	// It leaves the count, so that lost writes do not stop others. A rare very costly read gets a copy too.
	if !t.lost && waited > max(lostAfter*usual, aim) && n.overtook > t.at+usual {
		t.lost = true
		r.book(n, -1)
	}
	if q.class.Read == Write || q.out > 1 || r.extra < 1 || !n.down && !t.lost {
		return
	}
	if m, room := r.walk(q.group, r.primary(q.group), q); room {
		r.extra--
		r.send(q, m)
	}
}

// loop runs the design's PI step for every node: e is 1 less the mean of latency over aim. Reads in flight
// beyond their aim are samples too, so that a hung node does not look idle. The velocity form integrates
// twice, so at a limit the stored change is the one that took effect.
func (r *Router) loop() {
	for _, q := range r.open {
		for _, t := range q.tries {
			if waited := r.now - t.at; t.pending && !t.lost && !q.done && waited > r.aim(q) {
				t.n.sum += float64(waited) / float64(r.aim(q))
				t.n.samples++
			}
		}
	}
	completed, warm := 0.0, 0
	for _, n := range r.nodes {
		if r.warmth(n) == 1 && n.State == Ready && !n.down {
			completed, warm = completed+n.completed, warm+1
		}
		n.completed = 0
		if n.samples < minSamples {
			continue
		}
		e := max(worstError, 1-n.sum/float64(n.samples))
		n.delta += gainP * capAll * ((gainI+1)*e - n.lastError)
		d := min(capAll, max(floorShare*capAll, n.d+n.delta))
		n.delta, n.d, n.lastError = d-n.d, d, e
		n.sum, n.samples = 0, 0
	}
	if warm > 0 {
		r.rate += 3 * smooth * (completed/float64(warm)/loopPeriod.Seconds() - r.rate)
	}
	r.layRings()
	r.writes.Forget(r.now-keepWrites, r.offset.Earliest)
}
