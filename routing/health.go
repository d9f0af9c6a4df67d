package routing

import "time"

// Tuned values. Times are on the router's clock, bounds in requests in flight.
const (
	silence    = 300 * ms  // attempts out this long, and beyond their aim, with nothing heard: suspect
	silenceBy  = 4         // ... or this multiple of its usual latency, if longer
	restarted  = 1000 * ms // a node unreachable this long is taken to have restarted cold
	pauseFirst = 500 * ms  // first pause of a mute node; doubles. Least time to spread list calls over
	pauseMost  = 4 * time.Second
)

// suspect takes a node out. A mute one left requests unanswered, whatever its probes say: a process can be up
// and its work stuck. It is given single requests again, ever more rarely, until one is answered. This also
// catches answers lost on the way; it harms a node whose every request is truly that long.
func (r *Router) suspect(n *node, mute bool) {
	if !n.down {
		n.down, n.downAt, n.probed = true, r.now, 0
	} else if n.mute || !mute {
		return
	}
	n.mute, n.backoff = mute, min(max(pauseFirst, 2*n.backoff), pauseMost)
	n.retryAt = r.now + n.backoff
}

// revive brings a node back that answers again. One whose process was not there for long is taken for cold,
// unless it kept up with the log: then it ran all the while, as did one merely silent, such as behind a cut.
func (r *Router) revive(n *node) {
	died := n.died
	if n.died = false; !n.down {
		return
	}
	n.down, n.unproven = false, true
	if died && !n.mute && min(r.now-n.downAt, r.latestNow()-n.position) > restarted {
		n.coldAt = r.now
	}
}
