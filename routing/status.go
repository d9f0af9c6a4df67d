package routing

import "time"

// NodeStatus is what a router holds of a node by its own evidence, to be shown. Nothing here decides.
type NodeStatus struct {
	ID        NodeID
	Health    Health
	Cold      bool
	Primary   bool          // by what nodes said, not by the list
	Position  time.Duration // the last proven one, by the nodes' clock; 0: none
	LastHeard time.Duration // the last answer or report; 0: none
	Behind    time.Duration // how far its position was behind the nodes' clock then, at the most; of no meaning without a position
}

// Health is how a node does.
type Health uint8

const (
	HealthUnknown Health = iota // no evidence
	Healthy
	Unresponsive // out: it left requests unanswered
	Failing      // out: it errs, breaks connections or is not reached
	NotListening // out: no process is there
)

// Knows tells whether the router still remembers a node.
func (r *Router) Knows(id NodeID) bool { return r.byID[id] != nil }

// NodeStatuses appends what the router holds of each node that is not gone, by ID.
func (r *Router) NodeStatuses(out []NodeStatus) []NodeStatus {
	for _, n := range r.nodes {
		if n.State == Gone {
			continue
		}
		s := NodeStatus{ID: n.ID, Cold: r.capacityShare(n) < 1, Primary: n.role == Primary && r.roleTime(n) > listEvidenceAt, Position: n.position,
			LastHeard: max(n.lastAnswer, n.provenAt)}
		s.Behind = s.LastHeard + r.offset.Latest - s.Position
		switch {
		case n.ejected && n.unresponsive:
			s.Health = Unresponsive
		case n.ejected && n.notListening:
			s.Health = NotListening
		case n.ejected:
			s.Health = Failing
		case s.LastHeard > 0:
			s.Health = Healthy
		}
		out = append(out, s)
	}
	return out
}

// Unavailable is how many nodes of the list are sent nothing now, by the operators' word, the list's or the router's own.
func (r *Router) Unavailable() (count int) {
	for _, n := range r.nodes {
		if n.State != Gone && (n.ejected || !r.mayReceive(n, false)) {
			count++
		}
	}
	return count
}

// Size is how much a node works on at once, as a multiple of what a small one does.
func (r *Router) Size() float64 { return float64(r.size) }

// HasPrimaries tells whether every group has a primary, as far as is known. One that is banned will do: waiting brings no other.
func (r *Router) HasPrimaries() bool {
	for _, g := range r.groups {
		led := len(g.members) == 0 || r.primary(g) != nil
		for _, n := range g.members {
			led = led || n.role == Primary && r.excluded(n)
		}
		if !led {
			return false
		}
	}
	return true
}
