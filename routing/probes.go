package routing

import "time"

const (
	// probeInterval is the time between probes of a node that sends no answers. fastProbeInterval applies to ejected
	// nodes and to groups whose primary is unknown.
	probeInterval     = 1000 * ms
	fastProbeInterval = 100 * ms
	// probesPerRequest is the number of probes that each request adds to the probe budget. The budget is thus a share
	// of the traffic: many routers must not send more probes than requests.
	probesPerRequest = 0.1
	// extraProbesPerRequest, divided by the number of routers, is added to probesPerRequest. The fewer routers there
	// are, the more each router has to probe by itself.
	extraProbesPerRequest = 0.3
	// maxProbesPerRead limits the probes that one read triggers while no replica is known to be fresh.
	maxProbesPerRead = 4
	// lagProbeRouters sets the wait until a lagging replica is probed again: its lag times
	// routers/(routers+lagProbeRouters). The constant suits 3 to 300 routers.
	lagProbeRouters = 12
	// reprobeInterval is the least time between two probes of a node that reads trigger.
	reprobeInterval = 50 * ms
)

// checkHealth probes silent and ejected nodes and readmits those whose backoff has passed. The probe budget limits all
// of these probes, those of new nodes too. It grows with each request: if many routers each probed every node, they
// would send more probes than requests. Half of the budget is reserved for ejected nodes and for groups without a
// primary.
func (r *Router) checkHealth() {
	for _, group := range r.groups {
		group.primaryUnknown = r.primary(group) == nil
	}
	for i := range r.nodes {
		node := r.nodes[(int(r.probeRound)+i)%len(r.nodes)]
		urgent := node.group.primaryUnknown || node.ejected
		if r.excluded(node) || !urgent && r.now-node.lastHeard < probeInterval {
			continue
		}
		r.probeIfDue(node, urgent)
		r.readmitIfDue(node)
	}
	r.probeRound++
}

// probeIfDue probes a node if the probe interval has passed and the probe budget allows it.
func (r *Router) probeIfDue(node *nodeRecord, urgent bool) {
	interval, reserve := probeInterval, float64(len(r.nodes)/2)
	if urgent {
		interval, reserve = fastProbeInterval, 0
	}
	due := node.lastProbe == 0 || r.now-node.lastProbe >= interval
	if !node.probePending && due && r.probeBudget >= 1+reserve {
		r.probe(node)
		r.probeBudget--
	}
}

// addProbeBudget adds the share of one request to the probe budget, whose limit is one probe for each node.
func (r *Router) addProbeBudget() {
	extra := extraProbesPerRequest / float64(r.settings.Routers)
	r.probeBudget = min(float64(len(r.nodes)), r.probeBudget+probesPerRequest+extra)
}

// probe sends a probe to a node if probes are possible and none is pending there.
func (r *Router) probe(node *nodeRecord) {
	if !r.settings.CanProbe || node.probePending || (node.State == Gone && !r.settings.MayUseGoneNodes) {
		return
	}
	node.probePending, node.lastProbe = true, r.now
	r.emit(Action{Kind: Probe, Node: node.ID})
}

// probeDone processes the outcome of a probe. After a successful one, waiting requests are routed again at once, since
// the node may now be known to be fresh.
func (r *Router) probeDone(outcome *Outcome) {
	node := r.byID[outcome.Node]
	if node == nil {
		return
	}
	node.probePending = false
	switch outcome.Status {
	case OK:
		r.recordEvidence(node, outcome.HealthReport, r.reportedInstant(outcome.HealthReport.Position))
		node.lastHeard = r.now
		r.nextTick = r.now
		if !node.unresponsive {
			r.readmit(node)
		}
	case NotSent: // says nothing about the node
	default:
		node.notListening = node.notListening || outcome.Status == ConnectRefused
		node.failures++
		if node.failures >= maxProbeFailures {
			r.eject(node, false)
		}
	}
}

// betterProbeCandidate reports whether a replica that is below its bound but not known to be fresh is a better choice
// than the present candidate, which may be nil. If nodes reject stale reads themselves, the best one has the highest
// position. Otherwise it is the first on the ring whose probe is pending or may be repeated, unless a later one lags
// less by more than MaxAge.
func (r *Router) betterProbeCandidate(node, candidate *nodeRecord, request *openRequest) bool {
	if r.settings.StaleReads == StaleRejected {
		return candidate == nil || node.position > candidate.position
	}
	lag := r.lag(node)
	lessLag := candidate == nil || lag+request.class.MaxAge < r.lag(candidate)
	if !lessLag || !r.settings.CanProbe {
		return false
	}
	if node.probePending {
		return r.now-node.lastProbe < reprobeInterval
	}
	// The larger the reported lag, the longer it takes until the replica can be fresh enough.
	routers := time.Duration(r.settings.Routers)
	wait := max(reprobeInterval, lag*routers/(routers+lagProbeRouters))
	return r.now-max(node.lastProbe, node.positionReportedAt) >= wait
}

// awaitReport ensures that a probe of the candidate is pending, for whose report the read can wait. It returns false if
// the read has triggered too many probes. If nodes do not reject stale reads, a report proves freshness for no longer
// than the class's MaxAge: a router that receives few answers often knows of no fresh replica.
func (r *Router) awaitReport(request *openRequest, candidate *nodeRecord) bool {
	if candidate.probePending {
		return true
	}
	request.probesTriggered++
	if request.probesTriggered > maxProbesPerRead {
		return false
	}
	r.probe(candidate)
	return true
}
