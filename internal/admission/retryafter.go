package admission

import "time"

// Parameters of scheduled retries.
const (
	scheduledShare    = 0.7                   // maximum share of a tenant's throughput for scheduled retries
	tableWays         = 4                     // slots of the table that a key may use
	earlyTolerance    = 25 * time.Millisecond // a retry is on time from this long before it is due
	lateTolerance     = time.Second           // a retry is on time until this long after it is due
	minRetryAfter     = 10 * time.Millisecond // minimum time to retry after
	unscheduledJitter = 0.25                  // maximum random reduction of an unscheduled time, as a share of it
)

// retryTable is a set-associative table, of fixed size, of the retries for which clients were given a time. If pending
// retries use all slots of a key, no further retry of the key is scheduled.
type retryTable struct{ table []scheduledRetry }

// scheduledRetry is one slot of a retryTable.
type scheduledRetry struct {
	key uint64
	due time.Duration // 0: free
}

// newRetryTable returns a table for about size retries, at least tableWays.
func newRetryTable(size int) retryTable {
	return retryTable{make([]scheduledRetry, max(tableWays, size/tableWays*tableWays))}
}

// retryKey returns the key of an entry's scheduled retry: a hash of client, queue, tenant and class.
func (c *Controller) retryKey(e *entry) uint64 {
	return max(1, hash(e.client, uint64(e.queue)<<40|uint64(e.tenant)<<20|uint64(e.class)))
}

// slots returns the slots that a key may use.
func (t *retryTable) slots(key uint64) []scheduledRetry {
	at := key % uint64(len(t.table)/tableWays) * tableWays
	return t.table[at : at+tableWays]
}

// schedule stores a retry. It returns false if no slot of the key is free.
func (t *retryTable) schedule(key uint64, due, now time.Duration) bool {
	set := t.slots(key)
	for i := range set {
		if set[i].due == 0 || now > set[i].due+lateTolerance {
			set[i] = scheduledRetry{key, due}
			return true
		}
	}
	return false
}

// arrival classifies an arriving request by the scheduled retries.
type arrival uint8

const (
	unscheduled arrival = iota // no retry is scheduled for its key
	onTime
	early
)

// consume classifies an arriving request by its key. If retries are scheduled for the key, consume frees the slot of
// the one that is due first, whether the request is on time or early. Overdue retries are ignored.
func (t *retryTable) consume(key uint64, now time.Duration) arrival {
	set := t.slots(key)
	var first *scheduledRetry
	for i := range set {
		retry := &set[i]
		valid := retry.key == key && retry.due > 0 && now <= retry.due+lateTolerance
		if valid && (first == nil || retry.due < first.due) {
			first = retry
		}
	}
	if first == nil {
		return unscheduled
	}
	due := first.due
	*first = scheduledRetry{}
	if now < due-earlyTolerance {
		return early
	}
	return onTime
}

// assignRetryAfter returns after how long the client of an entry should retry, and schedules the retry. The retry is
// due after the waiting requests of the tenant and the tenant's retries that are already scheduled. Only scheduledShare
// of the recent throughput is reserved for scheduled retries. A retry due beyond MaxRetryAfter is not scheduled: the
// client is given about MaxRetryAfter.
func (c *Controller) assignRetryAfter(entry *entry, minimum time.Duration) time.Duration {
	if c.settings.MaxRetryAfter <= 0 { // rejected clients get no time
		c.counters.RetriesUnscheduled++
		return 0
	}
	queue := c.queues[entry.queue]
	sub := queue.subqueue(c, int(entry.tenant))
	weight := queue.activeWeight
	if sub.heapIndex == none {
		weight += sub.weight
	}
	rate := queue.ranRate
	if rate <= 0 {
		rate = queue.throughput()
	}
	seconds := entry.cost * weight / sub.weight / (scheduledShare * rate)
	interval := time.Duration(min(maxDelaySeconds, seconds) * float64(time.Second))
	flows := max(1, len(sub.active[short])+len(sub.active[long]))
	due := max(sub.reservedUntil, c.now+queue.delay(sub, sub.backlog/float64(flows)+entry.cost))
	due += time.Duration(c.rng.Float64() * float64(interval))
	after := max(due-c.now, minRetryAfter, minimum)
	beyondMax := after > c.settings.MaxRetryAfter
	if beyondMax || entry.class < 0 || !c.retries.schedule(c.retryKey(entry), c.now+after, c.now) {
		c.counters.RetriesUnscheduled++
		after = min(after, c.settings.MaxRetryAfter)
		return after - time.Duration(unscheduledJitter*c.rng.Float64()*float64(after))
	}
	c.counters.RetriesScheduled++
	sub.reservedUntil = max(sub.reservedUntil, due) + interval
	return after
}
