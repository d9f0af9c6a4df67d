package admission

// maxRetriesInRow is how many scheduled retries in a row may go before the requests of their tenant's other clients.
const maxRetriesInRow = 3

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
