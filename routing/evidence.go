package routing

import "capercove/internal/clockoffset"

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	smooth = 0.1 // weight of a new sample in the running means
)

// learn takes in what a node said of itself. Positions never go back; the newest word on the role wins.
func (r *Router) learn(n *node, e Evidence, at clockoffset.Instant) {
	if e.Position > 0 {
		if r.plausible(e.Position) { // Else it is spoilt, or the clocks differ and that is yet to be found.
			n.position = max(n.position, e.Position)
		}
		n.provenAt = r.now
	}
	if e.Role != RoleUnknown && at.By(r.offset.Earliest) >= r.roleTime(n) {
		n.role, n.roleAt = e.Role, at
	}
	if e.ReportsQueue && r.warmth(n) == 1 {
		r.size = r.size.Told(r.crowd(n), e.QueueLength)
	}
}

// sample books what an outcome tells of its node: health, latency, the loop's sample.
func (r *Router) sample(n *node, q *request, o *Outcome) {
	switch o.Status {
	case ConnectFailed, ConnectRefused, ConnectionBroken, NodeError: // Sound nodes err, and reset connections.
		n.died = n.died || o.Status == ConnectRefused
		if n.fails++; n.fails >= 3 || n.fails == 2 && o.Status != NodeError {
			r.suspect(n, o.Status == NodeError)
		}
	case TimedOut: // Health is for the watch on silence: a client's short time-out says little of the node.
	default:
		n.heard, n.answered, n.fails, n.mute, n.backoff = r.now, r.now, 0, false, 0
		r.revive(n)
	}
	if o.Status == OK {
		n.unproven = false
		work := r.work.Of(q.Class)
		n.completed += work
		n.cold.Answered(r.now, work)
		n.overtook = max(n.overtook, q.tries[o.Attempt].at)
	}
	if o.Status == OK || o.Status == TimedOut {
		if r.warmth(n) == 1 {
			r.work.Answered(q.Class, o.Duration)
		}
		n.latency += smooth * (float64(o.Duration) - n.latency)
		n.load += smooth * (q.tries[o.Attempt].behind - n.load)
		n.sum += float64(o.Duration) / float64(r.aim(q))
		n.samples++
	}
}
