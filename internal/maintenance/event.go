package maintenance

import "fmt"

// Event is an event that is applied to a step.
type Event struct {
	Kind     EventKind
	Number   uint64   // fencing number of the attempt to which it belongs
	Instance Instance // PoolerStopped: the pooler that reports it; HookStarted: the pooler that calls the hook
	OK       bool     // HookFinished: the work succeeded
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Take          EventKind = iota // the machine is taken out of service; Number is new
	PoolerStopped                  // a pooler has stopped sending to the machine
	Reevaluate                     // time has passed, or the set of live poolers has changed
	HookStarted                    // the hook is about to be called, or a person begins the work
	HookFinished                   // the work has ended
	Ready                          // the machine is warm, has caught up and is seen healthy
	Skip                           // operators skip the machine
	Abort                          // operators abort the plan
	PutBack                        // the group needs the machine: it returns to service and is taken again later
)

var eventNames = [...]string{
	"take", "pooler stopped", "reevaluate", "hook started", "hook finished", "ready", "skip", "abort", "put back",
}

// String returns the name of the kind, for error messages.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return fmt.Sprintf("event %d", uint8(k))
	}
	return eventNames[k]
}

// EventError reports an event that does not fit the step to which it was applied.
type EventError struct {
	Machine string
	Kind    EventKind
	State   State  // of the step
	Reason  string // empty: no event of this kind fits the state
}

// Error names the machine, the event, the state and the reason.
func (e *EventError) Error() string {
	text := fmt.Sprintf("%s: event %q does not fit state %q", e.Machine, e.Kind, e.State)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}
