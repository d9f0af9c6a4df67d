package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// Memberlist calls the methods in this file on its own goroutines.

// eventDelegate receives changes in memberlist's list of members.
type eventDelegate struct{ g *Gossip }

// NotifyJoin implements memberlist.EventDelegate.
func (e eventDelegate) NotifyJoin(node *memberlist.Node) {
	if node.Name == e.g.name {
		return
	}
	e.g.addMember(node)
	e.g.log.Info().Str("pooler", node.Name).Str("at", node.Address()).Msg("membership: pooler joined")
}

func (g *Gossip) addMember(node *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.departed, node.Name)
	g.contacts.forget(node.Name) // A suspicion of its previous incarnation may have arrived late.
	delete(g.remembered, node.Name)
	g.unsaved = true
	g.members[node.Name] = &peer{node: copyNode(node), foundAt: g.clock()}
}

// copyNode copies the fields of a node that are used here, because memberlist modifies its nodes.
func copyNode(node *memberlist.Node) memberlist.Node {
	return memberlist.Node{Name: node.Name, Addr: slices.Clone(node.Addr), Port: node.Port}
}

// NotifyLeave implements memberlist.EventDelegate. It is also called for members that failed.
func (e eventDelegate) NotifyLeave(node *memberlist.Node) {
	if node.Name == e.g.name {
		return
	}
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	e.g.contacts.forget(node.Name)
	if member := e.g.members[node.Name]; member != nil {
		member.lostAt = e.g.clock()
		e.g.departed[node.Name] = member
		delete(e.g.members, node.Name)
	}
}

// NotifyUpdate implements memberlist.EventDelegate. The address of a member may have changed.
func (e eventDelegate) NotifyUpdate(node *memberlist.Node) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if member := e.g.members[node.Name]; member != nil {
		member.node = copyNode(node)
		e.g.unsaved = true
	}
}

// conflictDelegate receives reports of two poolers with the same name.
type conflictDelegate struct{ g *Gossip }

// NotifyConflict implements memberlist.ConflictDelegate.
func (c conflictDelegate) NotifyConflict(existing, other *memberlist.Node) {
	c.g.reject(&c.g.counters.Conflicts, fmt.Sprintf("two poolers use the name %q, at %s and %s",
		existing.Name, existing.Address(), other.Address()))
}

// pingDelegate adds the digest of the view to each answer to a probe of memberlist.
type pingDelegate struct{ g *Gossip }

const ackPayloadBytes = 1 + 8 // protocol version and digest

// AckPayload implements memberlist.PingDelegate.
func (p pingDelegate) AckPayload() []byte {
	return binary.BigEndian.AppendUint64([]byte{protocolVersion}, p.g.digest.Load())
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (p pingDelegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, payload []byte) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	now := p.g.clock()
	if p.g.members[node.Name] != nil {
		p.g.contacts.recordAnswer(node.Name, now)
	}
	if len(payload) == ackPayloadBytes && payload[0] == protocolVersion {
		p.g.agreement.receive(now, node.Name, binary.BigEndian.Uint64(payload[1:]))
	}
}

// userDelegate receives messages of other poolers. Memberlist's own broadcasts and state exchange are not used.
type userDelegate struct{ g *Gossip }

// NotifyMsg implements memberlist.Delegate. Memberlist uses the buffer again after it returns.
func (d userDelegate) NotifyMsg(data []byte) { d.g.receive(bytes.Clone(data)) }

// NodeMeta implements memberlist.Delegate: there is none.
func (userDelegate) NodeMeta(int) []byte { return nil }

// GetBroadcasts implements memberlist.Delegate: there are none.
func (userDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate: there is none.
func (userDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate: it ignores the state.
func (userDelegate) MergeRemoteState([]byte, bool) {}

// memberlistLog parses memberlist's log, because memberlist reports suspicions of members nowhere else. It counts
// warnings and errors as rejected packets, because most of them are about rejected input.
type memberlistLog struct{ g *Gossip }

var suspectLine = regexp.MustCompile(`memberlist: Suspect (.+) has failed, no acks received`)

// Write implements io.Writer. It parses one line and returns no errors.
func (l memberlistLog) Write(line []byte) (int, error) {
	if match := suspectLine.FindSubmatch(line); match != nil {
		name := string(match[1])
		l.g.contacts.recordSuspicion(name, l.g.clock())
		l.g.log.Debug().Str("pooler", name).Msg("membership: pooler suspected")
	} else if bytes.Contains(line, []byte("[ERR]")) || bytes.Contains(line, []byte("[WARN]")) {
		l.g.contacts.recordRejection()
		l.g.log.Debug().Msg("membership: " + string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}
