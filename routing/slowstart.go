package routing

import (
	"slices"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	coldLeast  = 3.0 // sends to a cold node in a window that all routers together always have
	coldTurns  = 2   // turns of a window in which chance deals out parts of one send
	workSpread = 4.0 // one request's work may be so many times its class's mean
)

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

// coldRoom keeps a cold node from being pushed over: its sends in a fall window stay in this router's part of
// multiple x present capacity x window, counted in requests of mean work. The capacity is what it completes
// on a warm node, or what the cold one answered in the last window, if more: it can surely do that, however
// little is asked elsewhere. Of a part of a send chance makes a whole one, drawn anew each turn, so that all
// together keep the budget. Heavy reads get none by chance while another member is warm.
func (r *Router) coldRoom(n *node, q *request) bool {
	warmth := r.warmth(n)
	if warmth == 1 {
		n.cold.Warm()
		return true
	}
	left := n.cold.Left(r.now, r.coldSince(n), r.set.OverloadWindow, r.set.OverloadMultiple,
		warmth*r.rate*r.set.OverloadWindow.Seconds(), coldLeast/float64(r.set.Routers))
	own := mix(r.seed ^ uint64(n.ID)) // Turns begin at another time at each router, not all at once.
	turn := mix(own ^ uint64(coldTurns*(r.now+time.Duration(own%uint64(r.set.OverloadWindow)))/r.set.OverloadWindow))
	work := r.coldWork(q)
	part := left / work
	if heavy := work > r.work.Of(q.Class); heavy && part < 1 && r.warmElsewhere(n) {
		return false
	}
	return part >= 1 || coldTurns*float64(turn>>11)/(1<<53) < part
}

// coldWork is what a request counts for at a cold node, in requests of mean work. One of a heavy class may be
// several times its class's mean, which does not even out over the few that fit into a window: it counts for
// more. What only the primary takes has no other way and counts for its work.
func (r *Router) coldWork(q *request) float64 {
	work := r.work.Of(q.Class)
	if q.class.Read == Write || q.class.Read == FreshRead {
		return work
	}
	return max(work, workSpread*(work-1))
}

// warmElsewhere tells whether another member of the node's group is warm and may be sent reads.
func (r *Router) warmElsewhere(n *node) bool {
	return slices.ContainsFunc(n.group.members, func(m *node) bool {
		return r.warmth(m) == 1 && !m.down && r.mayUse(m, false)
	})
}
