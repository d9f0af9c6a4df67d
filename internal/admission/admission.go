// Package admission is the pooler's admission control: it decides which of the incoming requests go on to the router,
// and when. It keeps tenants, and the clients of each, to their fair shares of the databases, and tells those whose
// requests it rejects when to retry.
//
// A Controller is driven by Step alone. It has no clock, goroutine or I/O, so equal calls give equal actions. Every
// offered request ends in exactly one of: admitted (and later ended by its host), rejected, left. While the databases
// have capacity nothing waits: a request is admitted in the Step that offers it.
//
// Requests wait in queues, one for the primary and one for the replicas of each group, since requests for one database
// must not wait for another. In a queue, tenants take turns by start-time fair queuing (Goyal, Vin, Cheng 1996), each
// turn charged with the cost of the request in seconds of work; the clients of a tenant take turns in the same way. The
// number of a queue's requests in flight is bounded by a concurrency limit that follows their latency (limiter.go).
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tuned values.
const (
	sweepInterval    = 10 * time.Millisecond  // how often overdue requests are looked for
	minWindow        = 100 * time.Millisecond // shortest measuring window of the limiter and the rates
	maxWindow        = time.Second            // longest one, if there are few samples
	reseedInterval   = 5 * time.Second        // clients are hashed anew, and what they have asked for counts half
	idleTimeout      = time.Minute            // an idle tenant's state in a queue is dropped after this
	hashedFlows      = 32                     // flows of a tenant in a queue that clients share by their hash
	heavyFlows       = 16                     // flows of their own, for the tenant's heaviest clients
	defaultCostShare = 0.2                    // of a class's objective: its cost before any request has been measured
	maxWaitShare     = 0.5                    // of its client's timeout, that a request waits at most
	waitMargin       = 1.25                   // a wait may turn out this many times the predicted one
	earlyRetryCharge = 1.0                    // of a request's cost, charged for a retry that comes too early
	contentionWindow = time.Second            // a tenant seen within it may compete with others
	heavyClientShare = 0.25                   // of a tenant's work: a client above it may crowd out the others
	minShortLoad     = 0.01                   // load of short requests below which no places are reserved for them
	staffingFactor   = 2.0                    // standard deviations of the short load that are reserved beyond its mean
	classActiveTime  = 5 * time.Second        // a class without requests for so long is not considered
	rateTimeConstant = time.Second            // of the moving averages of rates
	randomStream     = 0x646f6f72             // of the random generator, beside the seed
	maxDelaySeconds  = 3600                   // bound of predicted delays
	sojournDigits    = 2                      // significant digits of the sojourn histogram
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Offered Kind = iota // a request has arrived
	Ended               // an admitted request is over
	Left                // the client of a request has disconnected, whether it waits or was admitted
	Full                // a database rejected an attempt of a request because it is overloaded
	Retuned             // new settings; queued requests stay, unless their class is gone
	Woken               // the time of a Wake action has come
)

// Event is one input of Step. Kind tells which of the other fields are set.
type Event struct {
	Kind     Kind
	Request  uint64
	Offer    Offer
	Outcome  Outcome
	Settings *Settings // it must not be changed afterwards
}

// Offer describes an arriving request.
type Offer struct {
	Tenant  int // index in Settings.Tenants
	Class   int // index in Settings.Classes
	Group   int
	Client  uint64        // identifies the client within its tenant
	Work    time.Duration // expected; 0: the estimate of its class
	Expires time.Duration // time from now until the client gives up
}

// Outcome is how an admitted request ended.
type Outcome struct {
	Ran  bool          // a database worked on it, whatever the result; false: none was sent or all were rejected
	Took time.Duration // time of the last attempt; 0: there was none
}

// Action is one thing for the host to do. Actions are carried out in order.
type Action struct {
	Kind    ActionKind
	Request uint64
	Class   int           // Admit: its index in the newest settings
	After   time.Duration // Reject: when to retry; Wake: time from now
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Admit  ActionKind = iota // let the request go on to the router
	Reject                   // reject it, with the time to retry after
	Wake                     // call Step with a Woken event after the given time
)

// Settings are what the operators configured, and what the controller needs to know of the classes.
type Settings struct {
	Tenants       []Tenant // the first one takes the requests that no rule assigns
	Classes       []Class
	Limiter       LimiterKind
	Tolerance     float64       // multiple of the least latency up to which the limit is not lowered; above 1
	MaxRetryAfter time.Duration // greatest time to retry after; 0: clients are given none
	Bounds        Bounds
}

// Tenant is one of the parties among which the databases are shared.
type Tenant struct {
	Name         string
	Weight       float64 // above 0
	Floor        float64 // requests a second that go before all others; 0: none
	Ceiling      float64 // requests a second beyond which all are rejected; 0: none
	FloorShare   float64 // share of a queue's limit, below which its requests go before all others; 0: none
	CeilingShare float64 // greatest share of a queue's limit that it may use; 0: all
}

// Class is what the controller needs to know of a class of requests.
type Class struct {
	Name    string
	Aim     time.Duration // latency objective: an answer within it earns full value
	Primary bool          // only a group's primary takes it
}

// Bounds bound the memory of a Controller, and its concurrency limits.
type Bounds struct {
	Queue    int // waiting requests, over all queues
	Lanes    int // queues; groups beyond them share one
	Promises int // scheduled retries that are remembered
	LimitMin float64
	LimitMax float64
}

// Reason is why a request was rejected.
type Reason uint8

// The reasons of rejections.
const (
	TooLate  Reason = iota // it could not be admitted in time for its objective
	NoRoom                 // the queue is full and its flow is the heaviest
	Capped                 // its tenant is over its ceiling
	Gone                   // its class is no longer configured
	Overtook               // it waited, and its time ran out
	reasonCount
)

// Count are the controller's counters. Retries that come as scheduled count as Kept if they are admitted, else as
// Broken.
type Count struct {
	Offered, Admitted, Waited, Left int64 // Waited: of the admitted ones
	TooLate, NoRoom, Capped, Gone   int64 // rejections by Reason
	Overtook                        int64
	Promised, Unpromised            int64 // Retry-After times that are remembered, and those that are not
	Early, Kept, Broken             int64 // retries: before their time, admitted, rejected again
}

// rejections returns the counter of a reason.
func (c *Count) rejections(reason Reason) *int64 {
	return [reasonCount]*int64{&c.TooLate, &c.NoRoom, &c.Capped, &c.Gone, &c.Overtook}[reason]
}

// Controller holds the queues. The zero value is not usable. It is used by one goroutine at a time.
type Controller struct {
	Count   Count
	Sojourn *hdrhistogram.Histogram // waiting times of admitted requests that had to wait, in microseconds

	settings     Settings
	now          time.Duration
	rng          *rand.Rand
	seed         uint64 // of the hash that assigns clients to flows
	seededAt     time.Duration
	wakeAt       time.Duration // when the pending Wake is due; 0: none is pending
	entries      []entry
	free         int32 // first of the free entries
	entryOf      map[uint64]int32
	queued       int
	queues       []*fairQueue // by number
	queueNumbers map[queueKey]int
	tenants      []tenantState
	retries      retryTable
	out          []Action
	postponed    []int32 // scratch space of dispatch
}

// tenantState is what is known of a tenant over all queues.
type tenantState struct {
	floor, ceiling   tokenBucket
	admitted, queued int64
	rejected         int64
}

// tokenBucket holds at most the tokens of one second.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill returns the tokens that the bucket holds now, at a rate in tokens a second.
func (b *tokenBucket) refill(rate float64, now time.Duration) float64 {
	most := max(rate, 1)
	b.tokens = min(most, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	return b.tokens
}

// New returns an empty controller. Equal seeds give equal decisions.
func New(s Settings, seed uint64) *Controller {
	c := &Controller{
		rng: rand.New(rand.NewPCG(seed, randomStream)), entryOf: map[uint64]int32{}, queueNumbers: map[queueKey]int{},
		free: none, Sojourn: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), sojournDigits),
	}
	c.seed = c.rng.Uint64()
	c.retries = newRetryTable(s.Bounds.Promises)
	c.settings = s
	c.tenants = make([]tenantState, len(s.Tenants))
	return c
}

// Step takes one batch of events and appends the resulting actions. Ended requests free their places before any request
// is admitted, and all offers of a batch are queued before any is admitted, so that shares are fair after a pause too.
func (c *Controller) Step(now time.Duration, events []Event, out []Action) []Action {
	c.now, c.out = max(now, c.now), out
	if c.seededAt == 0 {
		c.seededAt = c.now
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case Ended:
			c.ended(e.Request, &e.Outcome)
		case Full:
			if at, known := c.entryOf[e.Request]; known && c.entries[at].state == inFlight {
				c.queues[c.entries[at].queue].limiter.overloaded()
			}
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case Retuned: // in its order among the offers: those before it refer to the old settings
			c.retune(*e.Settings)
		case Offered:
			c.offer(e.Request, &e.Offer)
		case Left:
			c.left(e.Request)
		}
	}
	if c.wakeAt > 0 && c.now >= c.wakeAt {
		c.wakeAt = 0
	}
	for _, queue := range c.queues {
		queue.rollWindow(c)
		if c.now-queue.sweptAt >= sweepInterval {
			queue.sweptAt = c.now
			c.rejectOverdue(queue)
		}
		c.dispatch(queue)
	}
	if c.now-c.seededAt >= reseedInterval {
		c.reseed()
	}
	if c.queued > 0 && c.wakeAt == 0 {
		c.wakeAt = c.now + sweepInterval
		c.out = append(c.out, Action{Kind: Wake, After: sweepInterval})
	}
	return c.out
}

// RetryAfter returns when the client of an admitted request that was rejected later on should retry, no sooner than
// least. The retry is scheduled as for the controller's own rejections. It must be called before the request's Ended.
func (c *Controller) RetryAfter(now time.Duration, request uint64, least time.Duration) time.Duration {
	c.now = max(now, c.now)
	at, known := c.entryOf[request]
	// Without contention nothing waits here, so the queue does not tell when there will be capacity.
	if !known || !c.queues[c.entries[at].queue].contested {
		return least
	}
	return c.assignRetryAfter(&c.entries[at], least)
}

// offer queues a request, or rejects it at once.
func (c *Controller) offer(request uint64, o *Offer) {
	c.Count.Offered++
	queue := c.queueFor(o.Group, c.settings.Classes[o.Class].Primary)
	class, stat := &c.settings.Classes[o.Class], &queue.classes[o.Class]
	cost := o.Work.Seconds()
	if cost <= 0 {
		cost = stat.cost(class)
	}
	at := c.allocate()
	e := &c.entries[at]
	*e = entry{
		request: request, state: arriving, queue: queue.number, tenant: int32(o.Tenant), class: int32(o.Class),
		client: o.Client, cost: cost, offered: c.now,
	}
	c.entryOf[request] = at
	// It waits only while it can still be answered within its objective, and for a part of its client's timeout.
	slack := class.Aim - stat.expectedLatency(class, c.settings.Tolerance)
	e.admitBy = c.now + max(0, min(slack, time.Duration(maxWaitShare*float64(o.Expires))))
	t, conf := &c.tenants[o.Tenant], &c.settings.Tenants[o.Tenant]
	if conf.Ceiling > 0 {
		if t.ceiling.refill(conf.Ceiling, c.now) < 1 {
			c.reject(at, Capped)
			return
		}
		t.ceiling.tokens--
	}
	stat.lastOffered = c.now
	if queue.isLong(&c.settings, c.now, o.Class) {
		e.band = long
	} else {
		queue.shortOffered += cost
	}
	sub := queue.subqueue(c, o.Tenant)
	e.flow = sub.flowOf(c, e.client, e.cost, e.band)
	switch c.retries.redeem(c.retryKey(e), c.now) {
	case onTime:
		e.onSchedule = true
	case early: // it is treated as any other request, and its flow is charged
		c.Count.Early++
		sub.charge(e.flow, earlyRetryCharge*e.cost)
	}
	full := c.queued >= c.settings.Bounds.Queue
	if queue.queued >= queue.capacity(e.band) { // it may have to wait
		wait := queue.expectedWait(sub, &sub.flows[e.flow], e.cost)
		if !e.onSchedule && !queue.underFloor(c, o.Tenant) && c.now+wait > e.admitBy {
			c.reject(at, TooLate)
			return
		}
	}
	c.enqueue(queue, sub, at)
	if full {
		c.reject(c.heaviestEntry(), NoRoom)
	}
}

// reject ends an entry with the time to retry after.
func (c *Controller) reject(at int32, why Reason) {
	entry := &c.entries[at]
	*c.Count.rejections(why)++
	c.tenants[entry.tenant].rejected++
	if entry.onSchedule {
		c.Count.Broken++
	}
	if entry.state == queued {
		c.unlink(at)
	}
	var after time.Duration
	switch why {
	case Gone: // a retry would be rejected too
	case Capped:
		conf, t := &c.settings.Tenants[entry.tenant], &c.tenants[entry.tenant]
		// The random part prevents all of them from retrying for the next token.
		wait := (1 - t.ceiling.tokens + conf.Ceiling*c.rng.Float64()/2) / conf.Ceiling
		after = min(time.Duration(wait*float64(time.Second)), c.settings.MaxRetryAfter)
	default:
		after = c.assignRetryAfter(entry, 0)
	}
	c.out = append(c.out, Action{Kind: Reject, Request: entry.request, After: after})
	c.release(at)
}

// admit admits an entry.
func (c *Controller) admit(queue *fairQueue, at int32) {
	entry := &c.entries[at]
	entry.state = inFlight
	queue.inFlight++
	queue.subqueues[entry.tenant].inFlight++
	queue.longInFlight += int(entry.band)
	t := &c.tenants[entry.tenant]
	t.admitted++
	t.floor.tokens = max(0, t.floor.tokens-1)
	c.Count.Admitted++
	if entry.onSchedule {
		c.Count.Kept++
	}
	if c.now > entry.offered {
		c.Count.Waited++
		_ = c.Sojourn.RecordValue(int64((c.now - entry.offered) / time.Microsecond))
	}
	c.out = append(c.out, Action{Kind: Admit, Request: entry.request, Class: int(entry.class)})
}

// ended removes an admitted request, and takes its latency into the statistics.
func (c *Controller) ended(request uint64, o *Outcome) {
	at, known := c.entryOf[request]
	if !known || c.entries[at].state != inFlight {
		return
	}
	entry := &c.entries[at]
	queue := c.queues[entry.queue]
	queue.inFlight--
	queue.subqueues[entry.tenant].inFlight--
	queue.longInFlight -= int(entry.band)
	queue.endedCost += entry.cost
	if o.Ran && entry.class >= 0 {
		queue.ranCost += entry.cost
		if o.Took > 0 {
			queue.classes[entry.class].addSample(o.Took)
		}
	}
	c.release(at)
}

// left removes a request whose client has disconnected.
func (c *Controller) left(request uint64) {
	at, known := c.entryOf[request]
	if !known {
		return
	}
	c.Count.Left++
	if c.entries[at].state == inFlight {
		c.ended(request, &Outcome{})
		return
	}
	c.unlink(at)
	c.release(at)
}

// rejectOverdue rejects the requests of a queue that can no longer be in time.
func (c *Controller) rejectOverdue(queue *fairQueue) {
	c.rejectWhere(queue, func(_ *subqueue, e *entry, _ float64) bool { return c.now > e.admitBy }, Overtook)
}

// rejectLate rejects the requests of a queue that are predicted to be late. When the capacity of the databases has
// fallen while a long queue stands, it prevents the requests at its end from waiting in vain.
func (c *Controller) rejectLate(queue *fairQueue) {
	c.rejectWhere(queue, func(sub *subqueue, e *entry, ahead float64) bool {
		wait := time.Duration(float64(queue.delay(sub, ahead)) / waitMargin)
		return c.now+wait > e.admitBy
	}, TooLate)
}

// rejectWhere rejects the waiting requests of a queue for which the condition holds. The condition is given the cost of
// the requests up to and including each in its flow.
func (c *Controller) rejectWhere(queue *fairQueue, condition func(*subqueue, *entry, float64) bool, why Reason) {
	for t := range queue.subqueues {
		sub := queue.subqueues[t]
		if sub == nil || sub.queued == 0 || why == TooLate && queue.underFloor(c, t) {
			continue
		}
		each := func(at int32) {
			for ahead := 0.0; at != none; {
				e := &c.entries[at]
				next := e.next
				if condition(sub, e, ahead+e.cost) {
					c.reject(at, why)
				} else {
					ahead += e.cost
				}
				at = next
			}
		}
		for i := range sub.flows {
			if sub.flows[i].count > 0 {
				each(sub.flows[i].first)
			}
		}
		if why == Overtook { // scheduled retries are rejected only when it is too late
			each(sub.retries[short].first)
			each(sub.retries[long].first)
		}
	}
}

// reseed assigns clients to flows by a new hash, so that two that share a flow by chance do not share it for long, and
// drops the state of idle tenants.
func (c *Controller) reseed() {
	c.seededAt, c.seed = c.now, c.rng.Uint64()
	for _, queue := range c.queues {
		for t, sub := range queue.subqueues {
			if sub == nil {
				continue
			}
			sub.sketch.halve()
			if sub.queued == 0 && sub.inFlight == 0 && c.now-sub.usedAt > idleTimeout {
				queue.subqueues[t] = nil
			}
		}
	}
}

// retune applies new settings. Tenants and classes keep their state by name. Requests queued for a tenant that is gone
// wait with those of the first one; requests of a class that is gone are rejected.
func (c *Controller) retune(s Settings) {
	tenantTo, classTo := make([]int32, len(c.settings.Tenants)), make([]int32, len(c.settings.Classes))
	tenants := make([]tenantState, len(s.Tenants))
	for i, old := range c.settings.Tenants {
		for j, t := range s.Tenants {
			if t.Name == old.Name {
				tenantTo[i] = int32(j)
			}
		}
	}
	for i, old := range c.settings.Classes {
		classTo[i] = none
		for j, class := range s.Classes {
			if class.Name == old.Name && class.Primary == old.Primary {
				classTo[i] = int32(j)
			}
		}
	}
	// Waiting requests are taken out and queued again, in the order of their arrival.
	var waiting []int32
	for at := range c.entries {
		if c.entries[at].state == queued {
			waiting = append(waiting, int32(at))
		}
	}
	sortNumbers(waiting, func(a, b int32) bool {
		ea, eb := &c.entries[a], &c.entries[b]
		return ea.offered < eb.offered || ea.offered == eb.offered && ea.request < eb.request
	})
	for _, at := range waiting {
		c.unlink(at)
		if class := c.entries[at].class; classTo[class] == none {
			c.entries[at].state = arriving
			c.reject(at, Gone)
		}
	}
	for i, old := range c.settings.Tenants { // after the queued requests have been taken out of the counters
		if to := tenantTo[i]; s.Tenants[to].Name == old.Name {
			tenants[to] = c.tenants[i]
		}
	}
	c.settings, c.tenants = s, tenants
	for _, queue := range c.queues {
		queue.renumber(c, tenantTo, classTo)
	}
	for at := range c.entries {
		e := &c.entries[at]
		if e.state == unused {
			continue
		}
		e.tenant = tenantTo[e.tenant]
		if e.class >= 0 {
			e.class = classTo[e.class]
		}
		if e.state == inFlight {
			c.queues[e.queue].subqueue(c, int(e.tenant)).inFlight++
		}
	}
	for _, at := range waiting {
		if e := &c.entries[at]; e.state == arriving {
			queue := c.queues[e.queue]
			sub := queue.subqueue(c, int(e.tenant))
			e.flow = sub.flowOf(c, e.client, 0, e.band)
			c.enqueue(queue, sub, at)
		}
	}
}
