package routing

import (
	"slices"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	minSlowStartSends = 3.0 // sends to a cold node in a window that all routers together always have
	slowStartTurns    = 2   // turns of a window in which chance deals out parts of one send
	workSpread        = 4.0 // one request's work may be so many times its class's mean
)

// capacityShare is the share of its capacity that a node has at the least.
func (r *Router) capacityShare(n *nodeRecord) float64 {
	age := r.settings.SlowStartTime
	if n.restartedAt > 0 {
		age = min(age, r.now-n.restartedAt)
	}
	if n.startedAt > 0 {
		age = min(age, r.earliestNow()-n.startedAt)
	}
	if age = max(age, 0); age >= r.settings.SlowStartTime {
		return 1
	}
	return r.settings.SlowStartShare + (1-r.settings.SlowStartShare)*float64(age)/float64(r.settings.SlowStartTime)
}

// processStart is the earliest moment, by the router's clock, at which the present process of a node can have begun to answer.
func (r *Router) processStart(n *nodeRecord) time.Duration {
	since := n.restartedAt
	if n.startedAt > 0 {
		since = max(since, n.startedAt-r.offset.Earliest)
	}
	return since
}

// withinSlowStart keeps a cold node from being pushed over: its sends in a fall window stay in this router's part of
// multiple x present capacity x window, counted in requests of mean work. The capacity is what it completes
// on a warm node, or what the cold one answered in the last window, if more: it can surely do that, however
// little is asked elsewhere. Of a part of a send chance makes a whole one, drawn anew each turn, so that all
// together keep the budget. Heavy reads get none by chance while another member is warm.
func (r *Router) withinSlowStart(n *nodeRecord, q *openRequest) bool {
	warmth := r.capacityShare(n)
	if warmth == 1 {
		n.slowStart.Warm()
		return true
	}
	left := n.slowStart.Left(r.now, r.processStart(n), r.settings.OverloadWindow, r.settings.OverloadMultiple,
		warmth*r.warmRate*r.settings.OverloadWindow.Seconds(), minSlowStartSends/float64(r.settings.Routers))
	own := mix(r.seed ^ uint64(n.ID)) // Turns begin at another time at each router, not all at once.
	turn := mix(own ^ uint64(slowStartTurns*(r.now+time.Duration(own%uint64(r.settings.OverloadWindow)))/r.settings.OverloadWindow))
	work := r.slowStartWork(q)
	part := left / work
	if heavy := work > r.work.Of(q.Class); heavy && part < 1 && r.hasWarmAlternative(n) {
		return false
	}
	return part >= 1 || slowStartTurns*float64(turn>>11)/(1<<53) < part
}

// slowStartWork is what a request counts for at a cold node, in requests of mean work. One of a heavy class may be
// several times its class's mean, which does not even out over the few that fit into a window: it counts for
// more. What only the primary takes has no other way and counts for its work.
func (r *Router) slowStartWork(q *openRequest) float64 {
	work := r.work.Of(q.Class)
	if q.class.Read == Write || q.class.Read == FreshRead {
		return work
	}
	return max(work, workSpread*(work-1))
}

// hasWarmAlternative tells whether another member of the node's group is warm and may be sent reads.
func (r *Router) hasWarmAlternative(n *nodeRecord) bool {
	return slices.ContainsFunc(n.group.members, func(m *nodeRecord) bool {
		return r.capacityShare(m) == 1 && !m.ejected && r.mayReceive(m, false)
	})
}
