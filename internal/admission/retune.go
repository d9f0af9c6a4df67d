package admission

import "slices"

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

// renumber moves the queue to new numbers of tenants and classes. No request may be waiting in it.
func (q *fairQueue) renumber(c *Controller, tenantTo, classTo []int32) {
	pairs, classes := make([]*subqueue, len(c.settings.Tenants)), make([]classStat, len(c.settings.Classes))
	for i, sub := range q.subqueues {
		if to := tenantTo[i]; sub != nil && pairs[to] == nil {
			sub.inFlight, sub.weight = 0, c.settings.Tenants[to].Weight
			pairs[to] = sub
		}
	}
	for i, stat := range q.classes {
		if classTo[i] != none {
			classes[classTo[i]] = stat
		}
	}
	q.subqueues, q.classes = pairs, classes
	q.limiter.retune(&c.settings)
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
