package routing

import (
	"math"
	"time"
)

// The in-flight requests of other routers are estimated from the running mean of this router's own. The period of the
// mean grows with the number of routers, up to maxMeanPeriod: with more routers, each has fewer requests to average.
// The constants suit 3 to 300 routers.
const (
	maxMeanPeriod       = 4000 * ms
	meanPeriodPerRouter = 100 * ms
)

// addInFlight updates the running mean of a node's in-flight requests and changes their number.
func (r *Router) addInFlight(node *nodeRecord, change int) {
	period := min(maxMeanPeriod, time.Duration(r.settings.Routers)*meanPeriodPerRouter)
	elapsed := float64(r.now - node.meanInFlightAt)
	node.meanInFlight += (float64(node.inFlight) - node.meanInFlight) * (1 - math.Exp(-elapsed/float64(period)))
	node.meanInFlightAt = r.now
	node.inFlight += change
}

// estimatedInFlight returns how many requests all routers together have in flight at a node, divided by the nodes'
// size. It adds this router's own number and, for each other router, this router's mean: requests are assumed to be
// spread evenly over the routers. The bounds thus apply even if each router's share is less than one request, and the
// same bounds fit nodes of any size.
func (r *Router) estimatedInFlight(node *nodeRecord) float64 {
	r.addInFlight(node, 0)
	others := node.meanInFlight * float64(r.settings.Routers-1)
	return (float64(node.inFlight) + others) / float64(r.size)
}

// predictedLatency returns the expected latency of one more request: the mean latency, scaled by the ratio of the
// estimated in-flight requests to their mean.
func (r *Router) predictedLatency(node *nodeRecord) time.Duration {
	return time.Duration(node.meanLatency * (r.estimatedInFlight(node) + 1) / (node.meanLoad + 1))
}
