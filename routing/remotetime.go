package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// Positions and starts of nodes are times of the nodes' clock and are stored as reported. The functions below compare
// them with the router's clock by the estimated offset. While the offset is known only within bounds, data counts as
// older and a process as younger than they may be.

// applyOffset replaces the estimate of the offset. The new one also applies to evidence that was recorded before.
func (r *Router) applyOffset(offset clockoffset.Bounds) {
	r.offset = offset
	r.rebuildRings()
}

// latestNow returns the latest time that the nodes' clock may show. An age of data computed from it is never too low.
func (r *Router) latestNow() time.Duration { return r.now + r.offset.Latest }

// earliestNow returns the earliest time that the nodes' clock may show. An uptime computed from it is never too high.
func (r *Router) earliestNow() time.Duration { return r.now + r.offset.Earliest }

// roleTime returns the time of the evidence for a node's role, by the nodes' clock.
func (r *Router) roleTime(node *nodeRecord) time.Duration {
	return node.roleAt.OnDatabaseClock(r.offset.Earliest)
}

// plausible reports whether a time of the nodes' clock is not in the future, apart from the tolerance.
func (r *Router) plausible(remote time.Duration) bool {
	return remote <= r.latestNow()+clockoffset.Tolerance
}

// reportedInstant returns the instant of a time that a node reported. A time in the future is replaced by the present:
// otherwise, evidence that arrives later could count as older.
func (r *Router) reportedInstant(remote time.Duration) clockoffset.Instant {
	if !r.plausible(remote) {
		return clockoffset.Instant{Own: r.now}
	}
	return clockoffset.Instant{Remote: remote}
}
