// Package admission is the pooler's admission control. It decides which incoming requests are passed to the router, and
// when. It enforces fair shares of the databases among tenants, and among the clients of each tenant. A rejected
// request gets a time to retry after.
//
// A Controller receives events through Step. It has no clock, goroutine or I/O: equal calls give equal actions. Each
// offered request has exactly one of three results: it is admitted and its host later reports its end, it is rejected,
// or its client leaves. While the databases have capacity no request waits: each is admitted in the Step that offers
// it.
//
// Each group has two queues, one for its primary and one for its replicas: requests for the primary
// must not wait for the replicas, nor the reverse. Within a queue, tenants are scheduled by start-time fair queuing
// (Goyal, Vin, Cheng 1996). An admitted request charges its cost, in seconds of work, to its tenant. The clients of a
// tenant are scheduled in the same way. A concurrency limit, which follows the latency, bounds the number of a queue's
// requests in flight (limiter.go).
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of queues, flows and shedding.
const (
	sweepInterval    = 10 * time.Millisecond  // period of the search for overdue requests
	minWindow        = 100 * time.Millisecond // minimum measurement window of the limiter and the rates
	maxWindow        = time.Second            // the limiter is updated after this time even if there are few samples
	reseedInterval   = 5 * time.Second        // period of new hashes for clients and of halving their costs
	idleTimeout      = time.Minute            // an idle tenant's state in a queue is dropped after this time
	hashedFlows      = 32                     // flows of a tenant, per queue and band, that clients share by hash
	heavyFlows       = 16                     // dedicated flows, per queue and band, for a tenant's heaviest clients
	defaultCostShare = 0.2                    // cost of a class without samples, as a share of its latency objective
	maxWaitShare     = 0.5                    // maximum wait, as a share of the client's timeout
	waitMargin       = 1.25                   // predicted waits are divided by it before queued requests are rejected
	earlyRetryCharge = 1.0                    // charge for an early retry, as a multiple of the request's cost
	contentionWindow = time.Second            // a tenant with requests in this time may compete with others
	heavyClientShare = 0.25                   // share of a tenant's work above which a client may starve the others
	minShortLoad     = 0.01                   // load of short requests below which no places are reserved for them
	staffingFactor   = 2.0                    // standard deviations of the short load that are reserved beyond its mean
	classActiveTime  = 5 * time.Second        // a class without requests for this time is not active
	rateTimeConstant = time.Second            // time constant of the moving averages of rates
	randomStream     = 0x646f6f72             // second half of the random generator's seed
	maxDelaySeconds  = 3600                   // upper bound of predicted delays, in seconds
	sojournDigits    = 2                      // significant digits of the sojourn histogram
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Offered         Kind = iota // a request has arrived
	Ended                       // an admitted request has ended
	Disconnected                // the client of a waiting or admitted request has disconnected
	Overloaded                  // an attempt of an admitted request was rejected because the databases are overloaded
	SettingsChanged             // the settings have changed; queued requests stay, unless their class was removed
	Woken                       // the time of a Wake action has elapsed
)

// Event is an input of Step. The Kind determines which other fields are set.
type Event struct {
	Kind     Kind
	Request  uint64    // number of the request; unused by SettingsChanged and Woken
	Offer    Offer     // Offered: the arriving request
	Outcome  Outcome   // Ended: the result of the request
	Settings *Settings // SettingsChanged: the new settings, which the caller must not change afterwards
}

// Offer describes an arriving request.
type Offer struct {
	Tenant  int // index in Settings.Tenants
	Class   int // index in Settings.Classes
	Group   int
	Client  uint64        // identifies the client within its tenant
	Work    time.Duration // expected work; 0: the estimate of its class
	Expires time.Duration // time from now until the client gives up
}

// Outcome is the result of an admitted request.
type Outcome struct {
	Ran  bool          // a database ran it, whatever the result; false: no attempt was sent, or all were rejected
	Took time.Duration // duration of the last attempt; 0: there was none
}

// Action is an instruction to the host, which carries out actions in order.
type Action struct {
	Kind    ActionKind
	Request uint64
	Class   int           // Admit: index of the request's class in the newest settings
	After   time.Duration // Reject: time to retry after, 0 for none; Wake: time from now
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Admit  ActionKind = iota // pass the request to the router
	Reject                   // reject the request, with After as the time to retry after
	Wake                     // call Step with a Woken event when After has elapsed
)

// Controller is the admission controller of a pooler. The zero value is not usable; New makes one. It is not safe for
// concurrent use.
type Controller struct {
	Sojourn *hdrhistogram.Histogram // waiting times of admitted requests that had to wait, in microseconds

	counters     Counters
	settings     Settings
	now          time.Duration
	rng          *rand.Rand
	seed         uint64 // seed of the hash that assigns clients to flows
	seededAt     time.Duration
	wakeAt       time.Duration // when the pending Wake is due; 0: none is pending
	entries      []entry
	free         int32            // index of the first free entry
	entryIndex   map[uint64]int32 // indexes in entries, by request
	queued       int              // waiting requests, over all queues
	queues       []*fairQueue     // by number
	queueNumbers map[queueKey]int
	tenants      []tenantState
	retries      retryTable
	out          []Action // actions of the current Step
	postponed    []int32  // scratch space of dispatch
}

// tenantState is the state of a tenant over all queues.
type tenantState struct {
	floor, ceiling   tokenBucket
	admitted, queued int64
	rejected         int64
}

// New returns a controller without requests. Equal seeds give equal decisions.
func New(s Settings, seed uint64) *Controller {
	c := &Controller{
		rng: rand.New(rand.NewPCG(seed, randomStream)), entryIndex: map[uint64]int32{},
		queueNumbers: map[queueKey]int{}, free: none,
		Sojourn: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), sojournDigits),
	}
	c.seed = c.rng.Uint64()
	c.retries = newRetryTable(s.Bounds.MaxRetries)
	c.settings = s
	c.tenants = make([]tenantState, len(s.Tenants))
	return c
}

// Step processes a batch of events and returns out with the resulting actions appended. The time now is monotonic, with
// any origin. Before any request is admitted, the ended requests of the batch free their places and all its offers are
// queued: shares stay fair when a pause of the process has delayed events.
func (c *Controller) Step(now time.Duration, events []Event, out []Action) []Action {
	c.now, c.out = max(now, c.now), out
	if c.seededAt == 0 {
		c.seededAt = c.now
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case Ended:
			c.ended(e.Request, &e.Outcome)
		case Overloaded:
			if at, known := c.entryIndex[e.Request]; known && c.entries[at].state == inFlight {
				c.queues[c.entries[at].queue].limiter.overloaded()
			}
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case SettingsChanged: // processed in order with the offers: earlier offers refer to the old settings
			c.applySettings(*e.Settings)
		case Offered:
			c.offer(e.Request, &e.Offer)
		case Disconnected:
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

// RetryAfter returns the time after which the client of an admitted request should retry if the router rejects it.
// The retry is scheduled like those of the controller's own rejections, no sooner than minimum. RetryAfter must be
// called before the Ended event of the request.
func (c *Controller) RetryAfter(now time.Duration, request uint64, minimum time.Duration) time.Duration {
	c.now = max(now, c.now)
	at, known := c.entryIndex[request]
	// Without contention no request waits in the queue, and its backlog does not show when there will be capacity.
	if !known || !c.queues[c.entries[at].queue].contested {
		return minimum
	}
	return c.assignRetryAfter(&c.entries[at], minimum)
}

// reseed assigns clients to flows by a new hash, halves their recorded costs and drops the state of idle tenants. The
// new hash separates clients that share a flow by chance.
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
