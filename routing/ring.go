package routing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxRingPoints is the number of ring points of a warm replica whose bound is maxBound.
	maxRingPoints = 48
	// ringHashStep is multiplied with a node's ID before hashing. It is 2^64 divided by the golden ratio, the increment
	// of splitmix64.
	ringHashStep = 0x9e3779b97f4a7c15
)

// ringPoint is one point of a replica on its group's hash ring.
type ringPoint struct {
	hash uint64
	node *nodeRecord
}

// rebuildRings rebuilds the rings of the groups in which a member's number of points has changed. That number is
// proportional to the member's bound and its share of full capacity. Each point has a fixed hash: a changed bound adds
// or removes points of that member only.
func (r *Router) rebuildRings() {
	for _, group := range r.groups {
		changed := len(group.ring) == 0
		for _, member := range group.members {
			points := max(1, int(math.Round(maxRingPoints*member.bound/maxBound*r.capacityShare(member))))
			changed = changed || points != member.ringPoints
			member.ringPoints = points
		}
		if changed {
			group.rebuildRing()
		}
	}
}

// rebuildRing computes the points of all members and sorts them by hash.
func (g *replicaGroup) rebuildRing() {
	g.ring = g.ring[:0]
	for _, member := range g.members {
		for j := range member.ringPoints {
			hash := mix(uint64(member.ID)*ringHashStep + uint64(j))
			g.ring = append(g.ring, ringPoint{hash: hash, node: member})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// ringStart returns the index of the first point at or after the hash of the request's key, or the length of the ring
// if there is none. The key is the session or, without one, the request's ID.
func (g *replicaGroup) ringStart(request *openRequest) int {
	key := mix(cmp.Or(request.Session, uint64(request.id)))
	start, _ := slices.BinarySearchFunc(g.ring, key, func(point ringPoint, key uint64) int {
		return cmp.Compare(point.hash, key)
	})
	return start
}

// ringSearch is the result of a search of the ring.
type ringSearch struct {
	replica        *nodeRecord // the first below its bound, else the least loaded; nil if none is suitable
	isBelowBound   bool        // replica is below its bound
	probeCandidate *nodeRecord // a replica below its bound that is not known to be fresh; may be nil
}

// nextReplica searches the ring clockwise from the request's key for the first eligible and fresh replica below its
// bound. If there is none, it returns the replica with the least load relative to its bound. The primary is skipped.
func (r *Router) nextReplica(group *replicaGroup, primary *nodeRecord, request *openRequest) (found ringSearch) {
	if len(group.ring) == 0 {
		return found
	}
	start := group.ringStart(request)
	r.ringScans++
	unseen, leastExcess := len(group.members), 0.0
	for i := range group.ring {
		node := group.ring[(start+i)%len(group.ring)].node
		if node.lastScan == r.ringScans {
			continue
		}
		node.lastScan = r.ringScans
		if node != primary && r.eligible(node, request, false) {
			load, bound := r.estimatedInFlight(node), request.boundMultiple*r.effectiveBound(node)
			excess := (load + 1) / bound
			switch fresh := r.fresh(node, request); {
			case fresh && load < bound:
				return ringSearch{replica: node, isBelowBound: true}
			case !fresh && load < bound && r.betterProbeCandidate(node, found.probeCandidate, request):
				found.probeCandidate = node
			case fresh && !node.halfOpen && (found.replica == nil || excess < leastExcess):
				found.replica, leastExcess = node, excess
			}
		}
		if unseen--; unseen == 0 {
			break
		}
	}
	return found
}
