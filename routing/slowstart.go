package routing

import (
	"slices"
	"time"
)

const (
	// minSlowStartSends is the number of requests of mean work that all routers together may always send a node within
	// an overload window while it is warming up, whatever it has answered.
	minSlowStartSends = 3.0
	// slowStartDraws is the number of random draws in an overload window. Each one rounds a budget of less than one
	// send to one send or none.
	slowStartDraws = 2
	// workSpread is the assumed ratio of a heavy request's work to the mean of its class. It is a safety limit that
	// affects only classes whose work exceeds 4/3 of the mean request's work.
	workSpread = 4.0

	// fractionBits is the number of random bits in a float64 in [0, 1) that is made from an integer of wordBits.
	fractionBits = 53
	wordBits     = 64
)

// capacityShare returns the least share of its full capacity that a node has now: 1 unless the node is warming up.
func (r *Router) capacityShare(node *nodeRecord) float64 {
	age := r.settings.SlowStartTime
	if node.restartedAt > 0 {
		age = min(age, r.now-node.restartedAt)
	}
	if node.startedAt > 0 {
		age = min(age, r.earliestNow()-node.startedAt)
	}
	age = max(age, 0)
	if age >= r.settings.SlowStartTime {
		return 1
	}
	initialShare := r.settings.SlowStartShare
	return initialShare + (1-initialShare)*float64(age)/float64(r.settings.SlowStartTime)
}

// processStart returns the latest time, by the router's clock, at which the present process of a node can have started.
// Answers received after it are from that process.
func (r *Router) processStart(node *nodeRecord) time.Duration {
	started := node.restartedAt
	if node.startedAt > 0 {
		started = max(started, node.startedAt-r.offset.Earliest)
	}
	return started
}

// withinSlowStart reports whether the slow-start budget of a node allows the request, which prevents overload of a node
// that is warming up. The budget is this router's share of OverloadMultiple x current capacity x OverloadWindow,
// counted in requests of mean work. The current capacity is the greater of two estimates: a share of the work that warm
// nodes complete, and the work that the node itself answered in the last window. The second one is reliable even if
// there is little load elsewhere. A budget of less than one send is rounded to one or none at random, which keeps all
// routers together within the budget. It is not rounded up for heavy reads while another member is warm.
func (r *Router) withinSlowStart(node *nodeRecord, request *openRequest) bool {
	share := r.capacityShare(node)
	if share == 1 {
		node.slowStart.ForgetAnswers()
		return true
	}
	window := r.settings.OverloadWindow
	estimated := share * r.warmRate * window.Seconds()
	minimum := minSlowStartSends / float64(r.settings.Routers)
	started, multiple := r.processStart(node), r.settings.OverloadMultiple
	left := node.slowStart.Remaining(r.now, started, window, multiple, estimated, minimum)
	work := r.slowStartWork(request)
	sends := left / work
	if sends >= 1 {
		return true
	}
	if work > r.work.RelativeWork(request.Class) && r.hasWarmAlternative(node) {
		return false
	}
	return r.slowStartDraw(node) < sends
}

// slowStartDraw returns a pseudo-random number from 0 to slowStartDraws, which is drawn anew slowStartDraws times in
// each overload window. The times of the draws differ between routers.
func (r *Router) slowStartDraw(node *nodeRecord) float64 {
	window := r.settings.OverloadWindow
	seed := mix(r.seed ^ uint64(node.ID))
	shiftedNow := r.now + time.Duration(seed%uint64(window))
	draw := mix(seed ^ uint64(slowStartDraws*shiftedNow/window))
	return slowStartDraws * float64(draw>>(wordBits-fractionBits)) / (1 << fractionBits)
}

// slowStartWork returns the work that a request counts for in a slow-start budget, in units of the mean request's work.
// A request of a heavy class may need several times the mean of its class, and the few that fit into a window do not
// average out: it counts for more than the mean. Requests that only the primary can serve have no alternative and count
// for the mean.
func (r *Router) slowStartWork(request *openRequest) float64 {
	work := r.work.RelativeWork(request.Class)
	if request.class.Read == Write || request.class.Read == FreshRead {
		return work
	}
	return max(work, workSpread*(work-1))
}

// hasWarmAlternative reports whether another member of the node's group is warm and may receive reads.
func (r *Router) hasWarmAlternative(node *nodeRecord) bool {
	return slices.ContainsFunc(node.group.members, func(member *nodeRecord) bool {
		return r.capacityShare(member) == 1 && !member.ejected && r.mayReceive(member, false)
	})
}
