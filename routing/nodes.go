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
	askEach  = 100 * ms         // times the routers: they spread their list calls after a failure over so long
	keepGone = 10 * time.Minute // and so is a node that is gone and says nothing
)

// listedAt is when the list's word on roles is taken to be from: before all evidence.
const listedAt time.Duration = 1

// node is what this router knows of one data node.
type node struct {
	Node
	group              *group
	walked             uint64        // last walk of the ring that looked at it
	toldOff            time.Duration // when it was first listed as draining or gone; 0: it is ready
	drained            bool          // it has been listed as draining
	coldAt             time.Duration // when this router found that it had restarted; 0: never
	startedAt          time.Duration // its last start as listed, by the nodes' clock; 0: long ago
	position, provenAt time.Duration // last proven position, which never goes back; when that was learned
	role               Role
	roleAt             clockoffset.Instant // time of the evidence for role

	inFlight                 int
	mean                     float64       // of inFlight, over presumeOver
	meanAt                   time.Duration // up to here
	fails                    int           // failures since its last answer
	completed                float64       // work completed in this loop period, in requests of mean work
	down, mute, died         bool          // only probes are sent; these do not help; no process there
	downAt, retryAt, backoff time.Duration // for a mute one: when it is given one request, the next pause
	unproven, probing        bool          // back from being down and yet to answer a request; a probe is out
	heard, answered          time.Duration // last answer or probe; last answer to a request
	overtook                 time.Duration // latest send of a request that was answered
	probed                   time.Duration
	cold                     capacity.Cold // what it was sent and has answered while cold
	latency                  float64       // running mean of its answers, in ns
	load                     float64       // running mean of crowd at the sends of those answers

	d, delta, lastError float64 // the loop: bound, last change, last error
	sum                 float64 // latency over aim, of this period's samples
	samples, points     int     // in this period; on the ring
}

// group is a primary and its replicas.
type group struct {
	number  int
	lost    bool    // no primary is known, as of the last watch
	members []*node // by ID
	ring    []point
}

// askOver is the time over which routers spread their next calls for the list after one that waited in
// vain, when as much has passed without any: a service that answers in turn would never get through with
// those that gave up. After another loss half of it does: nobody waits, or being turned away cost nothing.
func (r *Router) askOver() time.Duration {
	return min(max(pauseFirst, time.Duration(r.set.Routers)*askEach), cmp.Or(r.set.ListBindsAfter/3, pauseMost))
}

func (r *Router) list(entries []Node, full bool) {
	r.asked = 0
	if full {
		for _, n := range r.nodes {
			if !slices.ContainsFunc(entries, func(e Node) bool { return e.ID == n.ID }) {
				gone := n.Node
				gone.State = Gone
				r.entry(gone)
			}
		}
	}
	for _, e := range entries {
		r.entry(e)
	}
	r.nodes = slices.DeleteFunc(r.nodes, func(n *node) bool { // Against ever more of them.
		past := n.State == Gone && n.inFlight == 0 && !n.probing && r.now-max(n.toldOff, n.heard) > keepGone
		if past {
			delete(r.byID, n.ID)
		}
		return past
	})
	r.rebuild()
}

func (r *Router) entry(e Node) {
	n := r.byID[e.ID]
	if n == nil { // Also for one first listed as gone: the drain rule counts from that news.
		n = &node{Node: e, d: capAll / 2, heard: r.now}
		r.byID[e.ID] = n
		r.nodes = append(r.nodes, n)
		slices.SortFunc(r.nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	} else if e.Started > n.Started { // It restarted: what was known of its process is void.
		n.role, n.roleAt = Replica, n.roleAt.Later(r.told(e.Started))
		n.down, n.fails, n.unproven = false, 0, true
	}
	n.startedAt = max(n.startedAt, e.Started)
	n.Node = e
	switch {
	case e.State == Ready:
		n.toldOff, n.drained = 0, false
	case n.toldOff == 0:
		n.toldOff = r.now
	}
	n.drained = n.drained || e.State == Draining
	// The list's word counts only for a node that has not spoken for itself: a list far behind would call a
	// deposed primary back, and reads there would be stale.
	if e.Primary && r.set.ListHintsRole && n.role == RoleUnknown {
		n.role, n.roleAt = Primary, clockoffset.Instant{Remote: listedAt}
	}
}

// rebuild sorts the nodes into groups and lays the rings: points in proportion to d, each at a place of its
// own, so that a changed bound moves only that replica's points.
func (r *Router) rebuild() {
	for _, g := range r.groups {
		g.members, g.ring = g.members[:0], g.ring[:0]
	}
	for _, n := range r.nodes {
		g := r.groupOf(n.Group)
		if g == nil {
			g = &group{number: n.Group}
			r.groups = append(r.groups, g)
			slices.SortFunc(r.groups, func(a, b *group) int { return cmp.Compare(a.number, b.number) })
		}
		n.group = g
		if n.State != Gone || r.set.OnlyDrainingBinds {
			g.members = append(g.members, n)
		}
	}
	r.layRings()
}

func (r *Router) groupOf(number int) *group {
	if i := slices.IndexFunc(r.groups, func(g *group) bool { return g.number == number }); i >= 0 {
		return r.groups[i]
	}
	return nil
}

// primary returns the member with the newest evidence of being the primary, nil if none may be sent to.
func (r *Router) primary(g *group) *node {
	var p *node
	for _, n := range g.members {
		if n.role == Primary && (p == nil || r.roleTime(n) > r.roleTime(p)) {
			p = n
		}
	}
	if p == nil || p.down || !r.mayUse(p, true) {
		return nil
	}
	return p
}
