package routing

import "time"

// NodeStatus is the state of a node by the router's own evidence, for operators. No decision of the router uses it.
type NodeStatus struct {
	ID        NodeID
	Health    Health
	WarmingUp bool
	Primary   bool          // by the nodes' reports, not by the list's hint
	Position  time.Duration // the last reported one, by the nodes' clock; 0: none
	LastHeard time.Duration // router's time of the last answer or report; 0: none
	// MaxLag is the greatest replication lag that the node can have had at LastHeard. It is meaningless without a
	// Position.
	MaxLag time.Duration
}

// Health is the health of a node, by evidence.
type Health uint8

// The health states of nodes.
const (
	HealthUnknown Health = iota // no evidence
	Healthy
	Unresponsive // ejected: it left requests unanswered
	Failing      // ejected: requests or probes fail, or connections break
	NotListening // ejected: no process listens there
)

// HasNode reports whether the router has a record of the node.
func (r *Router) HasNode(id NodeID) bool { return r.byID[id] != nil }

// NodeStatuses appends the status of each node that is not gone to out, sorted by ID.
func (r *Router) NodeStatuses(out []NodeStatus) []NodeStatus {
	for _, node := range r.nodes {
		if node.State != Gone {
			out = append(out, r.nodeStatus(node))
		}
	}
	return out
}

// nodeStatus returns the status of one node.
func (r *Router) nodeStatus(node *nodeRecord) NodeStatus {
	lastHeard := max(node.lastAnswer, node.positionReportedAt)
	return NodeStatus{
		ID:        node.ID,
		Health:    node.health(),
		WarmingUp: r.capacityShare(node) < 1,
		Primary:   node.role == Primary && r.roleTime(node) > listEvidenceAt,
		Position:  node.position,
		LastHeard: lastHeard,
		MaxLag:    lastHeard + r.offset.Latest - node.position,
	}
}

// health returns the node's health state.
func (n *nodeRecord) health() Health {
	switch {
	case n.ejected && n.unresponsive:
		return Unresponsive
	case n.ejected && n.notListening:
		return NotListening
	case n.ejected:
		return Failing
	case max(n.lastAnswer, n.positionReportedAt) > 0:
		return Healthy
	default:
		return HealthUnknown
	}
}

// UnavailableNodes returns how many listed nodes receive no requests, other than those that only a primary can serve:
// the excluded, draining and ejected ones.
func (r *Router) UnavailableNodes() (count int) {
	for _, node := range r.nodes {
		if node.State != Gone && (node.ejected || !r.mayReceive(node, false)) {
			count++
		}
	}
	return count
}

// NodeSize returns the estimated size of the nodes: the number of requests that a node works on at once, as a multiple
// of capacity.UnitConcurrency.
func (r *Router) NodeSize() float64 { return float64(r.size) }

// HasPrimaries reports whether every group has an available primary, by the router's evidence. An excluded primary
// counts too: no other would be found by waiting.
func (r *Router) HasPrimaries() bool {
	for _, group := range r.groups {
		if len(group.members) > 0 && r.primary(group) == nil && !r.hasExcludedPrimary(group) {
			return false
		}
	}
	return true
}

// hasExcludedPrimary reports whether operators have excluded a primary of the group.
func (r *Router) hasExcludedPrimary(group *replicaGroup) bool {
	for _, member := range group.members {
		if member.role == Primary && r.excluded(member) {
			return true
		}
	}
	return false
}
