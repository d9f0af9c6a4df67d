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
	Waiting       State = iota // nothing has been agreed
	Draining                   // nobody may begin anything new there; the poolers are being told
	Drained                    // nobody sends anything there: the work may begin
	InMaintenance              // the hook has been started, or a person has confirmed it
	Recovering                 // the work is over: it may be sent to again, as a cold one
	Done                       // it is warm, has caught up and is seen well
	Skipped                    // by the operators
	RolledBack                 // given up and put back
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

// Unavailable tells whether the machine is missing because of the plan.
func (s State) Unavailable() bool { return s >= Draining && s <= Recovering }

// Finished tells whether nothing is left to be done about it.
func (s State) Finished() bool { return s >= Done }

// Blocked tells whether nothing new may be sent there.
func (s State) Blocked() bool { return s >= Draining && s <= InMaintenance }

// Instance is one life of a pooler: what one said before a restart does not bind the next.
type Instance struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Step is the course of one machine, as it stands in the record. It is a value: On returns the next.
type Step struct {
	Machine     string            `json:"machine"`
	State       State             `json:"state"`
	Number      uint64            `json:"number"`            // fencing: each try of a step has one of its own, higher than all before
	Since       time.Duration     `json:"since_ns"`          // of the state, on the clock of who wrote it
	Stopped     map[string]uint64 `json:"stopped,omitempty"` // poolers that have nothing out there and begin nothing, with the incarnation that said so
	Unreachable []string          `json:"without,omitempty"` // poolers that were not heard, and whose lease has run out
	HookCalls   int               `json:"hooks,omitempty"`   // times the hook has been called for this number; each call has the same id
	HookCaller  Instance          `json:"by,omitzero"`       // who called it last; the zero value: a person does the work
	Incarnation uint64            `json:"life,omitempty"`    // of a pooler: the incarnation that was taken out
}

// Poolers is who could send to a machine, as the record's leader knows.
type Poolers struct {
	Incarnations map[string]uint64 // poolers that live or went without a word, with their last incarnation
	PlanReadBy   map[string]uint64 // ... and in which incarnation each said last that it has read the plan, which lists all its machines
}

// Rules are the operators' choices and the times that all share.
type Rules struct {
	Lease             time.Duration // a pooler that has not read the record for so long sends nothing to a machine that could be at work
	Skew              time.Duration // clocks differ by this at the most
	IgnoreUnreachable bool          // without a pooler that is not heard, once its lease must have run out; otherwise the step waits for it
	Calls             int           // of a hook that fails, at the most; 0: one
}

// Event is what befalls a step.
type Event struct {
	Kind     EventKind
	Number   uint64   // of the try that it is about
	Instance Instance // Said: whose word it is; HookCall: who calls
	OK       bool     // HookOver: the work was done
}

type EventKind uint8

const (
	Take          EventKind = iota // the planner's choice; Number is a new one
	PoolerStopped                  // a pooler has stopped
	Reevaluate                     // time has passed, or who lives has changed
	HookStarted                    // the hook is about to be called, or a person says that the work begins
	HookFinished                   // it has ended
	Ready                          // the machine is warm, has caught up, and is seen well
	Skip
	Abort
	PutBack // the group needs the machine: it is put back, and taken anew later
)

// Apply takes in an event. An error tells that the event does not fit, as one of an older try or a repeated one; the step stays as it is.
func (s Step) Apply(e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
	if e.Kind != Take && e.Number != s.Number { // Against the late word of an earlier try.
		return s, fmt.Errorf("%s: number %d is not the present one, %d", s.Machine, e.Number, s.Number)
	}
	odd := fmt.Errorf("%s: event %d does not fit state %q", s.Machine, e.Kind, s.State)
	next := func(to State) Step {
		s.State, s.Since = to, now
		return s
	}
	switch e.Kind {
	case Take:
		if s.State != Waiting && s.State != RolledBack && s.State != Skipped || e.Number <= s.Number {
			return s, odd
		}
		s.Number, s.Stopped, s.Unreachable, s.HookCalls, s.HookCaller, s.Incarnation = e.Number, map[string]uint64{}, nil, 0, Instance{}, 0
		return next(Draining), nil
	case PoolerStopped:
		if s.State != Draining {
			return s, odd
		}
		if f.Incarnations[e.Instance.Name] > e.Instance.Incarnation { // Against the word of a life that is over.
			return s, fmt.Errorf("%s: %s has restarted since it said so", s.Machine, e.Instance.Name)
		}
		if s.Stopped = maps.Clone(s.Stopped); s.Stopped == nil { // as it comes from the record, where an empty one is left out
			s.Stopped = map[string]uint64{}
		}
		s.Stopped[e.Instance.Name] = max(s.Stopped[e.Instance.Name], e.Instance.Incarnation)
		return s.free(now, f, r), nil
	case Reevaluate:
		if s.State == Draining {
			s = s.free(now, f, r)
		}
		return s, nil
	case HookStarted:
		// Called again only where the call before has not begun the work as far as is known, with the same number: who runs it must
		// take the number for the work's name.
		if s.State != Drained && s.State != InMaintenance || s.HookCalls >= max(1, r.Calls) {
			return s, odd
		}
		s.HookCalls++
		s.HookCaller = e.Instance
		if s.State == Drained {
			return next(InMaintenance), nil
		}
		return s, nil
	case HookFinished:
		if s.State != InMaintenance {
			return s, odd
		}
		if !e.OK && s.HookCalls < max(1, r.Calls) {
			return s, nil // it is called again
		}
		return next(Recovering), nil
	case Ready:
		if s.State != Recovering {
			return s, odd
		}
		return next(Done), nil
	case Skip:
		if s.State != Waiting {
			return s, odd
		}
		return next(Skipped), nil
	case PutBack:
		if s.State != Draining && s.State != Drained {
			return s, odd
		}
		return next(Waiting), nil
	case Abort:
		switch {
		case s.State == InMaintenance: // Somebody has the machine open: it comes back when the hook ends, or a person says so.
			return s, fmt.Errorf("%s: at work; it comes back when that is over", s.Machine)
		case s.State == Recovering || s.State.Finished():
			return s, odd
		}
		return next(RolledBack), nil
	}
	return s, odd
}

// free lets the work begin once every pooler has stopped in its present life. One that is not heard is no yes: by the operators'
// choice the step waits for it, or goes on once its lease must have run out, and that is said. Never without one that has not
// read the plan in its present life: it does not know what could be at work, so its lease protects nothing.
func (s Step) free(now time.Duration, f Poolers, r Rules) Step {
	var without []string
	for _, name := range slices.Sorted(maps.Keys(f.Incarnations)) {
		if life := f.Incarnations[name]; s.Stopped[name] < life {
			if !r.IgnoreUnreachable || f.PlanReadBy[name] < life || now-s.Since < r.Lease+r.Skew {
				return s
			}
			without = append(without, name)
		}
	}
	s.State, s.Since, s.Unreachable = Drained, now, without
	return s
}
