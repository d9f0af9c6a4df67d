package admission

// maxConsecutiveRetries is how many scheduled retries of a tenant may be admitted in a row while its other requests
// wait.
const maxConsecutiveRetries = 3

// dispatch admits waiting requests of a queue while it has capacity.
func (c *Controller) dispatch(queue *fairQueue) {
	postponed := c.postponed[:0] // tenants whose waiting requests may not be admitted now
	for queue.capacity(short) > 0 && len(queue.active) > 0 {
		tenant := queue.nextTenant(c)
		sub := queue.subqueues[tenant]
		settings := &c.settings.Tenants[tenant]
		minStart := queue.subqueues[queue.active[0]].start
		at := none
		if settings.CeilingShare == 0 || float64(sub.inFlight) < max(1, settings.CeilingShare*queue.limiter.limit()) {
			at = c.dequeue(sub, queue.capacity(long) > 0)
		}
		if at == none {
			postponed = append(postponed, tenant)
			queue.remove(sub)
			continue
		}
		queue.virtualTime = max(queue.virtualTime, min(sub.start, minStart))
		sub.finish = sub.start + c.entries[at].cost/sub.weight
		sub.start = sub.finish
		if sub.heapIndex != none {
			queue.fix(sub)
		}
		c.admit(queue, at)
	}
	for _, tenant := range postponed {
		queue.push(tenant)
	}
	c.postponed = postponed
}

// dequeue removes the next entry of a subqueue, charges its flow and returns its index. It returns none if only long
// requests wait in the subqueue and allowLong is false.
func (c *Controller) dequeue(sub *subqueue, allowLong bool) int32 {
	from := short
	if allowLong && sub.precedes(long, short) {
		from = long
	}
	if retry := sub.retries[from].first; retry != none &&
		(len(sub.active[from]) == 0 || sub.consecutiveRetries < maxConsecutiveRetries) {
		sub.consecutiveRetries++
		c.unlink(retry)
		sub.charge(c.entries[retry].flow, c.entries[retry].cost)
		return retry
	}
	sub.consecutiveRetries = 0
	if len(sub.active[from]) == 0 {
		return none
	}
	number := sub.active[from][0]
	f := &sub.flows[number]
	at := f.first
	sub.virtualTime = max(sub.virtualTime, f.start)
	f.finish = f.start + c.entries[at].cost
	f.start = f.finish
	c.unlink(at)
	if f.heapIndex != none {
		sub.fix(number)
	}
	return at
}

// precedes reports whether the next entry of band a has an earlier start tag than the next entry of band b.
func (sub *subqueue) precedes(a, b band) bool {
	nextStart := func(b band) (float64, bool) {
		if sub.retries[b].first != none {
			return sub.virtualTime, true
		}
		if len(sub.active[b]) == 0 {
			return 0, false
		}
		return sub.flows[sub.active[b][0]].start, true
	}
	startA, waitingA := nextStart(a)
	startB, waitingB := nextStart(b)
	return waitingA && (!waitingB || startA < startB)
}
