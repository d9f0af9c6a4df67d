package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is how far a machine is.
type State uint8

const (
	Waiting State = iota // nothing has been agreed
	Agreed               // nobody may begin anything new there; the poolers are being told
	Free                 // nobody sends anything there: the work may begin
	AtWork               // the hook has been started, or a person has confirmed it
	Back                 // the work is over: it may be sent to again, as a cold one
	Done                 // it is warm, has caught up and is seen well
	Skipped              // by the operators
	Undone               // given up and put back
)

var stateNames = [...]string{"waiting", "agreed", "free", "at work", "back", "done", "skipped", "undone"}

func (s State) String() string { return stateNames[s] }

func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("no state of a step: %q", text)
	}
	*s = State(i)
	return nil
}

// Out tells whether the machine is missing because of the plan.
func (s State) Out() bool { return s >= Agreed && s <= Back }

// Over tells whether nothing is left to be done about it.
func (s State) Over() bool { return s >= Done }

// Barred tells whether nothing new may be sent there.
func (s State) Barred() bool { return s >= Agreed && s <= AtWork }

// Life is one life of a pooler: what one said before a restart does not bind the next.
type Life struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Step is the course of one machine, as it stands in the record. It is a value: On returns the next.
type Step struct {
	Machine string            `json:"machine"`
	State   State             `json:"state"`
	Number  uint64            `json:"number"`            // fencing: each try of a step has one of its own, higher than all before
	Since   time.Duration     `json:"since_ns"`          // of the state, on the clock of who wrote it
	Stopped map[string]uint64 `json:"stopped,omitempty"` // poolers that have nothing out there and begin nothing, with the incarnation that said so
	Without []string          `json:"without,omitempty"` // poolers that were not heard, and whose lease has run out
	Hooks   int               `json:"hooks,omitempty"`   // times the hook has been called for this number; each call has the same id
	By      Life              `json:"by,omitzero"`       // who called it last; the zero value: a person does the work
	Life    uint64            `json:"life,omitempty"`    // of a pooler: the incarnation that was taken out
}

// Fleet is who could send to a machine, as the record's leader knows.
type Fleet struct {
	Lives map[string]uint64 // poolers that live or went without a word, with their last incarnation
	Read  map[string]uint64 // ... and in which incarnation each said last that it has read the plan, which lists all its machines
}

// Rules are the operators' choices and the times that all share.
type Rules struct {
	Lease time.Duration // a pooler that has not read the record for so long sends nothing to a machine that could be at work
	Skew  time.Duration // clocks differ by this at the most
	GoOn  bool          // without a pooler that is not heard, once its lease must have run out; otherwise the step waits for it
	Calls int           // of a hook that fails, at the most; 0: one
}

// Event is what befalls a step.
type Event struct {
	What   What
	Number uint64 // of the try that it is about
	Life   Life   // Said: whose word it is; HookCall: who calls
	OK     bool   // HookOver: the work was done
}

type What uint8

const (
	Take     What = iota // the planner's choice; Number is a new one
	Said                 // a pooler has stopped
	Check                // time has passed, or who lives has changed
	HookCall             // the hook is about to be called, or a person says that the work begins
	HookOver             // it has ended
	Ready                // the machine is warm, has caught up, and is seen well
	Skip
	Abort
	Return // the group needs the machine: it is put back, and taken anew later
)

// On takes in an event. An error tells that the event does not fit, as one of an older try or a repeated one; the step stays as it is.
func (s Step) On(e Event, now time.Duration, f Fleet, r Rules) (Step, error) {
	if e.What != Take && e.Number != s.Number { // Against the late word of an earlier try.
		return s, fmt.Errorf("%s: number %d is not the present one, %d", s.Machine, e.Number, s.Number)
	}
	odd := fmt.Errorf("%s: event %d does not fit state %q", s.Machine, e.What, s.State)
	next := func(to State) Step {
		s.State, s.Since = to, now
		return s
	}
	switch e.What {
	case Take:
		if s.State != Waiting && s.State != Undone && s.State != Skipped || e.Number <= s.Number {
			return s, odd
		}
		s.Number, s.Stopped, s.Without, s.Hooks, s.By, s.Life = e.Number, map[string]uint64{}, nil, 0, Life{}, 0
		return next(Agreed), nil
	case Said:
		if s.State != Agreed {
			return s, odd
		}
		if f.Lives[e.Life.Name] > e.Life.Incarnation { // Against the word of a life that is over.
			return s, fmt.Errorf("%s: %s has restarted since it said so", s.Machine, e.Life.Name)
		}
		if s.Stopped = maps.Clone(s.Stopped); s.Stopped == nil { // as it comes from the record, where an empty one is left out
			s.Stopped = map[string]uint64{}
		}
		s.Stopped[e.Life.Name] = max(s.Stopped[e.Life.Name], e.Life.Incarnation)
		return s.free(now, f, r), nil
	case Check:
		if s.State == Agreed {
			s = s.free(now, f, r)
		}
		return s, nil
	case HookCall:
		// Called again only where the call before has not begun the work as far as is known, with the same number: who runs it must
		// take the number for the work's name.
		if s.State != Free && s.State != AtWork || s.Hooks >= max(1, r.Calls) {
			return s, odd
		}
		s.Hooks++
		s.By = e.Life
		if s.State == Free {
			return next(AtWork), nil
		}
		return s, nil
	case HookOver:
		if s.State != AtWork {
			return s, odd
		}
		if !e.OK && s.Hooks < max(1, r.Calls) {
			return s, nil // it is called again
		}
		return next(Back), nil
	case Ready:
		if s.State != Back {
			return s, odd
		}
		return next(Done), nil
	case Skip:
		if s.State != Waiting {
			return s, odd
		}
		return next(Skipped), nil
	case Return:
		if s.State != Agreed && s.State != Free {
			return s, odd
		}
		return next(Waiting), nil
	case Abort:
		switch {
		case s.State == AtWork: // Somebody has the machine open: it comes back when the hook ends, or a person says so.
			return s, fmt.Errorf("%s: at work; it comes back when that is over", s.Machine)
		case s.State == Back || s.State.Over():
			return s, odd
		}
		return next(Undone), nil
	}
	return s, odd
}

// free lets the work begin once every pooler has stopped in its present life. One that is not heard is no yes: by the operators'
// choice the step waits for it, or goes on once its lease must have run out, and that is said. Never without one that has not
// read the plan in its present life: it does not know what could be at work, so its lease protects nothing.
func (s Step) free(now time.Duration, f Fleet, r Rules) Step {
	var without []string
	for _, name := range slices.Sorted(maps.Keys(f.Lives)) {
		if life := f.Lives[name]; s.Stopped[name] < life {
			if !r.GoOn || f.Read[name] < life || now-s.Since < r.Lease+r.Skew {
				return s
			}
			without = append(without, name)
		}
	}
	s.State, s.Since, s.Without = Free, now, without
	return s
}
