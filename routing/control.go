package routing

// The constants of the control loop are relative to the latency objective and to maxBound, and so fit any site. The
// loop works about equally well with half or twice the gain.
const (
	controlPeriod    = 500 * ms
	proportionalGain = 0.1 // K_P, as a share of maxBound
	integralGain     = 0.3 // K_I, relative to K_P
	// minError limits how far a bound moves in one period if the node hangs.
	minError = -2.0
	// minSamples is the least number of latency samples in a mean. Fewer are carried over to the next period.
	minSamples = 6
	// maxBound is the greatest bound: the number of reads that all routers together may have in flight at a node of
	// size 1, such as one with three cores. internal/capacity scales it to other nodes.
	maxBound = 4.0
	// minBoundShare is the least bound, as a share of maxBound. Without any requests a node would yield no samples,
	// and its bound would never rise again.
	minBoundShare = 1.0 / 6
	// warmRateSmoothing is the weight of one period in the running mean of completed work.
	warmRateSmoothing = 3 * smoothing
)

// controlStep runs one period of the nodes' control loops.
func (r *Router) controlStep() {
	r.sampleOverdue()
	r.updateWarmRate()
	for _, node := range r.nodes {
		if node.samples >= minSamples {
			node.adjustBound()
		}
	}
}

// sampleOverdue adds a sample for each attempt that is pending beyond its objective. Without them, a hung node would
// look idle.
func (r *Router) sampleOverdue() {
	for _, request := range r.open {
		for _, attempt := range request.attempts {
			waited := r.now - attempt.sentAt
			if attempt.pending && !attempt.lost && !request.done && waited > r.latencyObjective(request) {
				attempt.node.ratioSum += float64(waited) / float64(r.latencyObjective(request))
				attempt.node.samples++
			}
		}
	}
}

// updateWarmRate updates the running mean of the work that a warm node completes, and resets the nodes' counts of it.
func (r *Router) updateWarmRate() {
	completed, warm := 0.0, 0
	for _, node := range r.nodes {
		if r.capacityShare(node) == 1 && node.State == Ready && !node.ejected {
			completed += node.completed
			warm++
		}
		node.completed = 0
	}
	if warm > 0 {
		perNode := completed / float64(warm) / controlPeriod.Seconds()
		r.warmRate += warmRateSmoothing * (perNode - r.warmRate)
	}
}

// adjustBound runs one step of the node's PI controller. The error is 1 minus the mean ratio of latency to objective.
// Delta accumulates the controller's output, and the bound accumulates delta: the error is integrated twice. At a limit
// of the bound, delta is set to the change that took effect, which prevents integral windup.
func (n *nodeRecord) adjustBound() {
	controlError := max(minError, 1-n.ratioSum/float64(n.samples))
	n.delta += proportionalGain * maxBound * ((integralGain+1)*controlError - n.lastError)
	bound := min(maxBound, max(minBoundShare*maxBound, n.bound+n.delta))
	n.delta = bound - n.bound
	n.bound = bound
	n.lastError = controlError
	n.ratioSum, n.samples = 0, 0
}

// effectiveBound returns the node's bound, which is lower while the node is warming up or half-open.
func (r *Router) effectiveBound(node *nodeRecord) float64 {
	if node.halfOpen {
		return min(1, node.bound)
	}
	return node.bound * r.capacityShare(node)
}
