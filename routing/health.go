package routing

import "time"

// The timeouts below have fixed lower limits. The latency objective or a multiple of the node's mean latency applies
// instead if it is longer.
const (
	// minSilence is the least time after which a node is ejected if an attempt is pending and none is answered.
	minSilence = 300 * ms
	// silenceMultiple is the multiple of the node's mean latency for which the attempt must be pending, too.
	silenceMultiple = 4
	// restartThreshold is the time for which a node without a listening process must have been ejected to count as
	// restarted.
	restartThreshold = 1000 * ms
	// minBackoff is the first backoff after an ejection. It doubles with each further one, up to maxBackoff.
	minBackoff = 500 * ms
	maxBackoff = 4 * time.Second

	// Consecutive failures after which a node is ejected. A single one proves nothing: even a healthy node returns an
	// error or resets a connection now and then.
	maxProbeFailures      = 2
	maxConnectionFailures = 2
	maxFailures           = 3
)

// eject stops sending requests to a node. A node is unresponsive if it leaves requests unanswered. Successful probes do
// not readmit it: its process may answer probes while requests hang. After a backoff, which doubles with each ejection,
// it is sent a single request, until one is answered. Lost answers look the same and have the same effect. A node on
// which every request really takes that long is ejected by mistake.
func (r *Router) eject(node *nodeRecord, unresponsive bool) {
	if !node.ejected {
		node.ejected, node.ejectedAt = true, r.now
		node.lastProbe = 0
	} else if node.unresponsive || !unresponsive {
		return
	}
	node.unresponsive = unresponsive
	node.backoff = min(max(minBackoff, 2*node.backoff), maxBackoff)
	node.readmitAt = r.now + node.backoff
}

// readmit ends the ejection of a node. If no process listened there for longer than restartThreshold, the node goes
// through slow start. Two kinds of nodes do not, since their processes have not restarted: those whose replication
// position kept up, and those that were merely unresponsive, such as behind a network partition.
func (r *Router) readmit(node *nodeRecord) {
	wasNotListening := node.notListening
	node.notListening = false
	if !node.ejected {
		return
	}
	node.ejected, node.halfOpen = false, true
	if !wasNotListening || node.unresponsive {
		return
	}
	ejectedFor, lag := r.now-node.ejectedAt, r.latestNow()-node.position
	if min(ejectedFor, lag) > restartThreshold {
		node.restartedAt = r.now
	}
}

// readmitIfDue readmits an ejected node for one request after its backoff if no probe can readmit it, which is the case
// if the node is unresponsive or no probe can be sent.
func (r *Router) readmitIfDue(node *nodeRecord) {
	if !node.ejected || r.now < node.readmitAt {
		return
	}
	if node.unresponsive || !r.settings.CanProbe || r.probeBudget < 1 {
		r.readmit(node)
	}
}

// recordHealth updates a node's health from the result of an attempt. Timeouts are ignored: a client's timeout may be
// short, and ejectIfSilent checks for missing answers.
func (r *Router) recordHealth(node *nodeRecord, status Status) {
	switch status {
	case ConnectFailed, ConnectRefused, ConnectionBroken, NodeError:
		node.notListening = node.notListening || status == ConnectRefused
		node.failures++
		if node.failures >= maxFailures || node.failures == maxConnectionFailures && status != NodeError {
			r.eject(node, status == NodeError)
		}
	case TimedOut:
	default:
		node.lastHeard, node.lastAnswer = r.now, r.now
		node.failures, node.backoff, node.unresponsive = 0, 0, false
		r.readmit(node)
	}
}

// ejectIfSilent ejects a node if an attempt there has been pending for long and no other was answered for as long.
func (r *Router) ejectIfSilent(node *nodeRecord, waited, objective time.Duration) {
	meanLatency := time.Duration(node.meanLatency)
	silence := max(minSilence, silenceMultiple*meanLatency, objective)
	if waited > silence && r.now-node.lastAnswer > silence && !node.ejected {
		r.eject(node, true)
	}
}
