// Package quota counts what tenants still may ask within their shares. It is pure: no clock, no I/O.
package quota

import "time"

// burst is what a tenant may save up of its quota.
const burst = time.Second

// Quotas are one router's part of the tenants' quotas. The zero value has no tenant, and grants all.
type Quotas struct {
	perSecond, left []float64
	filled          time.Duration // when left was last filled up
}

// Set gives each tenant its quota, in requests a second over so many routers. What is left of the old ones is kept, if there
// are as many tenants.
func (q *Quotas) Set(perSecond []float64, routers int) {
	if len(q.left) != len(perSecond) {
		q.left = make([]float64, len(perSecond))
	}
	q.perSecond = make([]float64, len(perSecond))
	for i, all := range perSecond {
		q.perSecond[i] = all / float64(routers)
	}
}

// Take tells whether a request of the tenant is within its quota, and counts it if so.
func (q *Quotas) Take(tenant int, now time.Duration) bool {
	passed := min(now-q.filled, burst).Seconds()
	q.filled = now
	for i, perSecond := range q.perSecond {
		q.left[i] = min(perSecond*burst.Seconds(), q.left[i]+perSecond*passed)
	}
	if tenant >= len(q.left) {
		return true
	}
	if q.left[tenant] < 1 {
		return false
	}
	q.left[tenant]--
	return true
}
