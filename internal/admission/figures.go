package admission

import "slices"

// Reason is the reason for a rejection.
type Reason uint8

// The reasons for rejections.
const (
	TooLate     Reason = iota // the request is predicted to be admitted too late for its latency objective
	QueueFull                 // the queues are full, and the request is in the heaviest flow
	OverCeiling               // the tenant has reached its ceiling
	ClassGone                 // the class is no longer configured
	Expired                   // the deadline of admission passed while the request waited
	reasonCount
)

// Counters count requests since the controller was made. Their JSON names are a contract with readers of the log.
type Counters struct {
	Offered  int64
	Admitted int64
	Waited   int64 // of the admitted requests, those that had to wait
	Left     int64 // requests whose client disconnected

	// Rejections, by Reason.
	TooLate     int64
	QueueFull   int64 `json:"NoRoom"`
	OverCeiling int64 `json:"Capped"`
	ClassGone   int64 `json:"Gone"`
	Expired     int64 `json:"Overtook"`

	RetriesScheduled   int64 `json:"Promised"`   // rejections whose retry was scheduled
	RetriesUnscheduled int64 `json:"Unpromised"` // rejections whose retry was not scheduled
	RetriesEarly       int64 `json:"Early"`      // scheduled retries that arrived too early
	RetriesAdmitted    int64 `json:"Kept"`       // scheduled retries that arrived on time and were admitted
	RetriesRejected    int64 `json:"Broken"`     // scheduled retries that arrived on time and were rejected again
}

// rejections returns the counter of the rejections for a reason.
func (c *Counters) rejections(reason Reason) *int64 {
	return [reasonCount]*int64{&c.TooLate, &c.QueueFull, &c.OverCeiling, &c.ClassGone, &c.Expired}[reason]
}

// Counters returns a snapshot of the controller's counters.
func (c *Controller) Counters() Counters { return c.counters }

// TenantFigures are the figures of a tenant for operators.
type TenantFigures struct {
	Name             string
	Queued, Admitted int64 // requests that wait now; requests admitted so far
	Rejected         int64 `json:"Refused"` // requests rejected so far
	InFlight         int   `json:"Inside"`  // requests in flight
}

// Tenants returns the figures of all tenants, ordered by their numbers of requests, the largest first.
func (c *Controller) Tenants() []TenantFigures {
	all := make([]TenantFigures, len(c.tenants))
	for i, t := range c.tenants {
		name := c.settings.Tenants[i].Name
		all[i] = TenantFigures{Name: name, Queued: t.queued, Admitted: t.admitted, Rejected: t.rejected}
		for _, q := range c.queues {
			if sub := q.subqueues[i]; sub != nil {
				all[i].InFlight += sub.inFlight
			}
		}
	}
	slices.SortStableFunc(all, func(a, b TenantFigures) int {
		return int(b.Admitted + b.Rejected + b.Queued - a.Admitted - a.Rejected - a.Queued)
	})
	return all
}

// QueueFigures are the figures of a queue for operators.
type QueueFigures struct {
	Group    int
	Primary  bool
	Limit    float64 // concurrency limit
	InFlight int     `json:"Inside"` // requests in flight
	Queued   int     // requests that wait
}

// Queues returns the figures of all queues, ordered by group. The primary's queue is the first of a group.
func (c *Controller) Queues() []QueueFigures {
	all := make([]QueueFigures, 0, len(c.queues))
	for key, i := range c.queueNumbers {
		q := c.queues[i]
		all = append(all, QueueFigures{key.group, key.primary, q.limiter.limit(), q.inFlight, q.queued})
	}
	slices.SortFunc(all, func(a, b QueueFigures) int {
		if a.Group != b.Group {
			return a.Group - b.Group
		}
		if a.Primary {
			return -1
		}
		return 1
	})
	return all
}

// Queued returns the number of waiting requests, over all queues.
func (c *Controller) Queued() int { return c.queued }
