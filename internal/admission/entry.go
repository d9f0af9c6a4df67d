package admission

import "time"

// none is the index of no entry, flow or heap position.
const none int32 = -1

type state uint8

const (
	unused   state = iota // the entry is free
	arriving              // in no queue yet, or removed from it
	queued
	inFlight
)

// entry is a request of the controller. Entries are linked by their indexes in Controller.entries.
type entry struct {
	request       uint64
	client        uint64
	state         state
	onSchedule    bool // the request is a scheduled retry that arrived on time
	queue, flow   int32
	tenant, class int32 // class: noClass if it is no longer configured
	band          band
	cost          float64 // seconds of work
	offered       time.Duration
	admitBy       time.Duration // deadline of admission: the request is rejected after it
	next, prev    int32         // neighbors in the flow by admitBy, or in the list of retries; next links free entries
	newer, older  int32         // neighbors in the flow by arrival
}

// allocate returns the index of a free entry.
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
	delete(c.entryIndex, c.entries[at].request)
	c.entries[at] = entry{next: c.free}
	c.free = at
}

// enqueue adds an entry to its queue: to the list of retries if the entry is on schedule, else to its flow.
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
	previous := flow.last // most entries arrive in the order of admitBy: the search from the end is short
	for previous != none && c.entries[previous].admitBy > entry.admitBy {
		previous = c.entries[previous].prev
	}
	entry.prev = previous
	if previous == none {
		entry.next, flow.first = flow.first, at
	} else {
		entry.next, c.entries[previous].next = c.entries[previous].next, at
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

// unlink removes an entry from its queue. It charges neither the flow nor the tenant.
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
