package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	pointsMost = 48 // ring points of a replica whose d is at the cap
)

type point struct {
	hash uint64
	n    *node
}

func (r *Router) layRings() {
	for _, g := range r.groups {
		changed := len(g.ring) == 0
		for _, n := range g.members {
			points := max(1, int(math.Round(pointsMost*n.d/capAll*r.warmth(n))))
			changed = changed || points != n.points
			n.points = points
		}
		if !changed {
			continue
		}
		g.ring = g.ring[:0]
		for _, n := range g.members {
			for j := range n.points {
				g.ring = append(g.ring, point{mix(uint64(n.ID)*0x9e3779b97f4a7c15 + uint64(j)), n})
			}
		}
		slices.SortFunc(g.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	}
}

// walk finds the first fit replica with room, clockwise from the key's place, or else the one least over.
func (r *Router) walk(g *group, p *node, q *request) (least *node, room bool) {
	if r.doubt = nil; len(g.ring) == 0 {
		return nil, false
	}
	start, _ := slices.BinarySearchFunc(g.ring, mix(cmp.Or(q.Session, uint64(q.id))),
		func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	r.walks++
	left, over := len(g.members), 0.0
	for i := range g.ring {
		n := g.ring[(start+i)%len(g.ring)].n
		if n.walked == r.walks {
			continue
		}
		n.walked = r.walks
		if n != p && r.usable(n, q, false) {
			crowd, bound := r.crowd(n), q.room*r.bound(n)
			excess := (crowd + 1) / bound
			switch fresh := r.fresh(n, q); {
			case fresh && crowd < bound:
				return n, true
			case !fresh && crowd < bound && r.better(n, q):
				r.doubt = n
			case fresh && !n.unproven && (least == nil || excess < over):
				least, over = n, excess
			}
		}
		if left--; left == 0 {
			break
		}
	}
	return least, false
}

// better tells whether a replica with room but without proof is a better try than the one noted: the most
// advanced where nodes check, elsewhere the first on the ring whose report is out or may be asked for again,
// and rather one that was not too far behind when it last spoke.
func (r *Router) better(n *node, q *request) bool {
	if r.set.StaleReads == StaleRejected {
		return r.doubt == nil || n.position > r.doubt.position
	}
	lag, last, wait, all := r.lag(n), n.probed, again, time.Duration(r.set.Routers)
	if !n.probing { // What it said just now will not have changed, all the less the further it was behind.
		last, wait = max(last, n.provenAt), max(again, lag*all/(all+lagWait))
	}
	nearer := r.doubt == nil || lag+q.class.MaxAge < r.lag(r.doubt)
	return nearer && r.set.CanProbe && (r.now-last < wait) == n.probing
}
