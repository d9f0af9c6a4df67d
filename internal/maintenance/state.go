package maintenance

import (
	"fmt"
	"slices"
)

// State is the state of a step: the progress of the maintenance of one machine.
type State uint8

// The states of a step. Their order matters: Unavailable, Finished and Blocked compare states.
const (
	Waiting       State = iota // the machine has not been taken
	Draining                   // no pooler may send new requests to it; the poolers are being notified
	Drained                    // no pooler sends to it: the work may begin
	InMaintenance              // the hook has been called, or a person has begun the work
	Recovering                 // the work has ended: it may receive requests again, and warms up
	Done                       // it is warm, has caught up and is seen healthy
	Skipped                    // operators skipped it
	RolledBack                 // operators aborted the plan before the work began
)

// stateNames are the texts of the states in stored records and in commands.
var stateNames = [...]string{"waiting", "agreed", "free", "at work", "back", "done", "skipped", "undone"}

// String returns the text of the state in records and commands.
func (s State) String() string { return stateNames[s] }

// MarshalText writes the state as its text.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the text of a state. Any other text is an error.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("unknown state of a step: %q", text)
	}
	*s = State(i)
	return nil
}

// Unavailable reports whether the machine is out of service, or still recovering, because of the plan.
func (s State) Unavailable() bool { return s >= Draining && s <= Recovering }

// Finished reports whether the step has ended.
func (s State) Finished() bool { return s >= Done }

// Blocked reports whether new requests to the machine are forbidden.
func (s State) Blocked() bool { return s >= Draining && s <= InMaintenance }
