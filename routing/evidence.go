package routing

import "capercove/internal/clockoffset"

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	smoothing = 0.1 // weight of a new sample in the running means
)

// learn takes in what a node said of itself. Positions never go back; the newest word on the role wins.
func (r *Router) learn(n *nodeRecord, e Evidence, at clockoffset.Instant) {
	if e.Position > 0 {
		if r.plausible(e.Position) { // Else it is spoilt, or the clocks differ and that is yet to be found.
			n.position = max(n.position, e.Position)
		}
		n.provenAt = r.now
	}
	if e.Role != RoleUnknown && at.By(r.offset.Earliest) >= r.roleTime(n) {
		n.role, n.roleAt = e.Role, at
	}
	if e.ReportsQueue && r.capacityShare(n) == 1 {
		r.size = r.size.Told(r.estimatedInFlight(n), e.QueueLength)
	}
}

// recordOutcome books what an outcome tells of its node: health, latency, the loop's sample.
func (r *Router) recordOutcome(n *nodeRecord, q *openRequest, o *Outcome) {
	switch o.Status {
	case ConnectFailed, ConnectRefused, ConnectionBroken, NodeError: // Sound nodes err, and reset connections.
		n.notListening = n.notListening || o.Status == ConnectRefused
		if n.failures++; n.failures >= 3 || n.failures == 2 && o.Status != NodeError {
			r.eject(n, o.Status == NodeError)
		}
	case TimedOut: // Health is for the watch on silence: a client's short time-out says little of the node.
	default:
		n.lastHeard, n.lastAnswer, n.failures, n.unresponsive, n.backoff = r.now, r.now, 0, false, 0
		r.readmit(n)
	}
	if o.Status == OK {
		n.halfOpen = false
		work := r.work.Of(q.Class)
		n.completed += work
		n.slowStart.Answered(r.now, work)
		n.latestAnsweredSend = max(n.latestAnsweredSend, q.attempts[o.Attempt].sentAt)
	}
	if o.Status == OK || o.Status == TimedOut {
		if r.capacityShare(n) == 1 {
			r.work.Answered(q.Class, o.Duration)
		}
		n.latency += smoothing * (float64(o.Duration) - n.latency)
		n.meanLoad += smoothing * (q.attempts[o.Attempt].loadAtSend - n.meanLoad)
		n.ratioSum += float64(o.Duration) / float64(r.latencyObjective(q))
		n.samples++
	}
}
