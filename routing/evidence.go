package routing

import "capercove/internal/clockoffset"

// smoothing is the weight of a new sample in the running means, which thus cover about ten samples.
const smoothing = 0.1

// recordEvidence records what a node reported about itself at an instant. A position never decreases, and the newest
// evidence of the role applies. A position in the future is ignored: either it is wrong, or the clocks differ by more
// than the estimated offset.
func (r *Router) recordEvidence(node *nodeRecord, evidence Evidence, at clockoffset.Instant) {
	if evidence.Position > 0 {
		if r.plausible(evidence.Position) {
			node.position = max(node.position, evidence.Position)
		}
		node.positionReportedAt = r.now
	}
	if evidence.Role != RoleUnknown && at.OnDatabaseClock(r.offset.Earliest) >= r.roleTime(node) {
		node.role, node.roleAt = evidence.Role, at
	}
	if evidence.ReportsQueue && r.capacityShare(node) == 1 {
		r.size = r.size.AfterReport(r.estimatedInFlight(node), evidence.QueueLength)
	}
}

// recordReports records the evidence that a node sent with the outcome of an attempt.
func (r *Router) recordReports(outcome *Outcome) {
	node := r.byID[outcome.Node]
	if node == nil {
		return
	}
	r.recordEvidence(node, outcome.AnswerEvidence, clockoffset.Instant{Own: r.now})
	r.recordEvidence(node, outcome.HealthReport, r.reportedInstant(outcome.HealthReport.Position))
}

// recordOutcome updates the node's health, completed work and latency from the outcome of an attempt.
func (r *Router) recordOutcome(request *openRequest, attempt *attemptRecord, outcome *Outcome) {
	node := attempt.node
	r.recordHealth(node, outcome.Status)
	if outcome.Status == OK {
		node.halfOpen = false
		work := r.work.RelativeWork(request.Class)
		node.completed += work
		node.slowStart.Answered(r.now, work)
		node.latestAnsweredSend = max(node.latestAnsweredSend, attempt.sentAt)
	}
	if outcome.Status == OK || outcome.Status == TimedOut {
		r.recordLatency(request, attempt, outcome)
	}
}

// recordLatency adds the duration of an attempt to the node's means and samples. For an attempt that timed out, the
// duration is a lower limit of the latency.
func (r *Router) recordLatency(request *openRequest, attempt *attemptRecord, outcome *Outcome) {
	node, duration := attempt.node, outcome.Duration
	if r.capacityShare(node) == 1 {
		r.work.Answered(request.Class, duration)
	}
	node.meanLatency += smoothing * (float64(duration) - node.meanLatency)
	node.meanLoad += smoothing * (attempt.loadAtSend - node.meanLoad)
	node.ratioSum += float64(duration) / float64(r.latencyObjective(request))
	node.samples++
}
