package routing

import "time"

// The thresholds of load shedding are relative to the latency objective and to the bounds. Shedding is insensitive to
// the latency budget: values from 0.2 to 0.6 change a benchmark's score by under 0.015.
const (
	// minLatencyBudget is the share of the remaining latency objective that the answer to a read of weight 0 may take.
	// latencyBudgetPerWeight is added for a read of the greatest weight, and proportionally less for others.
	minLatencyBudget       = 0.3
	latencyBudgetPerWeight = 0.3
	// noSheddingMultiple is the multiple of maxBound below which no read is shed: the predicted latency is imprecise.
	noSheddingMultiple = 1.5
	// spillMultiple is the multiple of its bound up to which the primary receives reads that a replica could serve.
	spillMultiple = 2.0
)

// chooseRead chooses the node for a read. It prefers the first eligible replica on the ring that is below its bound,
// then the replica with the least load relative to its bound, then the primary. If it returns no node, the read must be
// shed if shed is true, and wait otherwise.
func (r *Router) chooseRead(request *openRequest) (target *nodeRecord, shed bool) {
	primary := r.primary(request.group)
	found := r.nextReplica(request.group, primary, request)
	if found.isBelowBound {
		return found.replica, false
	}
	replica, candidate := found.replica, found.probeCandidate
	if replica == nil && candidate != nil && request.class.Read != FreshRead {
		if r.settings.StaleReads == StaleRejected {
			return candidate, false
		}
		if r.awaitReport(request, candidate) {
			return nil, false
		}
	}
	if replica != nil && r.answersInTime(replica, request) && request.class.Read != FreshRead {
		return replica, false
	}
	return r.spill(request, primary, replica != nil)
}

// spill chooses the primary for a read if the primary is below a multiple of its bound, which is lower if a replica
// could serve the read too. Otherwise the read is shed, or waits if neither the primary nor a replica is available.
func (r *Router) spill(request *openRequest, primary *nodeRecord, hasReplica bool) (target *nodeRecord, shed bool) {
	if primary == nil || !r.eligible(primary, request, true) {
		return nil, hasReplica
	}
	multiple := writeBoundMultiple
	if hasReplica {
		multiple = spillMultiple
	}
	if r.estimatedInFlight(primary) < multiple*r.effectiveBound(primary) {
		return primary, false
	}
	return nil, true
}

// answersInTime reports whether a replica at its bound is likely to answer within the read's latency budget.
func (r *Router) answersInTime(replica *nodeRecord, request *openRequest) bool {
	if r.predictedLatency(replica) <= r.latencyBudget(request) {
		return true
	}
	return r.estimatedInFlight(replica) < noSheddingMultiple*maxBound*r.capacityShare(replica)
}

// latencyBudget returns the greatest predicted latency with which the read is still sent to a replica at its bound. It
// grows with the weight: reads of less weight are shed first.
func (r *Router) latencyBudget(request *openRequest) time.Duration {
	left := request.arrived + r.latencyObjective(request) - r.now
	return time.Duration((minLatencyBudget + latencyBudgetPerWeight*request.weight) * float64(left))
}
