package routing

import (
	"math"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	presumeOver = 4000 * ms // what others have out is taken from this router's mean of so long
	presumeEach = 100 * ms  // ... or this times the routers, if shorter
)

// book notes a change of what is in flight at a node.
func (r *Router) book(n *node, change int) {
	over := min(presumeOver, time.Duration(r.set.Routers)*presumeEach)
	n.mean += (float64(n.inFlight) - n.mean) * (1 - math.Exp(-float64(r.now-n.meanAt)/float64(over)))
	n.meanAt = r.now
	n.inFlight += change
}

// crowd is what all routers together have in flight at a node: what this one has, and for each other what
// this one has had in the mean, as the front deals alike; for each unit of the size. So bounds add up even if
// each part is under one, and what holds of a small node holds of a large one.
func (r *Router) crowd(n *node) float64 {
	r.book(n, 0)
	return (float64(n.inFlight) + n.mean*float64(r.set.Routers-1)) / float64(r.size)
}

// predicted is how long an answer would take: the usual latency, more by as much as more is out.
func (r *Router) predicted(n *node) time.Duration {
	return time.Duration(n.latency * (r.crowd(n) + 1) / (n.load + 1))
}
