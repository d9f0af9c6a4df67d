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

// What memberlist calls, on goroutines of its own.

type events struct{ g *Gossip }

func (e events) NotifyJoin(n *memberlist.Node) {
	if n.Name == e.g.name {
		return
	}
	e.g.mu.Lock()
	now := e.g.clock()
	delete(e.g.missing, n.Name)
	e.g.heard.forget(n.Name) // against a suspicion of its former life that came late
	delete(e.g.remembered, n.Name)
	e.g.changed = true
	e.g.members[n.Name] = &peer{node: memberlist.Node{Name: n.Name, Addr: slices.Clone(n.Addr), Port: n.Port}, since: now} // theirs changes
	e.g.mu.Unlock()
	e.g.log.Info().Str("pooler", n.Name).Str("at", n.Address()).Msg("fleet: is there")
}

func (e events) NotifyLeave(n *memberlist.Node) {
	if n.Name == e.g.name {
		return
	}
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	e.g.heard.forget(n.Name)
	if p := e.g.members[n.Name]; p != nil {
		p.went = e.g.clock()
		e.g.missing[n.Name] = p
		delete(e.g.members, n.Name)
	}
}

func (e events) NotifyUpdate(n *memberlist.Node) { // Its address may be another one.
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if p := e.g.members[n.Name]; p != nil {
		p.node = memberlist.Node{Name: n.Name, Addr: slices.Clone(n.Addr), Port: n.Port}
		e.g.changed = true
	}
}

type conflicts struct{ g *Gossip }

func (c conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.g.turnDown(&c.g.count.Conflicts, fmt.Sprintf("two poolers bear the name %q, at %s and %s", existing.Name, existing.Address(), other.Address()))
}

// pings tell with each answer to memberlist's own question what the view is.
type pings struct{ g *Gossip }

func (p pings) AckPayload() []byte {
	return binary.BigEndian.AppendUint64([]byte{version}, p.g.digest.Load())
}

func (p pings) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	now := p.g.clock()
	if p.g.members[n.Name] != nil {
		p.g.heard.answer(n.Name, now)
	}
	if len(payload) == 9 && payload[0] == version {
		p.g.agreement.tell(now, n.Name, binary.BigEndian.Uint64(payload[1:]))
	}
}

type delegate struct{ g *Gossip }

func (d delegate) NotifyMsg(b []byte)            { d.g.hear(bytes.Clone(b)) }
func (delegate) NodeMeta(int) []byte             { return nil }
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

// library passes on what memberlist logs: its warnings and errors are bad input as often as not. That it suspects a member it
// tells nowhere else.
type library struct{ g *Gossip }

var suspects = regexp.MustCompile(`memberlist: Suspect (.+) has failed, no acks received`)

func (l library) Write(line []byte) (int, error) {
	if m := suspects.FindSubmatch(line); m != nil {
		l.g.heard.suspect(string(m[1]), l.g.clock())
		l.g.log.Debug().Str("pooler", string(m[1])).Msg("fleet: does not answer")
	} else if bytes.Contains(line, []byte("[ERR]")) || bytes.Contains(line, []byte("[WARN]")) {
		l.g.heard.refuse()
		l.g.log.Debug().Msg("fleet: " + string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}
