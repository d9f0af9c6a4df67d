package routing

import "time"

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	spillMultiple      = 2.0 // of the primary's bound: reads that a replica could take stop here
	minPatience        = 0.3 // of what is left of the aim: longer waits are not worth a send
	patiencePerWeight  = 0.3 // ... and this much more for the dearest class
	noSheddingMultiple = 1.5 // times the cap in flight: no shedding below, the prediction is coarse
)

// chooseRead is the ordinary path of a read. The key's place on the ring is walked clockwise past replicas
// that are unfit, stale or at their bound; if all are full, the one least over takes it. It returns nil to
// hold the read, or to shed it.
func (r *Router) chooseRead(q *openRequest) (choice *nodeRecord, shed bool) {
	g := q.group
	p := r.primary(g)
	n, room := r.nextReplica(g, p, q)
	if room {
		return n, false
	}
	if d := r.probeCandidate; n == nil && d != nil && q.class.Read != FreshRead {
		if r.settings.StaleReads == StaleRejected {
			return d, false
		}
		// Where nodes do not check, a proof lasts no longer than the bound, and a router with few answers has
		// none: it asks for one, and waits. All replicas behind cost asksMost probes a read.
		if d.probePending {
			return nil, false
		}
		if q.probesMade++; q.probesMade <= maxProbesPerRead {
			r.probe(d)
			return nil, false
		}
	}
	share := spillMultiple
	if n == nil {
		share = writeBoundMultiple
	}
	patience := r.patience(q)
	calm := n != nil && (r.predictedLatency(n) <= patience || r.estimatedInFlight(n) < noSheddingMultiple*maxBound*r.capacityShare(n))
	if calm && q.class.Read != FreshRead {
		return n, false
	}
	if p != nil && r.eligible(p, q, true) {
		if r.estimatedInFlight(p) < share*r.effectiveBound(p) {
			return p, false
		}
		return nil, true
	}
	return nil, n != nil
}

// patience is how long an answer may take for the read to be sent at all; less worth is given up first.
func (r *Router) patience(q *openRequest) time.Duration {
	return time.Duration((minPatience + patiencePerWeight*q.weight) * float64(q.arrived+r.latencyObjective(q)-r.now))
}
