package membership

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// State is a pooler's assessment of a database, based only on its own evidence.
type State uint8

// The states of a database. Other poolers and operators' tools depend on their values and texts.
const (
	Unknown      State = iota // no evidence
	Healthy                   // it answers
	Unresponsive              // requests remain unanswered
	Failing                   // it answers with errors, or breaks connections
	NotListening              // its machine refuses connections: no process listens
)

var stateNames = [...]string{"unheard", "answers", "silent", "failing", "absent"}

// String returns the state's name as operators see it.
func (s State) String() string { return stateNames[s] }

// Bad reports whether a pooler sends no requests to a database in this state.
func (s State) Bad() bool { return s >= Unresponsive }

// MarshalText returns the text of String. Its error is always nil.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the text of String. It returns an error for any other text.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("unknown database state %q", text)
	}
	*s = State(i)
	return nil
}

// LocalObservation is this pooler's own current observation of a database. Times are since the Unix epoch.
type LocalObservation struct {
	Database   string
	State      State
	WarmingUp  bool
	Primary    bool          // known from the database itself, not from the endpoint list
	Position   time.Duration // latest known replication position
	LastAnswer time.Duration // time of the last answer of any kind; 0: none
	MayProbe   bool          // the database may be probed
}

// Observation is a pooler's published observation of a database. It changes only when the state changes, which lets
// views converge.
type Observation struct {
	State    State `json:"state"`
	Cold     bool  `json:"cold,omitempty"` // warming up
	Primary  bool  `json:"primary,omitempty"`
	Since    int64 `json:"since"`              // Unix ms: when the database entered this state, as the owner saw it
	Position int64 `json:"position,omitempty"` // Unix ms: replication position when first seen as primary
}

// equalExceptTimes reports whether the observations are equal apart from their times.
func (o Observation) equalExceptTimes(other Observation) bool {
	return o.State == other.State && o.Cold == other.Cold && o.Primary == other.Primary
}

// isDefault reports whether the observation need not be published, because all poolers assume it of every database.
func (o Observation) isDefault() bool { return !o.State.Bad() && !o.Cold && !o.Primary }

// Flags of an encoded observation.
const (
	warmingUpFlag = 1 << iota
	primaryFlag
)

const (
	minEncodedBytes = 4       // shortest encoding: state, flags and two varints
	headerBytes     = 2       // state and flags, before the varints
	maxTimeMS       = 1 << 62 // Unix ms: later times are rejected
)

// Append appends the encoded observation to b and returns the extended slice. The encoding is the state, the flags, and
// both times as varints. It is compact and fast to parse, because a pooler parses some thousands of observations in
// each gossip period.
func (o Observation) Append(b []byte) []byte {
	var flags byte
	if o.Cold {
		flags |= warmingUpFlag
	}
	if o.Primary {
		flags |= primaryFlag
	}
	b = append(b, byte(o.State), flags)
	b = binary.AppendUvarint(b, uint64(o.Since))
	return binary.AppendUvarint(b, uint64(o.Position))
}

// ParseObservation decodes the encoding of Append. It accepts unknown flags and trailing bytes, which a newer version
// may add.
func ParseObservation(value []byte) (o Observation, ok bool) {
	if len(value) < minEncodedBytes || int(value[0]) >= len(stateNames) {
		return o, false
	}
	o.State = State(value[0])
	o.Cold = value[1]&warmingUpFlag != 0
	o.Primary = value[1]&primaryFlag != 0
	since, sinceLength := binary.Uvarint(value[headerBytes:])
	if sinceLength <= 0 || since == 0 || since > maxTimeMS {
		return o, false
	}
	position, positionLength := binary.Uvarint(value[headerBytes+sinceLength:])
	o.Since, o.Position = int64(since), int64(position)
	return o, positionLength > 0 && position <= maxTimeMS
}

// PeerObservation is one live pooler's published observation of a database.
type PeerObservation struct {
	Pooler string `json:"pooler"`
	Observation
}

// Observations returns the observations that live poolers published, by database. Each list is sorted by pooler. Values
// that cannot be parsed are omitted.
func (v *View) Observations() map[string][]PeerObservation {
	byDatabase := map[string][]PeerObservation{}
	for _, name := range v.Live() {
		for key, fact := range v.owners[name].facts {
			if key.Kind != KindDatabase {
				continue
			}
			if observation, ok := ParseObservation(fact.Value); ok {
				byDatabase[key.Subject] = append(byDatabase[key.Subject], PeerObservation{name, observation})
			}
		}
	}
	return byDatabase
}
