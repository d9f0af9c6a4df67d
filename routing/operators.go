package routing

import (
	"math"
	"time"
)

// graceDivisor is the divisor of the drain grace that gives its first part. In that part, a draining or excluded
// primary still receives the requests that only a primary can serve. The rest is left to the requests in flight.
const graceDivisor = 2

// applySettings replaces the settings. An open request keeps its class, and its number of attempts stays within both
// the old and the new limit.
func (r *Router) applySettings(settings Settings) {
	r.settings, r.maxWeight, r.leastMaxAge = settings, 0, math.MaxInt64
	var objectives []time.Duration
	for i := range settings.Classes {
		class := &settings.Classes[i]
		objectives = append(objectives, class.LatencyObjective)
		r.maxWeight = max(r.maxWeight, class.Weight)
		if class.Read == BoundedRead {
			r.leastMaxAge = min(r.leastMaxAge, class.MaxAge)
		}
	}
	for _, request := range r.open {
		request.maxAttempts = min(request.maxAttempts, settings.MaxAttempts)
	}
	r.work.SetObjectives(objectives)
	r.quotas.Set(settings.Quotas, settings.Routers)
}

// applyExclusions replaces the operators' exclusions, which apply whatever the endpoint list says. A node is assumed to
// have restarted during its exclusion, since the list may report a restart late: after the exclusion the node goes
// through slow start, unless the exclusion was no longer than restartThreshold. It is probed at once.
func (r *Router) applyExclusions(exclusions map[NodeID]time.Duration) {
	before := r.exclusions
	r.exclusions = exclusions
	for _, node := range r.nodes {
		since, wasExcluded := before[node.ID]
		if _, isExcluded := exclusions[node.ID]; isExcluded || !wasExcluded {
			continue
		}
		node.ejected, node.unresponsive, node.notListening = false, false, false
		node.failures, node.backoff = 0, 0
		node.halfOpen = true
		if r.now-since > restartThreshold {
			node.restartedAt = r.now
		}
		r.probe(node)
	}
}

// excluded reports whether operators have excluded a node.
func (r *Router) excluded(node *nodeRecord) bool {
	_, excluded := r.exclusions[node.ID]
	return excluded
}

// mayReceive reports whether requests may be sent to a node, given its state in the endpoint list and the exclusions. A
// draining or excluded node receives none. The exception is a primary, which still receives the requests that only it
// can serve during the first part of the drain grace.
func (r *Router) mayReceive(node *nodeRecord, asPrimary bool) bool {
	grace := r.settings.DrainGrace / graceDivisor
	if since, excluded := r.exclusions[node.ID]; excluded && (!asPrimary || r.now-since >= grace) {
		return false
	}
	switch {
	case node.drainingSince == 0:
		return true
	case node.State == Gone:
		return r.settings.MayUseGoneNodes && !node.listedDraining
	default:
		return asPrimary && r.now-node.drainingSince < grace
	}
}
