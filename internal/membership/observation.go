package membership

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// State is what a pooler takes a database for, by its own evidence alone.
type State uint8

const (
	Unknown State = iota // there is no evidence
	Healthy
	Unresponsive // it leaves requests unanswered
	Failing      // it answers with errors, or breaks connections
	NotListening // its machine says that no process listens
)

var states = [...]string{"unheard", "answers", "silent", "failing", "absent"}

func (s State) String() string { return states[s] }

// Bad tells whether a pooler sends the database no requests.
func (s State) Bad() bool { return s >= Unresponsive }

func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(states[:], string(text))
	if i < 0 {
		return fmt.Errorf("no state of a database: %q", text)
	}
	*s = State(i)
	return nil
}

// LocalObservation is what this pooler sees of one database now. Times are since the Unix epoch.
type LocalObservation struct {
	Database string
	State    State
	Cold     bool
	Primary  bool          // by evidence, not by the list
	Position time.Duration // the last proven one
	Heard    time.Duration // the last answer of any kind; 0: none
	MayAsk   bool          // a probe may be sent there
}

// Observation is what a pooler says of one database. It changes only when the state does, so that views come to rest.
type Observation struct {
	State   State `json:"state"`
	Cold    bool  `json:"cold,omitempty"`
	Primary bool  `json:"primary,omitempty"`
	Since   int64 `json:"since"`              // Unix ms: when it became so, as the owner saw it
	At      int64 `json:"position,omitempty"` // Unix ms: of a primary, the position when its owner first saw it lead
}

// same tells whether nothing but the times differs.
func (w Observation) same(o Observation) bool {
	return w.State == o.State && w.Cold == o.Cold && w.Primary == o.Primary
}

// plain tells whether the word need not be said: what all take for granted.
func (w Observation) plain() bool { return !w.State.Bad() && !w.Cold && !w.Primary }

// flags of a word on the wire.
const (
	coldFlag = 1 << iota
	primaryFlag
)

// Append writes the word: state, flags, and the times as varints. It is read some thousand times a period.
func (w Observation) Append(b []byte) []byte {
	var flags byte
	if w.Cold {
		flags |= coldFlag
	}
	if w.Primary {
		flags |= primaryFlag
	}
	return binary.AppendUvarint(binary.AppendUvarint(append(b, byte(w.State), flags), uint64(w.Since)), uint64(w.At))
}

// ParseObservation reads one. Words of a newer version may have more flags, and more behind them.
func ParseObservation(value []byte) (w Observation, ok bool) {
	if len(value) < 4 || int(value[0]) >= len(states) {
		return w, false
	}
	w.State, w.Cold, w.Primary = State(value[0]), value[1]&coldFlag != 0, value[1]&primaryFlag != 0
	since, n := binary.Uvarint(value[2:])
	if n <= 0 || since == 0 || since > 1<<62 {
		return w, false
	}
	at, m := binary.Uvarint(value[2+n:])
	w.Since, w.At = int64(since), int64(at)
	return w, m > 0 && at <= 1<<62
}

// PeerObservation is what one live pooler says of a database.
type PeerObservation struct {
	Pooler string `json:"pooler"`
	Observation
}

// Observations is what live poolers say of each database, in the order of their names.
func (v *View) Observations() map[string][]PeerObservation {
	words := map[string][]PeerObservation{}
	for _, name := range v.Live() {
		for key, f := range v.owners[name].facts {
			if key.Kind != OfDatabase {
				continue
			}
			if w, ok := ParseObservation(f.Value); ok {
				words[key.Subject] = append(words[key.Subject], PeerObservation{name, w})
			}
		}
	}
	return words
}
