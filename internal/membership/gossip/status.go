package gossip

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"capercove/internal/membership"
)

// State is the cluster of poolers as one of them sees it, for operators and the maintenance agent. Times are in Unix
// ms, ages in ms.
type State struct {
	Name       string     `json:"name"`
	Waits      string     `json:"waits,omitempty"` // why this pooler has not joined yet
	Digest     string     `json:"digest"`          // equal at two poolers with equal views
	Agree      bool       `json:"agree"`           // no other pooler's view is known to differ
	AgreeSince int64      `json:"agree_since_ms"`  // when Agree last changed
	Side       string     `json:"side"`            // of a network partition: whole, larger, half, smaller or alone
	Known      int        `json:"known"`           // poolers that are live or failed
	Live       []string   `json:"live"`            // names of live poolers, including this one
	Poolers    []Pooler   `json:"poolers"`
	Databases  []Database `json:"databases"` // those with published observations
	Facts      int        `json:"facts"`
	OldestMS   int64      `json:"oldest_fact_ms"` // age
	Use        any        `json:"use,omitempty"`  // how this pooler uses the view
	Refused    int64      // packets that memberlist rejected, such as those of another cluster
	Counters
	membership.ViewCounters
}

// Pooler is one pooler of a State.
type Pooler struct {
	Name        string          `json:"name"`
	State       string          `json:"state"`    // live, suspected, gone (it failed) or left
	Since       int64           `json:"since_ms"` // when the state began; for this pooler itself: its start
	Incarnation uint64          `json:"incarnation"`
	Heard       int64           `json:"heard_ms,omitempty"` // age of its last answer to this pooler; 0: none or itself
	Digest      string          `json:"digest,omitempty"`
	Agrees      string          `json:"agrees,omitempty"` // yes, no, or ? if unknown
	At          string          `json:"at,omitempty"`     // address where it responds or is contacted again
	Says        json.RawMessage `json:"says,omitempty"`   // what it publishes about itself
}

// Database contains what live poolers publish about a database.
type Database struct {
	Name  string                       `json:"name"`
	Words []membership.PeerObservation `json:"words"`
}

// Values of Pooler.State.
const (
	poolerLive      = "live"
	poolerSuspected = "suspected"
	poolerGone      = "gone"
	poolerLeft      = "left"
)

// Values of State.Side.
const (
	sideWhole   = "whole"
	sideLarger  = "larger"
	sideHalf    = "half"
	sideSmaller = "smaller"
	sideAlone   = "alone"
)

// State returns the cluster of poolers as this pooler sees it.
func (g *Gossip) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contacts.mu.Lock()
	defer g.contacts.mu.Unlock()
	now, view := g.clock(), g.disseminator.View
	facts, oldest := view.FactAge()
	state := State{
		Name:         g.name,
		Waits:        g.waitReason,
		Digest:       formatDigest(view.Digest()),
		Agree:        g.agreement.agrees,
		AgreeSince:   g.agreement.since.Milliseconds(),
		Live:         view.Live(),
		Facts:        facts,
		Refused:      g.contacts.rejected,
		Counters:     g.counters,
		ViewCounters: view.Counters,
	}
	if facts > 0 {
		state.OldestMS = max(0, (now - oldest).Milliseconds())
	}
	published := map[string]json.RawMessage{}
	for _, fact := range view.FactsUnder(membership.Key{}) {
		if json.Valid(fact.Value) { // another pooler may publish anything
			published[fact.Owner] = fact.Value
		}
	}
	for _, name := range state.Live {
		pooler := g.livePooler(now, name)
		pooler.Says = published[name]
		state.Poolers = append(state.Poolers, pooler)
	}
	failed := 0
	for _, end := range view.Gone() {
		if !end.Left {
			failed++
		}
		state.Poolers = append(state.Poolers, g.gonePooler(end))
	}
	state.Known = len(state.Live) + failed
	state.Side = side(len(state.Live), failed)
	observations := view.Observations()
	for _, database := range slices.Sorted(maps.Keys(observations)) {
		state.Databases = append(state.Databases, Database{database, observations[database]})
	}
	return state
}

// livePooler describes a pooler that is live in the view. The caller holds both locks.
func (g *Gossip) livePooler(now time.Duration, name string) Pooler {
	pooler := Pooler{Name: name, State: poolerLive}
	pooler.Incarnation, _ = g.disseminator.View.Incarnation(name)
	member := g.members[name]
	switch {
	case member != nil:
		g.describeMember(now, member, &pooler)
	case name == g.name:
		pooler.Since = g.started.Milliseconds()
		pooler.Digest = formatDigest(g.disseminator.View.Digest())
		pooler.At = g.config.Listen
	}
	return pooler
}

// describeMember adds what is known from contact with a member. The caller holds both locks.
func (g *Gossip) describeMember(now time.Duration, member *peer, pooler *Pooler) {
	pooler.Since, pooler.At = member.foundAt.Milliseconds(), member.node.Address()
	if at := g.contacts.lastAnswer[pooler.Name]; at > 0 {
		pooler.Heard = max(1, (now - at).Milliseconds())
	}
	if at := g.contacts.suspectedSince[pooler.Name]; at > 0 {
		pooler.State, pooler.Since = poolerSuspected, at.Milliseconds()
	}
	received := g.agreement.peers[pooler.Name]
	if received == nil {
		return
	}
	pooler.Agrees = g.agreement.verdict(now, received)
	if received.known {
		pooler.Digest = formatDigest(received.digest)
	}
}

// gonePooler describes a pooler that left or failed. The caller holds mu.
func (g *Gossip) gonePooler(end membership.End) Pooler {
	pooler := Pooler{
		Name: end.Owner, State: poolerGone, Since: end.At.Milliseconds(), Incarnation: end.Incarnation,
		At: g.remembered[end.Owner].addr,
	}
	if end.Left {
		pooler.State = poolerLeft
	}
	return pooler
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) } // hexadecimal

// side returns the size of this pooler's side of a network partition, relative to the poolers that failed. Crashed
// poolers and unreachable ones cannot be distinguished.
func side(live, failed int) string {
	switch {
	case failed == 0:
		return sideWhole
	case live == 1:
		return sideAlone
	case live > failed:
		return sideLarger
	case live == failed:
		return sideHalf
	}
	return sideSmaller
}

// Incarnation returns this pooler's incarnation. It increases when this pooler refutes a report that it is gone.
func (g *Gossip) Incarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disseminator.Publisher.Incarnation()
}

// Joined reports whether this process has joined. It has not while another process uses its listen address.
func (g *Gossip) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list != nil
}
