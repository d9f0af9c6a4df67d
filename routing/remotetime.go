package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Positions and starts of nodes are times of the nodes' clock and are kept as they were told. Here they are compared
// with the router's clock, under the estimate of the offset between the two: where that is not exact, data is taken for
// older and a process for younger than it may be.

// setOffset takes in an estimate. All that was learned is judged anew under it.
func (r *Router) setOffset(offset clockoffset.Bounds) {
	r.offset = offset
	r.layRings()
}

// latestNow is the most that the nodes' clock may show: data is no older under it than it is taken for.
func (r *Router) latestNow() time.Duration { return r.now + r.offset.Latest }

// earliestNow is the least that the nodes' clock may show: a process runs for no shorter under it than it is taken for.
func (r *Router) earliestNow() time.Duration { return r.now + r.offset.Earliest }

// roleTime is the time of the evidence for a node's role, by the nodes' clock.
func (r *Router) roleTime(n *node) time.Duration { return n.roleAt.By(r.offset.Earliest) }

// lag is how far a node was behind when it last spoke.
func (r *Router) lag(n *node) time.Duration { return n.provenAt + r.offset.Earliest - n.position }

// plausible tells whether a time of the nodes' clock is not in its future.
func (r *Router) plausible(remote time.Duration) bool {
	return remote <= r.latestNow()+clockoffset.Tolerance
}

// told is the instant that a node named. One in the future of its clock counts as the present: no later evidence must
// be held to be older.
func (r *Router) told(remote time.Duration) clockoffset.Instant {
	if !r.plausible(remote) {
		return clockoffset.Instant{Own: r.now}
	}
	return clockoffset.Instant{Remote: remote}
}

// warmth is the share of its capacity that a node has at the least.
func (r *Router) warmth(n *node) float64 {
	age := r.set.SlowStartTime
	if n.coldAt > 0 {
		age = min(age, r.now-n.coldAt)
	}
	if n.startedAt > 0 {
		age = min(age, r.earliestNow()-n.startedAt)
	}
	if age = max(age, 0); age >= r.set.SlowStartTime {
		return 1
	}
	return r.set.SlowStartShare + (1-r.set.SlowStartShare)*float64(age)/float64(r.set.SlowStartTime)
}

// coldSince is the earliest moment, by the router's clock, at which the present process of a node can have begun to answer.
func (r *Router) coldSince(n *node) time.Duration {
	since := n.coldAt
	if n.startedAt > 0 {
		since = max(since, n.startedAt-r.offset.Earliest)
	}
	return since
}

// fresh tells whether the node's proven position is recent enough for the read. Where nodes check, one is
// taken to follow as closely as when it last spoke, be that long ago: a wrong guess costs one attempt.
func (r *Router) fresh(n *node, q *request) bool {
	position := n.position
	if r.set.StaleReads == StaleRejected && q.class.Read != FreshRead {
		position += r.now - n.provenAt
	}
	switch q.class.Read {
	case AnyRead:
		return true
	case BoundedRead:
		return r.latestNow()-position <= q.class.MaxAge
	default:
		return position >= q.need.By(r.offset.Latest)
	}
}
