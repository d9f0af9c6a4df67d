package routing

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	controlPeriod    = 500 * ms // P of the design's loop
	proportionalGain = 0.1      // K_P, as a share of the cap
	integralGain     = 0.3      // K_I
	minError         = -2.0     // one hung period moves a bound no further than this error
	minSamples       = 6        // fewer reads than this are carried over to the next period
	maxBound         = 4.0      // cap of d, the reads that all routers may have out at a node of size 1
	minBoundShare    = 1.0 / 6  // floor of d, as a share of the cap
)

// controlStep runs the design's PI step for every node: e is 1 less the mean of latency over aim. Reads in flight
// beyond their aim are samples too, so that a hung node does not look idle. The velocity form integrates
// twice, so at a limit the stored change is the one that took effect.
func (r *Router) controlStep() {
	for _, q := range r.open {
		for _, t := range q.attempts {
			if waited := r.now - t.sentAt; t.pending && !t.lost && !q.done && waited > r.latencyObjective(q) {
				t.node.ratioSum += float64(waited) / float64(r.latencyObjective(q))
				t.node.samples++
			}
		}
	}
	completed, warm := 0.0, 0
	for _, n := range r.nodes {
		if r.capacityShare(n) == 1 && n.State == Ready && !n.ejected {
			completed, warm = completed+n.completed, warm+1
		}
		n.completed = 0
		if n.samples < minSamples {
			continue
		}
		e := max(minError, 1-n.ratioSum/float64(n.samples))
		n.delta += proportionalGain * maxBound * ((integralGain+1)*e - n.lastError)
		d := min(maxBound, max(minBoundShare*maxBound, n.bound+n.delta))
		n.delta, n.bound, n.lastError = d-n.bound, d, e
		n.ratioSum, n.samples = 0, 0
	}
	if warm > 0 {
		r.warmRate += 3 * smoothing * (completed/float64(warm)/controlPeriod.Seconds() - r.warmRate)
	}
	r.layRings()
	r.writes.Forget(r.now-writeRetention, r.offset.Earliest)
}

// effectiveBound is the loop's d for a node, less while it is cold or has yet to prove itself.
func (r *Router) effectiveBound(n *nodeRecord) float64 {
	if n.halfOpen {
		return min(1, n.bound)
	}
	return n.bound * r.capacityShare(n)
}
