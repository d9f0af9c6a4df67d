package routing

import (
	"cmp"
	"time"
)

const (
	// subscribeSpreadPerRouter, times the routers, is the time over which they spread their calls for the endpoint
	// list after a failure. The discovery service takes calls in turn.
	subscribeSpreadPerRouter = 100 * ms
	// minSubscribeSpread is the least such time. A call that failed within it was rejected rather than left
	// waiting.
	minSubscribeSpread = 500 * ms
	// maxSubscribeSpread is the greatest, where the settings tell no time in which a list binds.
	maxSubscribeSpread = 4 * time.Second
	// bindShare is the part of the time in which a list binds that the spread may take.
	bindShare = 3
)

// subscribeSpread is the time over which routers spread their next calls for the list after one that waited in vain,
// when as much has passed without any: a service that answers in turn would never get through with those that gave
// up.
func (r *Router) subscribeSpread() time.Duration {
	wanted := max(minSubscribeSpread, time.Duration(r.settings.Routers)*subscribeSpreadPerRouter)
	most := cmp.Or(r.settings.ListBindsAfter/bindShare, maxSubscribeSpread)
	return min(wanted, most)
}

// scheduleSubscription sets the time of the next call for the endpoint list after one has failed. If a watch broke or
// the call was rejected at once, half of the spread does: nobody waits, or the rejection cost nothing.
func (r *Router) scheduleSubscription() {
	spread := r.subscribeSpread()
	jitter := time.Duration(mix(r.seed^uint64(r.now)) % uint64(spread))
	if r.subscribedAt == 0 || r.now-r.subscribedAt < minSubscribeSpread {
		spread, jitter = 0, jitter/2
	}
	r.subscribeAt = r.now + spread + jitter
}

// subscribeIfDue calls for the endpoint list if its time has come.
func (r *Router) subscribeIfDue() {
	if r.settings.ListIsPolled && r.subscribeAt >= 0 && r.now >= r.subscribeAt {
		r.emit(Action{Kind: Subscribe})
		r.subscribeAt, r.subscribedAt = -1, r.now
	}
}
