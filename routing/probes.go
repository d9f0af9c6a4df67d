package routing

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	probeEvery = 1000 * ms // for replicas unheard from or off the ring
	probeFast  = 100 * ms  // while a group's primary is unknown or a node is down
	lagWait    = 12        // a replica is asked again after its lag, times the routers over so many more
	asksMost   = 4         // probes for one read
	probeShare = 0.1       // probes that each request pays for, beside those that reads ask for
	probeAlone = 0.3       // ... and this over the routers more: each must ask for itself
)

// watch probes what is in doubt and what is merely unheard from. Requests alone pay for the probes, for new
// nodes too: many routers that each probe every node would ask more than they send. Half is for the doubtful.
func (r *Router) watch() {
	for _, g := range r.groups {
		g.lost = r.primary(g) == nil
	}
	for i := range r.nodes {
		n := r.nodes[(int(r.turn)+i)%len(r.nodes)]
		wait, keep := probeEvery, float64(len(r.nodes)/2)
		switch {
		case (n.group.lost || n.down) && !r.banned(n):
			wait, keep = probeFast, 0
		case r.now-n.heard < probeEvery, r.banned(n):
			continue
		}
		if !n.probing && (n.probed == 0 || r.now-n.probed >= wait) && r.probes >= 1+keep {
			r.probe(n)
			r.probes--
		}
		if n.down && r.now >= n.retryAt && (n.mute || !r.set.CanProbe || r.probes < 1) {
			r.revive(n)
		}
	}
	r.turn++
}

func (r *Router) probe(n *node) {
	if !r.set.CanProbe || n.probing || (n.State == Gone && !r.set.OnlyDrainingBinds) {
		return
	}
	n.probing, n.probed = true, r.now
	r.emit(Action{Kind: Probe, Node: n.ID})
}

func (r *Router) probeDone(o *Outcome) {
	n := r.byID[o.Node]
	switch {
	case n == nil:
		return
	case o.Status == OK:
		r.learn(n, o.Report, r.told(o.Report.Position))
		n.heard, r.nextTick = r.now, r.now // held reads may wait for this proof
		if !n.mute {
			r.revive(n)
		}
	case o.Status == NotSent: // it tells nothing of the node
	default:
		n.died = n.died || o.Status == ConnectRefused
		if n.fails++; n.fails >= 2 {
			r.suspect(n, false)
		}
	}
	n.probing = false
}
