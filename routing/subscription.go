package routing

import (
	"cmp"
	"time"
)

const (
	// subscribeSpreadPerRouter, multiplied by the number of routers, is the time over which the routers spread their
	// calls for the endpoint list after a failure. The discovery service handles calls one after another.
	subscribeSpreadPerRouter = 100 * ms
	// minSubscribeSpread is the least spread. A call that failed in less time was rejected and did not wait.
	minSubscribeSpread = 500 * ms
	// maxSubscribeSpread is the greatest spread if Settings.ListBindsAfter is 0.
	maxSubscribeSpread = 4 * time.Second
	// bindDivisor is the divisor of Settings.ListBindsAfter that gives the greatest spread otherwise.
	bindDivisor = 3
)

// subscribeSpread returns the time over which the routers spread their next calls for the list after calls that timed
// out. The spread follows a pause of the same length. Without the pause, a service that handles calls one after another
// would work only on calls that have already timed out.
func (r *Router) subscribeSpread() time.Duration {
	spread := max(minSubscribeSpread, time.Duration(r.settings.Routers)*subscribeSpreadPerRouter)
	maxSpread := cmp.Or(r.settings.ListBindsAfter/bindDivisor, maxSubscribeSpread)
	return min(spread, maxSpread)
}

// scheduleSubscription sets the time of the next call for the endpoint list after a failure. If the subscription broke
// or the call was rejected at once, there is no pause and half of the spread: the service has no backlog of calls.
func (r *Router) scheduleSubscription() {
	spread := r.subscribeSpread()
	jitter := time.Duration(mix(r.seed^uint64(r.now)) % uint64(spread))
	if r.subscribedAt == 0 || r.now-r.subscribedAt < minSubscribeSpread {
		spread, jitter = 0, jitter/2
	}
	r.subscribeAt = r.now + spread + jitter
}

// subscribeIfDue requests the endpoint list if it is polled and the next call is due.
func (r *Router) subscribeIfDue() {
	if r.settings.ListIsPolled && r.subscribeAt >= 0 && r.now >= r.subscribeAt {
		r.emit(Action{Kind: Subscribe})
		r.subscribeAt, r.subscribedAt = -1, r.now
	}
}
