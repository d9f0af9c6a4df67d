package routing

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	probeInterval         = 1000 * ms // for replicas unheard from or off the ring
	fastProbeInterval     = 100 * ms  // while a group's primary is unknown or a node is down
	lagProbeRouters       = 12        // a replica is asked again after its lag, times the routers over so many more
	maxProbesPerRead      = 4         // probes for one read
	probesPerRequest      = 0.1       // probes that each request pays for, beside those that reads ask for
	probesPerRequestAlone = 0.3       // ... and this over the routers more: each must ask for itself
)

// checkHealth probes what is in doubt and what is merely unheard from. Requests alone pay for the probes, for new
// nodes too: many routers that each probe every node would ask more than they send. Half is for the doubtful.
func (r *Router) checkHealth() {
	for _, g := range r.groups {
		g.primaryUnknown = r.primary(g) == nil
	}
	for i := range r.nodes {
		n := r.nodes[(int(r.probeTurn)+i)%len(r.nodes)]
		wait, keep := probeInterval, float64(len(r.nodes)/2)
		switch {
		case (n.group.primaryUnknown || n.ejected) && !r.excluded(n):
			wait, keep = fastProbeInterval, 0
		case r.now-n.lastHeard < probeInterval, r.excluded(n):
			continue
		}
		if !n.probePending && (n.lastProbe == 0 || r.now-n.lastProbe >= wait) && r.probeBudget >= 1+keep {
			r.probe(n)
			r.probeBudget--
		}
		if n.ejected && r.now >= n.readmitAt && (n.unresponsive || !r.settings.CanProbe || r.probeBudget < 1) {
			r.readmit(n)
		}
	}
	r.probeTurn++
}

func (r *Router) probe(n *nodeRecord) {
	if !r.settings.CanProbe || n.probePending || (n.State == Gone && !r.settings.OnlyDrainingBinds) {
		return
	}
	n.probePending, n.lastProbe = true, r.now
	r.emit(Action{Kind: Probe, Node: n.ID})
}

func (r *Router) probeDone(o *Outcome) {
	n := r.byID[o.Node]
	switch {
	case n == nil:
		return
	case o.Status == OK:
		r.learn(n, o.Report, r.toldInstant(o.Report.Position))
		n.lastHeard, r.nextTick = r.now, r.now // held reads may wait for this proof
		if !n.unresponsive {
			r.readmit(n)
		}
	case o.Status == NotSent: // it tells nothing of the node
	default:
		n.notListening = n.notListening || o.Status == ConnectRefused
		if n.failures++; n.failures >= 2 {
			r.eject(n, false)
		}
	}
	n.probePending = false
}
