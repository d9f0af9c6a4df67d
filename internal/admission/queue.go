package admission

import (
	"slices"
	"time"
)

// none is the index that refers to nothing.
const none int32 = -1

type state uint8

const (
	unused   state = iota // the entry is free
	arriving              // known, but in no queue
	queued
	inFlight
)

// entry is a request that the controller knows of. Entries are numbered, and linked by their numbers.
type entry struct {
	request       uint64
	client        uint64
	state         state
	onSchedule    bool // it is a retry that came at the time it was given
	queue, flow   int32
	tenant, class int32 // class: none if it is no longer configured
	band          band
	cost          float64
	offered       time.Duration
	admitBy       time.Duration // it is admitted by then, or rejected
	next, prev    int32         // in its flow by admitBy, or among the retries; of a free one, the next free
	newer, older  int32         // in its flow by arrival
}

// allocate returns the number of a free entry.
func (c *Controller) allocate() int32 {
	if c.free == none {
		c.entries = append(c.entries, entry{next: none})
		return int32(len(c.entries) - 1)
	}
	at := c.free
	c.free = c.entries[at].next
	return at
}

// release frees an entry that is in no queue.
func (c *Controller) release(at int32) {
	delete(c.entryOf, c.entries[at].request)
	c.entries[at] = entry{next: c.free}
	c.free = at
}

// flow holds the waiting requests of one client of a tenant, or of the clients with the same hash.
type flow struct {
	start          float64 // start tag of its next request in its tenant's virtual time, while it is active
	finish         float64 // finish tag of its last one
	backlog        float64 // cost of the waiting requests
	count          int32
	first, last    int32 // by admitBy
	oldest, newest int32 // by arrival
	heapIndex      int32 // its place in the heap; none: nothing waits
}

// charge delays a flow's next turn. The delay is bounded, so that no flow is kept from its turns for good.
func (sub *subqueue) charge(flow int32, cost float64) {
	f := &sub.flows[flow]
	if f.heapIndex == none {
		f.finish = min(max(f.finish, sub.virtualTime)+cost, max(f.finish, sub.virtualTime+maxChargeAhead*cost))
		return
	}
	f.start = min(f.start+cost, max(f.start, sub.virtualTime+maxChargeAhead*cost))
	sub.fix(flow)
}

// arrivalList links entries in the order of their arrival.
type arrivalList struct{ first, last int32 }

// subqueue is the part of a fairQueue that belongs to one tenant.
type subqueue struct {
	start, finish float64 // tags as of a flow, in the queue's virtual time
	virtualTime   float64 // of its flows
	weight        float64
	backlog       float64
	queued        int
	inFlight      int
	flows         [bands * (hashedFlows + heavyFlows)]flow
	active        [bands][]int32 // heaps of the flows that have waiting requests
	heaps         [bands]flowHeap
	retries       [bands]arrivalList // the retries that came at the time they were given
	retriesInRow  int                // how many of them were admitted in a row
	heapIndex     int32              // its place in the queue's heap; none: nothing waits
	sketch        sketch
	usedAt        time.Duration
	retriesUntil  time.Duration // up to here its share of the throughput is reserved for scheduled retries
}

// flowOf returns the number of a client's flow: its own if it is one of the heaviest, else the one of its hash.
func (sub *subqueue) flowOf(c *Controller, client uint64, cost float64, b band) int32 {
	sub.usedAt = c.now
	first := int32(b) * (hashedFlows + heavyFlows)
	if own := sub.sketch.add(client, cost); own >= 0 {
		return first + int32(hashedFlows+own)
	}
	return first + int32(hash(client, c.seed)%hashedFlows)
}

// band separates requests by how long they take, compared with how long others in the queue can wait.
type band uint8

const (
	short band = iota
	long
	bands
)

// bandOf returns the band of a flow by its number.
func bandOf(flow int32) band { return band(flow / (hashedFlows + heavyFlows)) }

// enqueue puts an entry in its place in the queue.
func (c *Controller) enqueue(queue *fairQueue, sub *subqueue, at int32) {
	entry := &c.entries[at]
	entry.state = queued
	c.queued++
	c.tenants[entry.tenant].queued++
	queue.queued++
	queue.backlog += entry.cost
	sub.queued++
	sub.backlog += entry.cost
	if sub.heapIndex == none {
		sub.start = max(queue.virtualTime, sub.finish)
		queue.push(entry.tenant)
	}
	if entry.onSchedule {
		retries := &sub.retries[entry.band]
		entry.prev, entry.next = retries.last, none
		if retries.last == none {
			retries.first = at
		} else {
			c.entries[retries.last].next = at
		}
		retries.last = at
		return
	}
	flow := &sub.flows[entry.flow]
	flow.count++
	flow.backlog += entry.cost
	behind := flow.last // most arrive in this order: it is a step or two from the end
	for behind != none && c.entries[behind].admitBy > entry.admitBy {
		behind = c.entries[behind].prev
	}
	entry.prev = behind
	if behind == none {
		entry.next, flow.first = flow.first, at
	} else {
		entry.next, c.entries[behind].next = c.entries[behind].next, at
	}
	if entry.next == none {
		flow.last = at
	} else {
		c.entries[entry.next].prev = at
	}
	entry.older, entry.newer = flow.newest, none
	if flow.newest == none {
		flow.oldest = at
	} else {
		c.entries[flow.newest].newer = at
	}
	flow.newest = at
	if flow.heapIndex == none {
		flow.start = max(sub.virtualTime, flow.finish)
		sub.push(entry.flow)
	}
}

// unlink takes a queued entry out. Its flow and its tenant are not charged.
func (c *Controller) unlink(at int32) {
	entry := &c.entries[at]
	queue := c.queues[entry.queue]
	sub := queue.subqueues[entry.tenant]
	entry.state = arriving
	c.queued--
	c.tenants[entry.tenant].queued--
	queue.queued--
	queue.backlog -= entry.cost
	sub.queued--
	sub.backlog -= entry.cost
	first, last := &sub.retries[entry.band].first, &sub.retries[entry.band].last
	if !entry.onSchedule {
		flow := &sub.flows[entry.flow]
		first, last = &flow.first, &flow.last
		if entry.older == none {
			flow.oldest = entry.newer
		} else {
			c.entries[entry.older].newer = entry.newer
		}
		if entry.newer == none {
			flow.newest = entry.older
		} else {
			c.entries[entry.newer].older = entry.older
		}
		flow.backlog -= entry.cost
		if flow.count--; flow.count == 0 {
			flow.backlog = 0 // drop rounding errors
			sub.remove(entry.flow)
		}
	}
	if entry.prev == none {
		*first = entry.next
	} else {
		c.entries[entry.prev].next = entry.next
	}
	if entry.next == none {
		*last = entry.prev
	} else {
		c.entries[entry.next].prev = entry.prev
	}
	if sub.queued == 0 {
		sub.backlog = 0
		queue.remove(sub)
	}
	if queue.queued == 0 {
		queue.backlog = 0
	}
}

// maxChargeAhead is how many requests' cost a flow may be charged ahead of its tenant's virtual time.
const maxChargeAhead = 8

// maxRetriesInRow is how many scheduled retries in a row may go before the requests of their tenant's other clients.
const maxRetriesInRow = 3

// dequeue takes out the entry whose turn it is in a subqueue, and charges its flow. It returns none if only long
// requests wait there and none of those may be admitted.
func (c *Controller) dequeue(sub *subqueue, longs bool) int32 {
	from := short
	if longs && sub.precedes(long, short) {
		from = long
	}
	if k := sub.retries[from].first; k != none && (len(sub.active[from]) == 0 || sub.retriesInRow < maxRetriesInRow) {
		sub.retriesInRow++
		c.unlink(k)
		sub.charge(c.entries[k].flow, c.entries[k].cost)
		return k
	}
	sub.retriesInRow = 0
	if len(sub.active[from]) == 0 {
		return none
	}
	i := sub.active[from][0]
	f := &sub.flows[i]
	at := f.first
	sub.virtualTime = max(sub.virtualTime, f.start)
	f.finish = f.start + c.entries[at].cost
	f.start = f.finish
	c.unlink(at)
	if f.heapIndex != none {
		sub.fix(i)
	}
	return at
}

// precedes reports whether the next entry of one band has its turn before the next one of the other.
func (sub *subqueue) precedes(a, b band) bool {
	turn := func(b band) (float64, bool) {
		if sub.retries[b].first != none {
			return sub.virtualTime, true
		}
		if len(sub.active[b]) == 0 {
			return 0, false
		}
		return sub.flows[sub.active[b][0]].start, true
	}
	at, waits := turn(a)
	other, others := turn(b)
	return waits && (!others || at < other)
}

// dispatch admits what a queue has capacity for.
func (c *Controller) dispatch(queue *fairQueue) {
	aside := c.postponed[:0] // tenants that have nothing that may be admitted
	for queue.capacity(short) > 0 && len(queue.active) > 0 {
		tenant := queue.nextTenant(c)
		sub := queue.subqueues[tenant]
		conf := &c.settings.Tenants[tenant]
		least := queue.subqueues[queue.active[0]].start
		at := none
		if conf.CeilingShare == 0 || float64(sub.inFlight) < max(1, conf.CeilingShare*queue.limiter.limit()) {
			at = c.dequeue(sub, queue.capacity(long) > 0)
		}
		if at == none {
			aside = append(aside, tenant)
			queue.remove(sub)
			continue
		}
		queue.virtualTime = max(queue.virtualTime, min(sub.start, least))
		sub.finish = sub.start + c.entries[at].cost/sub.weight
		sub.start = sub.finish
		if sub.heapIndex != none {
			queue.fix(sub)
		}
		c.admit(queue, at)
	}
	for _, tenant := range aside {
		queue.push(tenant)
	}
	c.postponed = aside
}

// heaviestEntry returns the newest entry of the heaviest flow of the tenant with the largest backlog for its weight.
func (c *Controller) heaviestEntry() int32 {
	var most *subqueue
	for _, queue := range c.queues {
		for _, t := range queue.active {
			if sub := queue.subqueues[t]; most == nil || sub.backlog/sub.weight > most.backlog/most.weight {
				most = sub
			}
		}
	}
	var heaviest *flow
	for i := range most.flows {
		candidate := &most.flows[i]
		if candidate.count > 0 && (heaviest == nil || candidate.backlog > heaviest.backlog) {
			heaviest = candidate
		}
	}
	if heaviest == nil {
		return max(most.retries[short].last, most.retries[long].last)
	}
	return heaviest.newest
}

// sortNumbers sorts entry numbers by a strict order.
func sortNumbers(s []int32, less func(a, b int32) bool) {
	slices.SortFunc(s, func(a, b int32) int {
		if less(a, b) {
			return -1
		}
		return 1
	})
}
