package admission

import "time"

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
