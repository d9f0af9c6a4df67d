package routing

import (
	"math"
	"time"
)

// What the operators change while the router runs, its settings and bans of nodes; what they are shown; and answers
// that take long to pass on.

// retune takes in settings. An open request keeps its class, and no more attempts than either settings allow.
func (r *Router) retune(s Settings) {
	r.set, r.topWorth, r.tightest = s, 0, math.MaxInt64
	var aims []time.Duration
	for _, c := range s.Classes {
		aims = append(aims, c.LatencyObjective)
		r.topWorth = max(r.topWorth, c.Weight)
		if c.Read == BoundedRead {
			r.tightest = min(r.tightest, c.MaxAge)
		}
	}
	for _, q := range r.open {
		q.most = min(q.most, s.MaxAttempts)
	}
	r.work.Set(aims)
	r.quotas.Set(s.Quotas, s.Routers)
}

// ban takes in the bans, which outlast what the list says. While banned, a node is restarted: back from it, it is
// taken for cold, as the list may be late, and is asked at once where it stands.
func (r *Router) ban(bans map[NodeID]time.Duration) {
	old := r.bans
	r.bans = bans
	for id, at := range old {
		n := r.byID[id]
		if _, still := bans[id]; still || n == nil {
			continue
		}
		n.down, n.mute, n.died, n.fails, n.backoff, n.unproven = false, false, false, 0, 0, true
		if r.now-at > restarted {
			n.coldAt = r.now
		}
		r.probe(n)
	}
}

func (r *Router) banned(n *node) bool {
	_, banned := r.bans[n.ID]
	return banned
}

// mayUse keeps the drain rule, which binds for banned nodes too. A primary that drains or is banned takes what only
// it can take for half the grace.
func (r *Router) mayUse(n *node, asPrimary bool) bool {
	if at, banned := r.bans[n.ID]; banned && !(asPrimary && r.now-at < r.set.DrainGrace/2) {
		return false
	}
	switch {
	case n.toldOff == 0:
		return true
	case n.State == Gone:
		return r.set.OnlyDrainingBinds && !n.drained
	default:
		return asPrimary && r.now-n.toldOff < r.set.DrainGrace/2
	}
}

// Unavailable is how many nodes of the list are sent nothing now, by the operators' word, the list's or the router's own.
func (r *Router) Unavailable() (count int) {
	for _, n := range r.nodes {
		if n.State != Gone && (n.down || !r.mayUse(n, false)) {
			count++
		}
	}
	return count
}

// Size is how much a node works on at once, as a multiple of what a small one does.
func (r *Router) Size() float64 { return float64(r.size) }

// HasPrimaries tells whether every group has a primary, as far as is known. One that is banned will do: waiting brings no other.
func (r *Router) HasPrimaries() bool {
	for _, g := range r.groups {
		led := len(g.members) == 0 || r.primary(g) != nil
		for _, n := range g.members {
			led = led || n.role == Primary && r.banned(n)
		}
		if !led {
			return false
		}
	}
	return true
}

// began takes a request whose answer is on its way out of the open ones, and its attempt out of the node's count.
func (r *Router) began(id RequestID, attempt int) {
	if q := r.requests[id]; q != nil && !q.done && attempt < len(q.tries) && q.tries[attempt].pending {
		q.begun = true
		if t := &q.tries[attempt]; !t.lost {
			t.lost = true
			r.book(t.n, -1)
		}
	}
}
