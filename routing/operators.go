package routing

import (
	"math"
	"time"
)

// applySettings takes in settings. An open request keeps its class, and no more attempts than either settings allow.
func (r *Router) applySettings(s Settings) {
	r.settings, r.topWeight, r.tightestMaxAge = s, 0, math.MaxInt64
	var aims []time.Duration
	for _, c := range s.Classes {
		aims = append(aims, c.LatencyObjective)
		r.topWeight = max(r.topWeight, c.Weight)
		if c.Read == BoundedRead {
			r.tightestMaxAge = min(r.tightestMaxAge, c.MaxAge)
		}
	}
	for _, q := range r.open {
		q.maxAttempts = min(q.maxAttempts, s.MaxAttempts)
	}
	r.work.Set(aims)
	r.quotas.Set(s.Quotas, s.Routers)
}

// applyExclusions takes in the bans, which outlast what the list says. While banned, a node is restarted: back from it, it is
// taken for cold, as the list may be late, and is asked at once where it stands.
func (r *Router) applyExclusions(bans map[NodeID]time.Duration) {
	old := r.exclusions
	r.exclusions = bans
	for id, at := range old {
		n := r.byID[id]
		if _, still := bans[id]; still || n == nil {
			continue
		}
		n.ejected, n.unresponsive, n.notListening, n.failures, n.backoff, n.halfOpen = false, false, false, 0, 0, true
		if r.now-at > restartThreshold {
			n.restartedAt = r.now
		}
		r.probe(n)
	}
}

func (r *Router) excluded(n *nodeRecord) bool {
	_, banned := r.exclusions[n.ID]
	return banned
}

// mayReceive keeps the drain rule, which binds for banned nodes too. A primary that drains or is banned takes what only
// it can take for half the grace.
func (r *Router) mayReceive(n *nodeRecord, asPrimary bool) bool {
	if at, banned := r.exclusions[n.ID]; banned && !(asPrimary && r.now-at < r.settings.DrainGrace/2) {
		return false
	}
	switch {
	case n.drainingSince == 0:
		return true
	case n.State == Gone:
		return r.settings.OnlyDrainingBinds && !n.listedDraining
	default:
		return asPrimary && r.now-n.drainingSince < r.settings.DrainGrace/2
	}
}
