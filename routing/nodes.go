package routing

import (
	"cmp"
	"slices"
	"time"

	"capercove/internal/capacity"
	"capercove/internal/clockoffset"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	subscribeSpreadPerRouter = 100 * ms         // times the routers: they spread their list calls after a failure over so long
	goneRetention            = 10 * time.Minute // and so is a node that is gone and says nothing
)

// listEvidenceAt is when the list's word on roles is taken to be from: before all evidence.
const listEvidenceAt time.Duration = 1

// nodeRecord is what this router knows of one data node.
type nodeRecord struct {
	Node
	group              *replicaGroup
	lastScan           uint64        // last walk of the ring that looked at it
	drainingSince      time.Duration // when it was first listed as draining or gone; 0: it is ready
	listedDraining     bool          // it has been listed as draining
	restartedAt        time.Duration // when this router found that it had restarted; 0: never
	startedAt          time.Duration // its last start as listed, by the nodes' clock; 0: long ago
	position, provenAt time.Duration // last proven position, which never goes back; when that was learned
	role               Role
	roleAt             clockoffset.Instant // time of the evidence for role

	inFlight                            int
	meanInFlight                        float64       // of inFlight, over presumeOver
	meanInFlightAt                      time.Duration // up to here
	failures                            int           // failures since its last answer
	completed                           float64       // work completed in this loop period, in requests of mean work
	ejected, unresponsive, notListening bool          // only probes are sent; these do not help; no process there
	ejectedAt, readmitAt, backoff       time.Duration // for a mute one: when it is given one request, the next pause
	halfOpen, probePending              bool          // back from being down and yet to answer a request; a probe is out
	lastHeard, lastAnswer               time.Duration // last answer or probe; last answer to a request
	latestAnsweredSend                  time.Duration // latest send of a request that was answered
	lastProbe                           time.Duration
	slowStart                           capacity.Cold // what it was sent and has answered while cold
	latency                             float64       // running mean of its answers, in ns
	meanLoad                            float64       // running mean of crowd at the sends of those answers

	bound, delta, lastError float64 // the loop: bound, last change, last error
	ratioSum                float64 // latency over aim, of this period's samples
	samples, ringPoints     int     // in this period; on the ring
}

// replicaGroup is a primary and its replicas.
type replicaGroup struct {
	number         int
	primaryUnknown bool          // no primary is known, as of the last watch
	members        []*nodeRecord // by ID
	ring           []ringPoint
}

// subscribeSpread is the time over which routers spread their next calls for the list after one that waited in
// vain, when as much has passed without any: a service that answers in turn would never get through with
// those that gave up. After another loss half of it does: nobody waits, or being turned away cost nothing.
func (r *Router) subscribeSpread() time.Duration {
	return min(max(minBackoff, time.Duration(r.settings.Routers)*subscribeSpreadPerRouter), cmp.Or(r.settings.ListBindsAfter/3, maxBackoff))
}

func (r *Router) applyList(entries []Node, full bool) {
	r.subscribedAt = 0
	if full {
		for _, n := range r.nodes {
			if !slices.ContainsFunc(entries, func(e Node) bool { return e.ID == n.ID }) {
				gone := n.Node
				gone.State = Gone
				r.applyEntry(gone)
			}
		}
	}
	for _, e := range entries {
		r.applyEntry(e)
	}
	r.nodes = slices.DeleteFunc(r.nodes, func(n *nodeRecord) bool { // Against ever more of them.
		past := n.State == Gone && n.inFlight == 0 && !n.probePending && r.now-max(n.drainingSince, n.lastHeard) > goneRetention
		if past {
			delete(r.byID, n.ID)
		}
		return past
	})
	r.rebuildGroups()
}

func (r *Router) applyEntry(e Node) {
	n := r.byID[e.ID]
	if n == nil { // Also for one first listed as gone: the drain rule counts from that news.
		n = &nodeRecord{Node: e, bound: maxBound / 2, lastHeard: r.now}
		r.byID[e.ID] = n
		r.nodes = append(r.nodes, n)
		slices.SortFunc(r.nodes, func(a, b *nodeRecord) int { return cmp.Compare(a.ID, b.ID) })
	} else if e.Started > n.Started { // It restarted: what was known of its process is void.
		n.role, n.roleAt = Replica, n.roleAt.Later(r.toldInstant(e.Started))
		n.ejected, n.failures, n.halfOpen = false, 0, true
	}
	n.startedAt = max(n.startedAt, e.Started)
	n.Node = e
	switch {
	case e.State == Ready:
		n.drainingSince, n.listedDraining = 0, false
	case n.drainingSince == 0:
		n.drainingSince = r.now
	}
	n.listedDraining = n.listedDraining || e.State == Draining
	// The list's word counts only for a node that has not spoken for itself: a list far behind would call a
	// deposed primary back, and reads there would be stale.
	if e.Primary && r.settings.ListHintsRole && n.role == RoleUnknown {
		n.role, n.roleAt = Primary, clockoffset.Instant{Remote: listEvidenceAt}
	}
}

// rebuildGroups sorts the nodes into groups and lays the rings: points in proportion to d, each at a place of its
// own, so that a changed bound moves only that replica's points.
func (r *Router) rebuildGroups() {
	for _, g := range r.groups {
		g.members, g.ring = g.members[:0], g.ring[:0]
	}
	for _, n := range r.nodes {
		g := r.groupOf(n.Group)
		if g == nil {
			g = &replicaGroup{number: n.Group}
			r.groups = append(r.groups, g)
			slices.SortFunc(r.groups, func(a, b *replicaGroup) int { return cmp.Compare(a.number, b.number) })
		}
		n.group = g
		if n.State != Gone || r.settings.OnlyDrainingBinds {
			g.members = append(g.members, n)
		}
	}
	r.layRings()
}

func (r *Router) groupOf(number int) *replicaGroup {
	if i := slices.IndexFunc(r.groups, func(g *replicaGroup) bool { return g.number == number }); i >= 0 {
		return r.groups[i]
	}
	return nil
}

// primary returns the member with the newest evidence of being the primary, nil if none may be sent to.
func (r *Router) primary(g *replicaGroup) *nodeRecord {
	var p *nodeRecord
	for _, n := range g.members {
		if n.role == Primary && (p == nil || r.roleTime(n) > r.roleTime(p)) {
			p = n
		}
	}
	if p == nil || p.ejected || !r.mayReceive(p, true) {
		return nil
	}
	return p
}
