package admission

import "time"

// rejectOverdue rejects the requests of a queue whose deadline of admission has passed.
func (c *Controller) rejectOverdue(queue *fairQueue) {
	c.rejectWhere(queue, func(_ *subqueue, e *entry, _ float64) bool { return c.now > e.admitBy }, Expired)
}

// rejectLate rejects the requests of a queue that are predicted to miss their deadline of admission. When the capacity
// of the databases falls while the queue is long, requests at its end are rejected early instead of waiting in vain.
func (c *Controller) rejectLate(queue *fairQueue) {
	c.rejectWhere(queue, func(sub *subqueue, e *entry, ahead float64) bool {
		wait := time.Duration(float64(queue.delay(sub, ahead)) / waitMargin)
		return c.now+wait > e.admitBy
	}, TooLate)
}

// rejectWhere rejects the waiting requests of a queue for which the condition is true. The condition receives the cost
// of the requests of the flow up to and including the entry.
func (c *Controller) rejectWhere(queue *fairQueue, condition func(*subqueue, *entry, float64) bool, why Reason) {
	for t := range queue.subqueues {
		sub := queue.subqueues[t]
		if sub == nil || sub.queued == 0 || why == TooLate && queue.underFloor(c, t) {
			continue
		}
		rejectList := func(at int32) {
			for ahead := 0.0; at != none; {
				e := &c.entries[at]
				next := e.next
				if condition(sub, e, ahead+e.cost) {
					c.reject(at, why)
				} else {
					ahead += e.cost
				}
				at = next
			}
		}
		for i := range sub.flows {
			if sub.flows[i].count > 0 {
				rejectList(sub.flows[i].first)
			}
		}
		if why == Expired { // scheduled retries are rejected only when their deadline has passed
			rejectList(sub.retries[short].first)
			rejectList(sub.retries[long].first)
		}
	}
}

// heaviestEntry returns the newest entry of the heaviest flow of the tenant whose backlog is the largest relative to
// its weight. If only scheduled retries of the tenant wait, it returns one of these.
func (c *Controller) heaviestEntry() int32 {
	var loaded *subqueue
	for _, queue := range c.queues {
		for _, t := range queue.active {
			if sub := queue.subqueues[t]; loaded == nil || sub.backlog/sub.weight > loaded.backlog/loaded.weight {
				loaded = sub
			}
		}
	}
	var heaviest *flow
	for i := range loaded.flows {
		candidate := &loaded.flows[i]
		if candidate.count > 0 && (heaviest == nil || candidate.backlog > heaviest.backlog) {
			heaviest = candidate
		}
	}
	if heaviest == nil {
		return max(loaded.retries[short].last, loaded.retries[long].last)
	}
	return heaviest.newest
}
