package routing

import (
	"cmp"
	"slices"
	"time"

	"capercove/internal/capacity"
	"capercove/internal/clockoffset"
)

const (
	// goneRetention is the time for which a silent node that is listed as gone is remembered. It is a safety limit,
	// far longer than any restart: the earlier evidence still applies to a node that returns within it.
	goneRetention = 10 * time.Minute
	// listEvidenceAt is the time assigned to the list's hints at roles. It lies before all evidence from nodes.
	listEvidenceAt time.Duration = 1
)

// nodeRecord is this router's state for one data node.
type nodeRecord struct {
	Node
	group    *replicaGroup
	lastScan uint64 // the last search of the ring that visited it, by Router.ringScans

	drainingSince  time.Duration // when it was first listed as draining or gone; 0: it is ready
	listedDraining bool          // it was listed as draining after it was last ready
	restartedAt    time.Duration // when this router detected a restart; 0: never
	startedAt      time.Duration // its last listed start, by the nodes' clock; 0: not listed

	position           time.Duration // the highest plausible one reported, by the nodes' clock; never decreases
	positionReportedAt time.Duration // when a position was last reported
	role               Role
	roleAt             clockoffset.Instant // time of the evidence for role

	inFlight       int
	meanInFlight   float64            // running mean of inFlight
	meanInFlightAt time.Duration      // when meanInFlight was last updated
	slowStart      capacity.SlowStart // the work that it was sent and has answered, for its slow-start budget
	meanLatency    float64            // running mean of the durations of its attempts, in ns
	meanLoad       float64            // running mean of the estimated in-flight requests when those attempts were sent
	completed      float64            // work completed in this control period, in units of the mean request's work

	ejected      bool          // it is sent only probes
	unresponsive bool          // it left requests unanswered: a successful probe does not readmit it
	notListening bool          // no process listens there
	halfOpen     bool          // it was readmitted and has not answered a request yet
	ejectedAt    time.Duration // when it was last ejected
	readmitAt    time.Duration // when it may be sent one request
	backoff      time.Duration // time between such requests
	failures     int           // failures since its last answer to a request

	probePending       bool
	lastProbe          time.Duration
	lastHeard          time.Duration // last answer or successful probe
	lastAnswer         time.Duration // last answer to a request
	latestAnsweredSend time.Duration // the latest time at which a request was sent that was answered

	bound     float64 // limit of in-flight requests at size 1, set by the control loop
	delta     float64 // last change of the bound
	lastError float64 // last error of the control loop
	ratioSum  float64 // sum over this control period's samples of latency divided by objective
	samples   int     // number of samples in this control period

	ringPoints int
}

// replicaGroup is a primary and its replicas.
type replicaGroup struct {
	number         int
	primaryUnknown bool          // no available primary was known at the last health check
	members        []*nodeRecord // sorted by ID
	ring           []ringPoint
}

// applyList applies entries of the endpoint list. Nodes that are missing from a complete list are gone.
func (r *Router) applyList(entries []Node, complete bool) {
	r.subscribedAt = 0
	if complete {
		r.markMissingGone(entries)
	}
	for _, entry := range entries {
		r.applyEntry(entry)
	}
	r.removeExpired()
	r.rebuildGroups()
}

// markMissingGone marks the nodes as gone that are not among the entries.
func (r *Router) markMissingGone(entries []Node) {
	for _, node := range r.nodes {
		if !slices.ContainsFunc(entries, func(entry Node) bool { return entry.ID == node.ID }) {
			gone := node.Node
			gone.State = Gone
			r.applyEntry(gone)
		}
	}
}

// removeExpired removes the nodes that have been gone for longer than goneRetention, which bounds their number.
func (r *Router) removeExpired() {
	r.nodes = slices.DeleteFunc(r.nodes, func(node *nodeRecord) bool {
		idle := node.inFlight == 0 && !node.probePending
		expired := node.State == Gone && idle && r.now-max(node.drainingSince, node.lastHeard) > goneRetention
		if expired {
			delete(r.byID, node.ID)
		}
		return expired
	})
}

// applyEntry applies one entry of the endpoint list. An unknown node is recorded even if it is listed as gone: the
// drain grace starts with the first such entry.
func (r *Router) applyEntry(entry Node) {
	node := r.byID[entry.ID]
	if node == nil {
		node = r.addNode(entry)
	} else if entry.Started > node.Started { // It restarted: the evidence about its earlier process is void.
		node.role, node.roleAt = Replica, node.roleAt.Later(r.reportedInstant(entry.Started))
		node.ejected, node.failures, node.halfOpen = false, 0, true
	}
	node.startedAt = max(node.startedAt, entry.Started)
	node.Node = entry
	switch {
	case entry.State == Ready:
		node.drainingSince, node.listedDraining = 0, false
	case node.drainingSince == 0:
		node.drainingSince = r.now
	}
	node.listedDraining = node.listedDraining || entry.State == Draining
	// The hint applies only to a node that has not reported its role: an outdated list would make a deposed primary the
	// primary again, and reads there would be stale.
	if entry.Primary && r.settings.ListHintsRole && node.role == RoleUnknown {
		node.role, node.roleAt = Primary, clockoffset.Instant{Remote: listEvidenceAt}
	}
}

// addNode adds a record for a node that is unknown so far.
func (r *Router) addNode(entry Node) *nodeRecord {
	node := &nodeRecord{Node: entry, bound: maxBound / 2, lastHeard: r.now}
	r.byID[entry.ID] = node
	r.nodes = append(r.nodes, node)
	slices.SortFunc(r.nodes, func(a, b *nodeRecord) int { return cmp.Compare(a.ID, b.ID) })
	return node
}

// rebuildGroups assigns the nodes to their groups and rebuilds the rings.
func (r *Router) rebuildGroups() {
	for _, group := range r.groups {
		group.members, group.ring = group.members[:0], group.ring[:0]
	}
	for _, node := range r.nodes {
		group := r.groupByNumber(node.Group)
		if group == nil {
			group = &replicaGroup{number: node.Group}
			r.groups = append(r.groups, group)
			slices.SortFunc(r.groups, func(a, b *replicaGroup) int { return cmp.Compare(a.number, b.number) })
		}
		node.group = group
		if node.State != Gone || r.settings.MayUseGoneNodes {
			group.members = append(group.members, node)
		}
	}
	r.rebuildRings()
}

// groupByNumber returns the group with the number, or nil if there is none.
func (r *Router) groupByNumber(number int) *replicaGroup {
	for _, group := range r.groups {
		if group.number == number {
			return group
		}
	}
	return nil
}

// primary returns the member with the newest evidence of being the primary. It returns nil if there is none, or if that
// member is ejected or may not receive requests.
func (r *Router) primary(group *replicaGroup) *nodeRecord {
	var newest *nodeRecord
	for _, member := range group.members {
		if member.role == Primary && (newest == nil || r.roleTime(member) > r.roleTime(newest)) {
			newest = member
		}
	}
	if newest == nil || newest.ejected || !r.mayReceive(newest, true) {
		return nil
	}
	return newest
}
