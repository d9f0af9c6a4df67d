package routing

import (
	"math"
	"time"
)

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
