package routing

import "time"

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	minSilence       = 300 * ms  // attempts out this long, and beyond their aim, with nothing heard: suspect
	silenceMultiple  = 4         // ... or this multiple of its usual latency, if longer
	restartThreshold = 1000 * ms // a node unreachable this long is taken to have restarted cold
	minBackoff       = 500 * ms  // first pause of a mute node; doubles. Least time to spread list calls over
	maxBackoff       = 4 * time.Second
)

// eject takes a node out. A mute one left requests unanswered, whatever its probes say: a process can be up
// and its work stuck. It is given single requests again, ever more rarely, until one is answered. This also
// catches answers lost on the way; it harms a node whose every request is truly that long.
func (r *Router) eject(n *nodeRecord, mute bool) {
	if !n.ejected {
		n.ejected, n.ejectedAt, n.lastProbe = true, r.now, 0
	} else if n.unresponsive || !mute {
		return
	}
	n.unresponsive, n.backoff = mute, min(max(minBackoff, 2*n.backoff), maxBackoff)
	n.readmitAt = r.now + n.backoff
}

// readmit brings a node back that answers again. One whose process was not there for long is taken for cold,
// unless it kept up with the log: then it ran all the while, as did one merely silent, such as behind a cut.
func (r *Router) readmit(n *nodeRecord) {
	died := n.notListening
	if n.notListening = false; !n.ejected {
		return
	}
	n.ejected, n.halfOpen = false, true
	if died && !n.unresponsive && min(r.now-n.ejectedAt, r.latestNow()-n.position) > restartThreshold {
		n.restartedAt = r.now
	}
}
