package routing

import (
	"math"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	maxMeanPeriod       = 4000 * ms // what others have out is taken from this router's mean of so long
	meanPeriodPerRouter = 100 * ms  // ... or this times the routers, if shorter
)

// addInFlight notes a change of what is in flight at a node.
func (r *Router) addInFlight(n *nodeRecord, change int) {
	over := min(maxMeanPeriod, time.Duration(r.settings.Routers)*meanPeriodPerRouter)
	n.meanInFlight += (float64(n.inFlight) - n.meanInFlight) * (1 - math.Exp(-float64(r.now-n.meanInFlightAt)/float64(over)))
	n.meanInFlightAt = r.now
	n.inFlight += change
}

// estimatedInFlight is what all routers together have in flight at a node: what this one has, and for each other what
// this one has had in the mean, as the front deals alike; for each unit of the size. So bounds add up even if
// each part is under one, and what holds of a small node holds of a large one.
func (r *Router) estimatedInFlight(n *nodeRecord) float64 {
	r.addInFlight(n, 0)
	return (float64(n.inFlight) + n.meanInFlight*float64(r.settings.Routers-1)) / float64(r.size)
}

// predictedLatency is how long an answer would take: the usual latency, more by as much as more is out.
func (r *Router) predictedLatency(n *nodeRecord) time.Duration {
	return time.Duration(n.latency * (r.estimatedInFlight(n) + 1) / (n.meanLoad + 1))
}
