package admission

import (
	"math"
	"time"
)

// queueKey identifies the databases of a queue: the primary of a group, or its replicas.
type queueKey struct {
	group   int
	primary bool
}

// fairQueue holds the waiting requests for the same databases, and counts those in flight.
type fairQueue struct {
	number       int32
	virtualTime  float64     // start tag of the last admitted request
	subqueues    []*subqueue // by tenant; nil: no recent requests
	active       []int32     // heap of the tenants that have waiting requests
	activeWeight float64     // sum of the weights of the active tenants
	queued       int
	inFlight     int
	backlog      float64 // cost of the waiting requests
	limiter      limiter
	classes      []classStat
	contested    bool    // tenants or clients compete: one may delay another
	longInFlight int     // long requests in flight
	shortOffered float64 // cost of the short requests offered in the window
	shortLoad    float64 // moving average of shortOffered, in seconds of work a second
	sweptAt      time.Duration

	windowStart        time.Duration // start of the measurement window
	endedCost, ranCost float64       // cost of all requests that ended in the window, and of those that a database ran
	limitReached       bool          // the limit has been reached since the last update of the limiter
	endedRate          float64       // moving average of endedCost a second, while the limit is reached
	ranRate            float64       // moving average of ranCost a second, while the limit is reached
}

// queueFor returns the queue of a group's primary or replicas. Groups beyond Bounds.MaxQueues share the existing queues
// by their hash.
func (c *Controller) queueFor(group int, primary bool) *fairQueue {
	key := queueKey{group, primary}
	i, known := c.queueNumbers[key]
	if !known {
		if i = len(c.queues); i >= c.settings.Bounds.MaxQueues {
			h := hash(uint64(group)*2, 0)
			if primary {
				h = hash(uint64(group)*2+1, 0)
			}
			return c.queues[h%uint64(len(c.queues))]
		}
		c.queueNumbers[key] = i
		c.queues = append(c.queues, &fairQueue{
			number:      int32(i),
			subqueues:   make([]*subqueue, len(c.settings.Tenants)),
			classes:     make([]classStat, len(c.settings.Classes)),
			windowStart: c.now,
			limiter:     newLimiter(&c.settings),
			contested:   true,
		})
	}
	return c.queues[i]
}

// subqueue returns the subqueue of a tenant, and creates it if necessary.
func (q *fairQueue) subqueue(c *Controller, tenant int) *subqueue {
	sub := q.subqueues[tenant]
	if sub == nil {
		sub = &subqueue{
			heapIndex: none,
			retries:   [bands]arrivalList{{none, none}, {none, none}},
			finish:    q.virtualTime,
			weight:    c.settings.Tenants[tenant].Weight,
			usedAt:    c.now,
		}
		sub.heaps = [bands]flowHeap{{sub, short}, {sub, long}}
		for i := range sub.flows {
			sub.flows[i] = flow{first: none, last: none, oldest: none, newest: none, heapIndex: none}
		}
		q.subqueues[tenant] = sub
	}
	return sub
}

// nextTenant returns the tenant to serve next: an active tenant under its floor, else the one with the least start tag.
func (q *fairQueue) nextTenant(c *Controller) int32 {
	for i := range c.settings.Tenants {
		if q.subqueues[i] != nil && q.subqueues[i].heapIndex != none && q.underFloor(c, i) {
			return int32(i)
		}
	}
	return q.active[0]
}

// underFloor reports whether a tenant is under one of its floors.
func (q *fairQueue) underFloor(c *Controller, i int) bool {
	t := &c.settings.Tenants[i]
	present := float64(q.subqueues[i].inFlight + q.subqueues[i].queued)
	return t.FloorShare > 0 && present < t.FloorShare*q.limiter.limit() ||
		t.Floor > 0 && c.tenants[i].floor.refill(t.Floor, c.now) >= 1
}

// isLong reports whether a request of a class takes longer than a request of another active class may wait. If such
// requests used the whole limit, requests of the other class would be late before the first of them ended.
func (q *fairQueue) isLong(settings *Settings, now time.Duration, classNumber int) bool {
	cost := q.classes[classNumber].cost(&settings.Classes[classNumber])
	for i := range q.classes {
		stat, class := &q.classes[i], &settings.Classes[i]
		if i == classNumber || stat.lastOffered <= 0 || now-stat.lastOffered >= classActiveTime {
			continue
		}
		if cost > (class.LatencyObjective - stat.expectedLatency(class, settings.Tolerance)).Seconds() {
			return true
		}
	}
	return false
}

// limit returns how many requests may be in flight. Without contention between tenants or clients this is the maximum:
// the router sheds load by itself.
func (q *fairQueue) limit() float64 {
	if !q.contested {
		return q.limiter.maximum
	}
	return q.limiter.limit()
}

// updateContention updates contested: whether several tenants are active, or a client has a large share of its tenant's
// work.
func (q *fairQueue) updateContention(c *Controller) {
	tenants := 0
	q.contested = false
	for _, sub := range q.subqueues {
		if sub == nil || c.now-sub.usedAt > contentionWindow && sub.queued == 0 {
			continue
		}
		tenants++
		q.contested = q.contested || tenants > 1 || sub.sketch.heaviestShare() > heavyClientShare
	}
}

// shortReserve returns how many places are reserved for short requests: their mean load and a multiple of its square
// root (square-root staffing), at most half of the limit.
func (q *fairQueue) shortReserve() int {
	if q.shortLoad < minShortLoad {
		return 0
	}
	return int(math.Ceil(min(q.limit()/2, q.shortLoad+staffingFactor*math.Sqrt(q.shortLoad))))
}

// capacity returns how many more requests of a band may be admitted. The reserve of short requests also applies while
// the limit is below the number in flight: the number of long requests is reduced first.
func (q *fairQueue) capacity(b band) int {
	limit, reserve := int(q.limit()), q.shortReserve()
	if b == long {
		return min(limit-q.inFlight, max(1, limit-reserve)-q.longInFlight)
	}
	return max(limit-q.inFlight, reserve-(q.inFlight-q.longInFlight))
}

// throughput returns the cost a second that the databases complete. Until the limit has been reached for the first
// time, the limit is the estimate: each request in flight does a second of work in a second.
func (q *fairQueue) throughput() float64 {
	if q.endedRate > 0 {
		return q.endedRate
	}
	return q.limiter.limit()
}

// delay predicts how long it takes to admit the given cost of one flow of a tenant while all other active flows get
// their shares. It is at most the time that the whole backlog takes.
func (q *fairQueue) delay(sub *subqueue, cost float64) time.Duration {
	weight, flows := q.activeWeight, len(sub.active[short])+len(sub.active[long])
	if sub.heapIndex == none {
		weight += sub.weight
	}
	tenantCost := min(cost*float64(max(flows, 1)), max(sub.backlog, cost))
	seconds := min(tenantCost*weight/sub.weight, max(q.backlog, cost)) / q.throughput()
	return time.Duration(min(seconds, maxDelaySeconds) * float64(time.Second))
}

// expectedWait predicts how long one more request of the given cost would wait in a flow.
func (q *fairQueue) expectedWait(sub *subqueue, f *flow, cost float64) time.Duration {
	q.backlog += cost // as if it were queued
	sub.backlog += cost
	wait := q.delay(sub, f.backlog+cost)
	q.backlog -= cost
	sub.backlog -= cost
	return wait
}

// rollWindow ends the window if it is long enough, and updates the rates and the limit.
func (q *fairQueue) rollWindow(controller *Controller) {
	q.limitReached = q.limitReached || q.queued > 0 || float64(q.inFlight) >= q.limiter.limit()-1
	elapsed := controller.now - q.windowStart
	if elapsed < minWindow {
		return
	}
	q.updateContention(controller)
	seconds := elapsed.Seconds()
	updateMean(&q.shortLoad, q.shortOffered/seconds, 1-math.Exp(-seconds/rateTimeConstant.Seconds()))
	q.shortOffered = 0
	if q.limitReached {
		weight := 1 - math.Exp(-seconds/rateTimeConstant.Seconds())
		updateMean(&q.endedRate, q.endedCost/seconds, weight)
		updateMean(&q.ranRate, q.ranCost/seconds, weight)
	}
	q.endedCost, q.ranCost, q.windowStart = 0, 0, controller.now
	if q.limiter.update(controller.now, q.limitReached, q.classes) {
		q.limitReached = false
	}
	if q.queued > 0 {
		controller.rejectLate(q)
	}
}

// updateMean adds a value to an exponentially weighted moving average. The first value, to a mean of 0, replaces the
// mean.
func updateMean(mean *float64, value, weight float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += weight * (value - *mean)
}
