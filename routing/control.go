package routing

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	loopPeriod = 500 * ms // P of the design's loop
	gainP      = 0.1      // K_P, as a share of the cap
	gainI      = 0.3      // K_I
	worstError = -2.0     // one hung period moves a bound no further than this error
	minSamples = 6        // fewer reads than this are carried over to the next period
	capAll     = 4.0      // cap of d, the reads that all routers may have out at a node of size 1
	floorShare = 1.0 / 6  // floor of d, as a share of the cap
)

// loop runs the design's PI step for every node: e is 1 less the mean of latency over aim. Reads in flight
// beyond their aim are samples too, so that a hung node does not look idle. The velocity form integrates
// twice, so at a limit the stored change is the one that took effect.
func (r *Router) loop() {
	for _, q := range r.open {
		for _, t := range q.tries {
			if waited := r.now - t.at; t.pending && !t.lost && !q.done && waited > r.aim(q) {
				t.n.sum += float64(waited) / float64(r.aim(q))
				t.n.samples++
			}
		}
	}
	completed, warm := 0.0, 0
	for _, n := range r.nodes {
		if r.warmth(n) == 1 && n.State == Ready && !n.down {
			completed, warm = completed+n.completed, warm+1
		}
		n.completed = 0
		if n.samples < minSamples {
			continue
		}
		e := max(worstError, 1-n.sum/float64(n.samples))
		n.delta += gainP * capAll * ((gainI+1)*e - n.lastError)
		d := min(capAll, max(floorShare*capAll, n.d+n.delta))
		n.delta, n.d, n.lastError = d-n.d, d, e
		n.sum, n.samples = 0, 0
	}
	if warm > 0 {
		r.rate += 3 * smooth * (completed/float64(warm)/loopPeriod.Seconds() - r.rate)
	}
	r.layRings()
	r.writes.Forget(r.now-keepWrites, r.offset.Earliest)
}

// bound is the loop's d for a node, less while it is cold or has yet to prove itself.
func (r *Router) bound(n *node) float64 {
	if n.unproven {
		return min(1, n.d)
	}
	return n.d * r.warmth(n)
}
