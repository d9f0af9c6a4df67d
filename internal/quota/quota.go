// Package quota limits the request rates of tenants. It is pure: callers pass in the time, and it does no I/O.
package quota

import "time"

// burst is the time for which a tenant accumulates unused quota: one second, since quotas are in requests per second.
const burst = time.Second

// Quotas has a token bucket for each tenant, filled at this router's share of the tenant's quota. The zero value has no
// tenants and limits nothing.
type Quotas struct {
	perSecond []float64
	tokens    []float64
	filledAt  time.Duration // time of the last fill
}

// Set sets the quotas, indexed by tenant, in requests per second over all routers together. Tokens of the former quotas
// remain if the number of tenants is unchanged; otherwise all buckets are empty.
func (q *Quotas) Set(perSecond []float64, routers int) {
	if len(q.tokens) != len(perSecond) {
		q.tokens = make([]float64, len(perSecond))
	}
	q.perSecond = make([]float64, len(perSecond))
	for i, total := range perSecond {
		q.perSecond[i] = total / float64(routers)
	}
}

// Take reports whether a request of the tenant is within its quota, and takes a token if so. A tenant without a quota
// is not limited.
func (q *Quotas) Take(tenant int, now time.Duration) bool {
	q.fill(now)
	if tenant >= len(q.tokens) {
		return true
	}
	if q.tokens[tenant] < 1 {
		return false
	}
	q.tokens[tenant]--
	return true
}

// fill adds the tokens for the time since the last fill, up to the quota of one burst.
func (q *Quotas) fill(now time.Duration) {
	passed := min(now-q.filledAt, burst).Seconds()
	q.filledAt = now
	for i, perSecond := range q.perSecond {
		q.tokens[i] = min(perSecond*burst.Seconds(), q.tokens[i]+perSecond*passed)
	}
}
