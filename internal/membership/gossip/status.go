package gossip

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"capercove/internal/membership"
)

// State is the fleet as one pooler sees it, to be shown. Times are Unix ms, ages in ms.
type State struct {
	Name       string     `json:"name"`
	Waits      string     `json:"waits,omitempty"` // why this pooler is not part of the fleet yet
	Digest     string     `json:"digest"`          // equal at two poolers that hold the same
	Agree      bool       `json:"agree"`           // all that are there hold the same, as far as they have said
	AgreeSince int64      `json:"agree_since_ms"`  // since when that is as it is
	Side       string     `json:"side"`            // of a cut: whole, larger, half, smaller or alone
	Known      int        `json:"known"`           // poolers that are there or went without a word
	Live       []string   `json:"live"`            // this pooler among them
	Poolers    []Pooler   `json:"poolers"`
	Databases  []Database `json:"databases"` // of which somebody has something to say
	Facts      int        `json:"facts"`
	OldestMS   int64      `json:"oldest_fact_ms"` // age
	Use        any        `json:"use,omitempty"`  // what is done with the view
	Refused    int64      // what memberlist could not read or turned away, such as from another cluster
	Counters
	membership.ViewCounters
}

// Pooler is one of the fleet.
type Pooler struct {
	Name        string          `json:"name"`
	State       string          `json:"state"`    // live, suspected, gone (without a word) or left
	Since       int64           `json:"since_ms"` // when this pooler first found it so; of itself, its start
	Incarnation uint64          `json:"incarnation"`
	Heard       int64           `json:"heard_ms,omitempty"` // age of its last answer to this pooler; 0: none, or this pooler
	Digest      string          `json:"digest,omitempty"`
	Agrees      string          `json:"agrees,omitempty"` // yes, no, or ? where nothing has been heard or it may still come to
	At          string          `json:"at,omitempty"`     // where it is, or is tried again
	Says        json.RawMessage `json:"says,omitempty"`
}

// Database is what live poolers say of one.
type Database struct {
	Name  string                       `json:"name"`
	Words []membership.PeerObservation `json:"words"`
}

// State is the fleet as this pooler sees it.
func (g *Gossip) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, v := g.clock(), g.talk.View
	facts, oldest := v.FactAge()
	s := State{Name: g.name, Waits: g.waits, Digest: hex(v.Digest()), Agree: g.agreement.agrees, AgreeSince: g.agreement.since.Milliseconds(),
		Live: v.Live(), Facts: facts, Counters: g.count, ViewCounters: v.Counters}
	if facts > 0 {
		s.OldestMS = max(0, (now - oldest).Milliseconds())
	}
	g.heard.mu.Lock()
	defer g.heard.mu.Unlock()
	s.Refused = g.heard.refused
	says := map[string]json.RawMessage{}
	for _, f := range v.FactsUnder(membership.Key{}) {
		if json.Valid(f.Value) { // another may say anything
			says[f.Owner] = f.Value
		}
	}
	for _, name := range s.Live {
		p := Pooler{Name: name, State: "live", Says: says[name]}
		p.Incarnation, _ = v.Incarnation(name)
		if m := g.members[name]; m != nil {
			p.Since, p.At = m.since.Milliseconds(), m.node.Address()
			if at := g.heard.answered[name]; at > 0 {
				p.Heard = max(1, (now - at).Milliseconds())
			}
			if at := g.heard.suspected[name]; at > 0 {
				p.State, p.Since = "suspected", at.Milliseconds()
			}
			if o := g.agreement.others[name]; o != nil {
				p.Agrees = g.agreement.verdict(now, o)
				if o.known {
					p.Digest = hex(o.digest)
				}
			}
		} else if name == g.name {
			p.Since, p.Digest, p.At = g.began.Milliseconds(), s.Digest, g.config.Listen
		}
		s.Poolers = append(s.Poolers, p)
	}
	without := 0 // a word
	for _, e := range v.Gone() {
		p := Pooler{Name: e.Owner, State: "gone", Since: e.At.Milliseconds(), Incarnation: e.Incarnation, At: g.remembered[e.Owner].at}
		if e.Left {
			p.State = "left"
		} else {
			without++
		}
		s.Poolers = append(s.Poolers, p)
	}
	s.Known = len(s.Live) + without
	s.Side = side(len(s.Live), without)
	words := v.Observations()
	for _, name := range slices.Sorted(maps.Keys(words)) {
		s.Databases = append(s.Databases, Database{name, words[name]})
	}
	return s
}

func hex(digest uint64) string { return strconv.FormatUint(digest, 16) }

// side names the part of the fleet that can be reached. Who crashed and who is cut off cannot be told apart.
func side(live, without int) string {
	switch {
	case without == 0:
		return "whole"
	case live == 1:
		return "alone"
	case live > without:
		return "larger"
	case live == without:
		return "half"
	}
	return "smaller"
}

// Incarnation is this pooler's own. It grows when the pooler has been taken for gone.
func (g *Gossip) Incarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.talk.Publisher.Incarnation()
}

// Joined tells whether this process takes part: not while another has its address.
func (g *Gossip) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list != nil
}
