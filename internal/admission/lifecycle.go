package admission

import "time"

// offer queues an arriving request or rejects it.
func (c *Controller) offer(request uint64, offer *Offer) {
	c.counters.Offered++
	queue := c.queueFor(offer.Group, c.settings.Classes[offer.Class].Primary)
	at := c.newEntry(request, offer, queue)
	if !c.takeCeilingToken(offer.Tenant) {
		c.reject(at, OverCeiling)
		return
	}
	entry := &c.entries[at]
	queue.classes[offer.Class].lastOffered = c.now
	if queue.isLong(&c.settings, c.now, offer.Class) {
		entry.band = long
	} else {
		queue.shortOffered += entry.cost
	}
	sub := queue.subqueue(c, offer.Tenant)
	entry.flow = sub.flowOf(c, entry.client, entry.cost, entry.band)
	switch c.retries.consume(c.retryKey(entry), c.now) {
	case onTime:
		entry.onSchedule = true
	case early: // the retry is treated as any other request, and its flow is charged
		c.counters.RetriesEarly++
		sub.charge(entry.flow, earlyRetryCharge*entry.cost)
	}
	full := c.queued >= c.settings.Bounds.MaxWaiting
	if queue.queued >= queue.capacity(entry.band) { // the request may have to wait
		wait := queue.expectedWait(sub, &sub.flows[entry.flow], entry.cost)
		if !entry.onSchedule && !queue.underFloor(c, offer.Tenant) && c.now+wait > entry.admitBy {
			c.reject(at, TooLate)
			return
		}
	}
	c.enqueue(queue, sub, at)
	if full {
		c.reject(c.heaviestEntry(), QueueFull)
	}
}

// newEntry allocates the entry of an arriving request, with its cost and its deadline of admission.
func (c *Controller) newEntry(request uint64, offer *Offer, queue *fairQueue) int32 {
	class, stat := &c.settings.Classes[offer.Class], &queue.classes[offer.Class]
	cost := offer.Work.Seconds()
	if cost <= 0 {
		cost = stat.cost(class)
	}
	// A request waits only while it can still meet its latency objective, and only for a share of its client's timeout.
	slack := class.LatencyObjective - stat.expectedLatency(class, c.settings.Tolerance)
	longest := max(0, min(slack, time.Duration(maxWaitShare*float64(offer.Expires))))
	at := c.allocate()
	c.entries[at] = entry{
		request: request,
		client:  offer.Client,
		state:   arriving,
		queue:   queue.number,
		tenant:  int32(offer.Tenant),
		class:   int32(offer.Class),
		cost:    cost,
		offered: c.now,
		admitBy: c.now + longest,
	}
	c.entryIndex[request] = at
	return at
}

// takeCeilingToken takes a token for one request from a tenant's ceiling. It returns false if there is none. A tenant
// without a ceiling needs no token.
func (c *Controller) takeCeilingToken(tenant int) bool {
	ceiling, state := c.settings.Tenants[tenant].Ceiling, &c.tenants[tenant]
	if ceiling <= 0 {
		return true
	}
	if state.ceiling.refill(ceiling, c.now) < 1 {
		return false
	}
	state.ceiling.tokens--
	return true
}

// reject rejects the request of an entry, with a time to retry after, and frees the entry.
func (c *Controller) reject(at int32, why Reason) {
	entry := &c.entries[at]
	*c.counters.rejections(why)++
	c.tenants[entry.tenant].rejected++
	if entry.onSchedule {
		c.counters.RetriesRejected++
	}
	if entry.state == queued {
		c.unlink(at)
	}
	var after time.Duration
	switch why {
	case ClassGone: // a retry would be rejected too
	case OverCeiling:
		settings, state := &c.settings.Tenants[entry.tenant], &c.tenants[entry.tenant]
		// The random part prevents all rejected clients from retrying for the next token.
		wait := (1 - state.ceiling.tokens + settings.Ceiling*c.rng.Float64()/2) / settings.Ceiling
		after = min(time.Duration(wait*float64(time.Second)), c.settings.MaxRetryAfter)
	default:
		after = c.assignRetryAfter(entry, 0)
	}
	c.out = append(c.out, Action{Kind: Reject, Request: entry.request, After: after})
	c.release(at)
}

// admit admits the request of an entry that is in no queue, and counts it as in flight.
func (c *Controller) admit(queue *fairQueue, at int32) {
	entry := &c.entries[at]
	entry.state = inFlight
	queue.inFlight++
	queue.subqueues[entry.tenant].inFlight++
	queue.longInFlight += int(entry.band)
	t := &c.tenants[entry.tenant]
	t.admitted++
	t.floor.tokens = max(0, t.floor.tokens-1)
	c.counters.Admitted++
	if entry.onSchedule {
		c.counters.RetriesAdmitted++
	}
	if c.now > entry.offered {
		c.counters.Waited++
		_ = c.Sojourn.RecordValue(int64((c.now - entry.offered) / time.Microsecond))
	}
	c.out = append(c.out, Action{Kind: Admit, Request: entry.request, Class: int(entry.class)})
}

// ended removes an admitted request and adds its latency to the statistics.
func (c *Controller) ended(request uint64, o *Outcome) {
	at, known := c.entryIndex[request]
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
	at, known := c.entryIndex[request]
	if !known {
		return
	}
	c.counters.Left++
	if c.entries[at].state == inFlight {
		c.ended(request, &Outcome{})
		return
	}
	c.unlink(at)
	c.release(at)
}
