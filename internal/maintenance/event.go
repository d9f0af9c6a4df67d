package maintenance

import "fmt"

// Event is what happens to a step.
type Event struct {
	Kind     EventKind
	Number   uint64   // of the attempt that it is about
	Instance Instance // PoolerStopped: who reports it; HookStarted: who calls the hook
	OK       bool     // HookFinished: the work was done
}

// EventKind is what kind of event happens to a step.
type EventKind uint8

// The kinds of events.
const (
	Take          EventKind = iota // the planner has chosen the machine; Number is a new one
	PoolerStopped                  // a pooler has stopped sending to it
	Reevaluate                     // time has passed, or the poolers that are live have changed
	HookStarted                    // the hook is about to be called, or a person says that the work begins
	HookFinished                   // the work has ended
	Ready                          // the machine is warm, has caught up, and is seen healthy
	Skip                           // the operators skip the machine
	Abort                          // the operators give up the plan
	PutBack                        // the group needs the machine: it is put back, and taken again later
)

var eventNames = [...]string{
	"take", "pooler stopped", "reevaluate", "hook started", "hook finished", "ready", "skip", "abort", "put back",
}

// String returns the name of the kind, for errors.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return fmt.Sprintf("event %d", uint8(k))
	}
	return eventNames[k]
}

// EventError is the error of an event that does not fit the step to which it was applied.
type EventError struct {
	Machine string
	Kind    EventKind
	State   State  // of the step
	Reason  string // empty: events of this kind do not fit the state
}

// Error names the machine, the event, the state and the reason.
func (e *EventError) Error() string {
	text := fmt.Sprintf("%s: event %q does not fit state %q", e.Machine, e.Kind, e.State)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}
