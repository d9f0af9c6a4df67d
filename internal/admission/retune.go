package admission

import "slices"

// noClass replaces the index of a class that is no longer configured.
const noClass = none

// applySettings applies new settings. Tenants and classes keep their state by name. Queued requests of a removed tenant
// move to the first tenant; those of a removed class are rejected.
func (c *Controller) applySettings(settings Settings) {
	tenantTo := renumberTenants(c.settings.Tenants, settings.Tenants)
	classTo := renumberClasses(c.settings.Classes, settings.Classes)
	waiting := c.unlinkAll(classTo)
	tenants := make([]tenantState, len(settings.Tenants))
	for i, old := range c.settings.Tenants { // after unlinkAll, which subtracts the queued requests from the counters
		if to := tenantTo[i]; settings.Tenants[to].Name == old.Name {
			tenants[to] = c.tenants[i]
		}
	}
	c.settings, c.tenants = settings, tenants
	for _, queue := range c.queues {
		queue.renumber(c, tenantTo, classTo)
	}
	c.renumberEntries(tenantTo, classTo)
	for _, at := range waiting {
		if entry := &c.entries[at]; entry.state == arriving {
			queue := c.queues[entry.queue]
			sub := queue.subqueue(c, int(entry.tenant))
			entry.flow = sub.flowOf(c, entry.client, 0, entry.band)
			c.enqueue(queue, sub, at)
		}
	}
}

// renumberTenants returns the new index of each old tenant: that of the tenant of the same name, else 0.
func renumberTenants(before, after []Tenant) []int32 {
	to := make([]int32, len(before))
	for i, old := range before {
		for j, tenant := range after {
			if tenant.Name == old.Name {
				to[i] = int32(j)
			}
		}
	}
	return to
}

// renumberClasses returns the new index of each old class, or noClass.
func renumberClasses(before, after []Class) []int32 {
	to := make([]int32, len(before))
	for i, old := range before {
		to[i] = noClass
		for j, class := range after {
			if class.Name == old.Name && class.Primary == old.Primary {
				to[i] = int32(j)
			}
		}
	}
	return to
}

// unlinkAll removes all waiting requests from the queues and rejects those whose class is gone. It returns the indexes
// of all these entries in the order of arrival. Those that were not rejected are in the state arriving.
func (c *Controller) unlinkAll(classTo []int32) []int32 {
	var waiting []int32
	for at := range c.entries {
		if c.entries[at].state == queued {
			waiting = append(waiting, int32(at))
		}
	}
	sortIndexes(waiting, func(a, b int32) bool {
		first, second := &c.entries[a], &c.entries[b]
		return first.offered < second.offered || first.offered == second.offered && first.request < second.request
	})
	for _, at := range waiting {
		c.unlink(at)
		if class := c.entries[at].class; classTo[class] == noClass {
			c.entries[at].state = arriving
			c.reject(at, ClassGone)
		}
	}
	return waiting
}

// renumberEntries sets the new tenant and class indexes of all entries, and counts the entries in flight in the
// subqueues of their tenants.
func (c *Controller) renumberEntries(tenantTo, classTo []int32) {
	for at := range c.entries {
		entry := &c.entries[at]
		if entry.state == unused {
			continue
		}
		entry.tenant = tenantTo[entry.tenant]
		if entry.class >= 0 {
			entry.class = classTo[entry.class]
		}
		if entry.state == inFlight {
			c.queues[entry.queue].subqueue(c, int(entry.tenant)).inFlight++
		}
	}
}

// renumber orders the queue's subqueues and class statistics by the new indexes. No request may wait in the queue.
func (q *fairQueue) renumber(c *Controller, tenantTo, classTo []int32) {
	subqueues, classes := make([]*subqueue, len(c.settings.Tenants)), make([]classStat, len(c.settings.Classes))
	for i, sub := range q.subqueues {
		if to := tenantTo[i]; sub != nil && subqueues[to] == nil {
			sub.inFlight, sub.weight = 0, c.settings.Tenants[to].Weight
			subqueues[to] = sub
		}
	}
	for i, stat := range q.classes {
		if classTo[i] != noClass {
			classes[classTo[i]] = stat
		}
	}
	q.subqueues, q.classes = subqueues, classes
	q.limiter.applySettings(&c.settings)
}

// sortIndexes sorts indexes of entries by a strict order.
func sortIndexes(s []int32, less func(a, b int32) bool) {
	slices.SortFunc(s, func(a, b int32) int {
		if less(a, b) {
			return -1
		}
		return 1
	})
}
