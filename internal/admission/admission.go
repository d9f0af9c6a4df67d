// Package admission decides which of the requests that have come in go on to the router, and when: it keeps tenants, and the
// clients of each, to their fair shares of what stands behind it, and tells those that it turns away when to come back.
//
// A Door is driven by Step alone. It has no clock, goroutine or I/O, so equal calls give equal actions. Every offer ends
// in exactly one of: admitted (and later ended by its host), refused, left. With room behind it nothing waits: an offer
// is admitted in the Step that brings it.
//
// Requests meet at lanes, one for the primary and one for the replicas of each group, since databases that differ must
// not make one wait for the other. At a lane, tenants take turns by start-time fair queuing (Goyal, Vin, Cheng 1996), each
// turn charged with the cost of the request in seconds of work; the clients of a tenant take turns in the same way. How
// much is inside a lane at once is bounded by a limit that follows the latency there (limiter.go).
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tuned values.
const (
	tick        = 10 * time.Millisecond  // how often what waits is looked at
	window      = 100 * time.Millisecond // of the limiter and the rates, at the least
	windowMost  = time.Second            // ... and at the most, if there are few samples
	reseed      = 5 * time.Second        // clients are hashed anew, and what they have asked for counts half
	forgotten   = time.Minute            // a tenant's place at a lane goes when it has been idle for so long
	buckets     = 32                     // hashed flows of a tenant at a lane
	heavies     = 16                     // ... and exact ones, for its heaviest clients
	costGuess   = 0.2                    // of its aim, what a request of a class takes before any has been measured
	patience    = 0.5                    // of the time its client waits, how long a request is held at the most
	doubt       = 1.25                   // a wait that is this much longer than predicted is no surprise
	earlyCharge = 1.0                    // of its cost, what one who comes back too early is charged
	contendFor  = time.Second            // a tenant that has been here within it may be in another's way
	loudShare   = 0.25                   // of a tenant's, that a client asks for before it can be in the others' way
	shortLeast  = 0.01                   // short work, in places that it fills, under which none are kept for it
	staffing    = 2.0                    // roots of their mean that are kept beyond the mean
	asksLast    = 5 * time.Second        // a class that nobody has asked for so long does not count
	rateOver    = time.Second            // the running rates are of about so long
)

// Kind of Event.
type Kind uint8

const (
	Offered Kind = iota // a request has come in
	Ended               // one that was admitted is over
	Left                // the client of one has gone, wherever it is
	Full                // a database turned an attempt of one away for being full
	Retuned             // new settings; what is queued stays, unless its class is gone
	Woken               // time has passed
)

// Event is one thing that happened. Kind tells which of the other fields are set.
type Event struct {
	Kind     Kind
	Request  uint64
	Offer    Offer
	Outcome  Outcome
	Settings *Settings // it must not change any more
}

// Offer is a request as it comes to the door.
type Offer struct {
	Tenant  int // of Settings.Tenants
	Class   int // of Settings.Classes
	Group   int
	Client  uint64        // tells the clients of a tenant apart
	Work    time.Duration // expected; 0: as its class
	Expires time.Duration // from now until the client quits
}

// Outcome ends what was admitted.
type Outcome struct {
	Ran  bool          // a database answered, well or not, or did not in time; false: nothing was sent or all was turned away
	Took time.Duration // the last attempt's time; 0: there was none
}

// Action is one thing for the host to do, in order.
type Action struct {
	Kind    ActionKind
	Request uint64
	Class   int           // Admit: its number in the newest settings
	After   time.Duration // Refuse: when to come back; Wake: from now
}

type ActionKind uint8

const (
	Admit ActionKind = iota
	Refuse
	Wake // call Step with Woken then
)

// Settings are what the operators set, and what the door needs to know of the classes.
type Settings struct {
	Tenants       []Tenant // the first is who no rule names
	Classes       []Class
	Limiter       LimiterKind
	Tolerance     float64       // latency may be this multiple of the floor before less is let in; above 1
	MaxRetryAfter time.Duration // no one is told to come back later than this; 0: nobody is told
	Bounds        Bounds
}

// Tenant is one party among whom the databases are shared.
type Tenant struct {
	Name         string
	Weight       float64 // above 0
	Floor        float64 // requests a second that go before all others; 0: none
	Ceiling      float64 // requests a second beyond which all are refused; 0: none
	FloorShare   float64 // of a lane's limit, below which its requests go before all others; 0: none
	CeilingShare float64 // of a lane's limit that it may fill; 0: all
}

// Class is what the door needs to know of one.
type Class struct {
	Name    string
	Aim     time.Duration // an answer within it earns full worth
	Primary bool          // only a group's primary takes it
}

// Bounds bound the door's memory.
type Bounds struct {
	Queue    int // requests that wait, over all lanes
	Lanes    int // beyond them, groups share a lane
	Promises int // remembered times to come back
	LimitMin float64
	LimitMax float64
}

// Reason why the door refused.
type Reason uint8

const (
	TooLate  Reason = iota // it could not be admitted in time for its aim
	NoRoom                 // the queue is full and its flow is the heaviest
	Capped                 // its tenant is over its ceiling
	Gone                   // its class is no more
	Overtook               // it waited, but its time came first
	reasons
)

// Count are the door's counters. Promised ones count requests: who came back when told is Kept if let in, Broken if not.
type Count struct {
	Offered, Admitted, Waited, Left int64 // Waited: of the admitted
	TooLate, NoRoom, Capped, Gone   int64 // refused by the door
	Overtook                        int64
	Promised, Unpromised            int64 // times to come back that are remembered, and those that are not
	Early, Kept, Broken             int64 // those who came back
}

// refused is the counter of a reason.
func (c *Count) refused(r Reason) *int64 {
	return [reasons]*int64{&c.TooLate, &c.NoRoom, &c.Capped, &c.Gone, &c.Overtook}[r]
}

// Controller holds the queues. The zero value is not usable.
type Controller struct {
	Count   Count
	Sojourn *hdrhistogram.Histogram // microseconds that those who waited had waited when let in

	set      Settings
	now      time.Duration
	rng      *rand.Rand
	seed     uint64 // of the hashed clients
	seeded   time.Duration
	awake    time.Duration // a Wake is on its way for then; 0: none
	entries  []entry
	free     int32 // first of the free entries
	at       map[uint64]int32
	queued   int
	lanes    []*lane // by number
	laneAt   map[laneKey]int
	tenants  []account
	promises promises
	out      []Action
	aside    []int32 // scratch
}

// account is what is known of a tenant over all lanes.
type account struct {
	floor, ceiling   bucket
	Admitted, Queued int64
	Refused          int64
}

// bucket is a token bucket that holds a second's worth.
type bucket struct {
	tokens float64
	at     time.Duration
}

// fill returns what the bucket holds now, at a rate in tokens a second.
func (b *bucket) fill(rate float64, now time.Duration) float64 {
	most := max(rate, 1)
	b.tokens = min(most, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	return b.tokens
}

// New returns a door that is empty. Equal seeds give equal doors.
func New(s Settings, seed uint64) *Controller {
	d := &Controller{rng: rand.New(rand.NewPCG(seed, 0x646f6f72)), at: map[uint64]int32{}, laneAt: map[laneKey]int{},
		free: none, Sojourn: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
	d.seed = d.rng.Uint64()
	d.promises = newPromises(s.Bounds.Promises)
	d.set = s
	d.tenants = make([]account, len(s.Tenants))
	return d
}

// Step takes one batch of events and appends what is to be done. What ends makes room before anything is let in, and
// all offers of a batch are queued before any of them goes on, so that a batch after a pause is shared fairly too.
func (d *Controller) Step(now time.Duration, events []Event, out []Action) []Action {
	d.now, d.out = max(now, d.now), out
	if d.seeded == 0 {
		d.seeded = d.now
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case Ended:
			d.ended(e.Request, &e.Outcome)
		case Full:
			if at, known := d.at[e.Request]; known && d.entries[at].state == inside {
				d.lanes[d.entries[at].lane].limiter.full()
			}
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case Retuned: // In its place among the offers: those before it are of the old settings.
			d.retune(*e.Settings)
		case Offered:
			d.offer(e.Request, &e.Offer)
		case Left:
			d.left(e.Request)
		}
	}
	if d.awake > 0 && d.now >= d.awake {
		d.awake = 0
	}
	for _, l := range d.lanes {
		l.roll(d)
		if d.now-l.swept >= tick {
			l.swept = d.now
			d.sweep(l)
		}
		d.dispatch(l)
	}
	if d.now-d.seeded >= reseed {
		d.renew()
	}
	if d.queued > 0 && d.awake == 0 {
		d.awake = d.now + tick
		d.out = append(d.out, Action{Kind: Wake, After: tick})
	}
	return d.out
}

// RetryAfter tells when one who was let in, and was refused behind the door, should come back. It is a promise as the
// door's own refusals are, no sooner than at least, and must come before the request's end is told.
func (d *Controller) RetryAfter(now time.Duration, request uint64, least time.Duration) time.Duration {
	d.now = max(now, d.now)
	at, known := d.at[request]
	// Where nobody is held back, no queue is known that would tell when there is room: the router's own word stands.
	if !known || !d.lanes[d.entries[at].lane].contested {
		return least
	}
	return d.promise(&d.entries[at], least)
}

// offer queues a request, or refuses it at once.
func (d *Controller) offer(request uint64, o *Offer) {
	d.Count.Offered++
	l := d.laneOf(o.Group, d.set.Classes[o.Class].Primary)
	class, stat := &d.set.Classes[o.Class], &l.classes[o.Class]
	cost := o.Work.Seconds()
	if cost <= 0 {
		cost = stat.cost(class)
	}
	at := d.take()
	e := &d.entries[at]
	*e = entry{request: request, state: arriving, lane: l.number, tenant: int32(o.Tenant), class: int32(o.Class),
		client: o.Client, cost: cost, offered: d.now}
	d.at[request] = at
	// Held only for as long as it can still be answered within its aim, and never far into its client's wait.
	e.due = d.now + max(0, min(class.Aim-stat.latency(class, d.set.Tolerance), time.Duration(patience*float64(o.Expires))))
	t, conf := &d.tenants[o.Tenant], &d.set.Tenants[o.Tenant]
	if conf.Ceiling > 0 {
		if t.ceiling.fill(conf.Ceiling, d.now) < 1 {
			d.refuse(at, Capped)
			return
		}
		t.ceiling.tokens--
	}
	stat.asked = d.now
	if l.isLong(d, o.Class) {
		e.band = long
	} else {
		l.offered += cost
	}
	p := l.pair(d, o.Tenant)
	e.flow = p.flowOf(d, e.client, e.cost, e.band)
	switch d.promises.meet(d.promiseKey(e), d.now) {
	case onTime:
		e.promised = true
	case early: // It stays a request as any other, at its own flow's cost.
		d.Count.Early++
		p.charge(e.flow, earlyCharge*e.cost)
	}
	full := d.queued >= d.set.Bounds.Queue
	if l.queued >= l.room(e.band) { // it may have to wait
		wait := l.wait(p, &p.flows[e.flow], e.cost)
		if !e.promised && !l.underFloor(d, o.Tenant) && d.now+wait > e.due {
			d.refuse(at, TooLate)
			return
		}
	}
	d.enqueue(l, p, at)
	if full {
		d.refuse(d.heaviest(), NoRoom)
	}
}

// refuse ends an entry with the time to come back.
func (d *Controller) refuse(at int32, why Reason) {
	e := &d.entries[at]
	*d.Count.refused(why)++
	d.tenants[e.tenant].Refused++
	if e.promised {
		d.Count.Broken++
	}
	if e.state == queued {
		d.unlink(at)
	}
	var after time.Duration
	switch why {
	case Gone: // There is nothing to come back for.
	case Capped:
		conf, t := &d.set.Tenants[e.tenant], &d.tenants[e.tenant]
		// Against all of them coming back with the next token.
		wait := (1 - t.ceiling.tokens + conf.Ceiling*d.rng.Float64()/2) / conf.Ceiling
		after = min(time.Duration(wait*float64(time.Second)), d.set.MaxRetryAfter)
	default:
		after = d.promise(e, 0)
	}
	d.out = append(d.out, Action{Kind: Refuse, Request: e.request, After: after})
	d.drop(at)
}

// admit lets an entry go on.
func (d *Controller) admit(l *lane, at int32) {
	e := &d.entries[at]
	e.state = inside
	l.inside++
	l.pairs[e.tenant].inside++
	l.longs += int(e.band)
	t := &d.tenants[e.tenant]
	t.Admitted++
	t.floor.tokens = max(0, t.floor.tokens-1)
	d.Count.Admitted++
	if e.promised {
		d.Count.Kept++
	}
	if d.now > e.offered {
		d.Count.Waited++
		d.Sojourn.RecordValue(int64((d.now - e.offered) / time.Microsecond))
	}
	d.out = append(d.out, Action{Kind: Admit, Request: e.request, Class: int(e.class)})
}

// ended takes one that was admitted out, and learns from it.
func (d *Controller) ended(request uint64, o *Outcome) {
	at, known := d.at[request]
	if !known || d.entries[at].state != inside {
		return
	}
	e := &d.entries[at]
	l := d.lanes[e.lane]
	l.inside--
	l.pairs[e.tenant].inside--
	l.longs -= int(e.band)
	l.ended += e.cost
	if o.Ran && e.class >= 0 {
		l.ran += e.cost
		if o.Took > 0 {
			l.classes[e.class].sample(o.Took)
		}
	}
	d.drop(at)
}

// left forgets a request whose client has gone.
func (d *Controller) left(request uint64) {
	at, known := d.at[request]
	if !known {
		return
	}
	d.Count.Left++
	if d.entries[at].state == inside {
		d.ended(request, &Outcome{})
		return
	}
	d.unlink(at)
	d.drop(at)
}

// sweep refuses what waits at a lane and can no longer be in time, at once.
func (d *Controller) sweep(l *lane) {
	d.weed(l, func(_ *pair, e *entry, _ float64) bool { return d.now > e.due }, Overtook)
}

// prune refuses what waits at a lane and will not be in time, as things stand. Against a long queue that stands while
// what is behind the door has become less: its end would be held for nothing.
func (d *Controller) prune(l *lane) {
	d.weed(l, func(p *pair, e *entry, ahead float64) bool {
		wait := time.Duration(float64(l.ahead(p, ahead)) / doubt)
		return d.now+wait > e.due
	}, TooLate)
}

// weed refuses those who wait at a lane for whom the condition holds. It is told the cost that goes before each in its
// flow, its own included.
func (d *Controller) weed(l *lane, condition func(*pair, *entry, float64) bool, why Reason) {
	for t := range l.pairs {
		p := l.pairs[t]
		if p == nil || p.queued == 0 || why == TooLate && l.underFloor(d, t) {
			continue
		}
		each := func(at int32) {
			for ahead := 0.0; at != none; {
				e := &d.entries[at]
				next := e.next
				if condition(p, e, ahead+e.cost) {
					d.refuse(at, why)
				} else {
					ahead += e.cost
				}
				at = next
			}
		}
		for i := range p.flows {
			if p.flows[i].count > 0 {
				each(p.flows[i].first)
			}
		}
		if why == Overtook { // The kept are let down only when it is too late.
			each(p.kept[short].first)
			each(p.kept[long].first)
		}
	}
}

// renew hashes the clients anew, so that two who share a flow by chance do not share it for long, and lets go of what
// has been idle.
func (d *Controller) renew() {
	d.seeded, d.seed = d.now, d.rng.Uint64()
	for _, l := range d.lanes {
		for t, p := range l.pairs {
			if p == nil {
				continue
			}
			p.sketch.halve()
			if p.queued == 0 && p.inside == 0 && d.now-p.used > forgotten {
				l.pairs[t] = nil
			}
		}
	}
}

// retune takes in new settings. Tenants and classes keep their state by name; those queued for a tenant that is no more
// wait with the first one's, and those of a class that is no more are refused.
func (d *Controller) retune(s Settings) {
	tenantTo, classTo := make([]int32, len(d.set.Tenants)), make([]int32, len(d.set.Classes))
	tenants := make([]account, len(s.Tenants))
	for i, old := range d.set.Tenants {
		for j, t := range s.Tenants {
			if t.Name == old.Name {
				tenantTo[i] = int32(j)
			}
		}
	}
	for i, old := range d.set.Classes {
		classTo[i] = none
		for j, c := range s.Classes {
			if c.Name == old.Name && c.Primary == old.Primary {
				classTo[i] = int32(j)
			}
		}
	}
	// Queued ones are taken out and put in again, in the order in which they came.
	var waiting []int32
	for at := range d.entries {
		if d.entries[at].state == queued {
			waiting = append(waiting, int32(at))
		}
	}
	sortBy(waiting, func(a, b int32) bool {
		ea, eb := &d.entries[a], &d.entries[b]
		return ea.offered < eb.offered || ea.offered == eb.offered && ea.request < eb.request
	})
	for _, at := range waiting {
		d.unlink(at)
		if class := d.entries[at].class; classTo[class] == none {
			d.entries[at].state = arriving
			d.refuse(at, Gone)
		}
	}
	for i, old := range d.set.Tenants { // now that nothing of theirs is counted as queued
		if to := tenantTo[i]; s.Tenants[to].Name == old.Name {
			tenants[to] = d.tenants[i]
		}
	}
	d.set, d.tenants = s, tenants
	for _, l := range d.lanes {
		l.renumber(d, tenantTo, classTo)
	}
	for at := range d.entries {
		e := &d.entries[at]
		if e.state == nobody {
			continue
		}
		e.tenant = tenantTo[e.tenant]
		if e.class >= 0 {
			e.class = classTo[e.class]
		}
		if e.state == inside {
			d.lanes[e.lane].pair(d, int(e.tenant)).inside++
		}
	}
	for _, at := range waiting {
		if e := &d.entries[at]; e.state == arriving {
			l := d.lanes[e.lane]
			p := l.pair(d, int(e.tenant))
			e.flow = p.flowOf(d, e.client, 0, e.band)
			d.enqueue(l, p, at)
		}
	}
}
