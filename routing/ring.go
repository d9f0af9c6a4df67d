package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	maxRingPoints = 48 // ring points of a replica whose d is at the cap
)

type ringPoint struct {
	hash uint64
	node *nodeRecord
}

func (r *Router) layRings() {
	for _, g := range r.groups {
		changed := len(g.ring) == 0
		for _, n := range g.members {
			points := max(1, int(math.Round(maxRingPoints*n.bound/maxBound*r.capacityShare(n))))
			changed = changed || points != n.ringPoints
			n.ringPoints = points
		}
		if !changed {
			continue
		}
		g.ring = g.ring[:0]
		for _, n := range g.members {
			for j := range n.ringPoints {
				g.ring = append(g.ring, ringPoint{mix(uint64(n.ID)*0x9e3779b97f4a7c15 + uint64(j)), n})
			}
		}
		slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	}
}

// nextReplica finds the first fit replica with room, clockwise from the key's place, or else the one least over.
func (r *Router) nextReplica(g *replicaGroup, p *nodeRecord, q *openRequest) (least *nodeRecord, room bool) {
	if r.probeCandidate = nil; len(g.ring) == 0 {
		return nil, false
	}
	start, _ := slices.BinarySearchFunc(g.ring, mix(cmp.Or(q.Session, uint64(q.id))),
		func(p ringPoint, key uint64) int { return cmp.Compare(p.hash, key) })
	r.ringScans++
	left, over := len(g.members), 0.0
	for i := range g.ring {
		n := g.ring[(start+i)%len(g.ring)].node
		if n.lastScan == r.ringScans {
			continue
		}
		n.lastScan = r.ringScans
		if n != p && r.eligible(n, q, false) {
			crowd, bound := r.estimatedInFlight(n), q.boundMultiple*r.effectiveBound(n)
			excess := (crowd + 1) / bound
			switch fresh := r.fresh(n, q); {
			case fresh && crowd < bound:
				return n, true
			case !fresh && crowd < bound && r.betterProbeCandidate(n, q):
				r.probeCandidate = n
			case fresh && !n.halfOpen && (least == nil || excess < over):
				least, over = n, excess
			}
		}
		if left--; left == 0 {
			break
		}
	}
	return least, false
}

// betterProbeCandidate tells whether a replica with room but without proof is a better try than the one noted: the most
// advanced where nodes check, elsewhere the first on the ring whose report is out or may be asked for again,
// and rather one that was not too far behind when it last spoke.
func (r *Router) betterProbeCandidate(n *nodeRecord, q *openRequest) bool {
	if r.settings.StaleReads == StaleRejected {
		return r.probeCandidate == nil || n.position > r.probeCandidate.position
	}
	lag, last, wait, all := r.lag(n), n.lastProbe, retrySpacing, time.Duration(r.settings.Routers)
	if !n.probePending { // What it said just now will not have changed, all the less the further it was behind.
		last, wait = max(last, n.provenAt), max(retrySpacing, lag*all/(all+lagProbeRouters))
	}
	nearer := r.probeCandidate == nil || lag+q.class.MaxAge < r.lag(r.probeCandidate)
	return nearer && r.settings.CanProbe && (r.now-last < wait) == n.probePending
}
