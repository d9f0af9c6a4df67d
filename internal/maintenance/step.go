package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Instance is a pooler in one incarnation. What it reported before a restart does not count after the restart.
type Instance struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Step is the maintenance of one machine, as stored in the record. It is a value: Apply returns the changed step.
type Step struct {
	Machine string `json:"machine"`
	State   State  `json:"state"`
	// Number is the fencing number. Each attempt has a new number, higher than all before.
	Number uint64 `json:"number"`
	// Since is when the state began, on the clock of the pooler that wrote it.
	Since time.Duration `json:"since_ns"`
	// Stopped holds the poolers that have no request in flight to the machine and send no new ones, with the
	// incarnation that reported this.
	Stopped map[string]uint64 `json:"stopped,omitempty"`
	// Unreachable lists the poolers that did not report and whose lease has expired.
	Unreachable []string `json:"without,omitempty"`
	// HookCalls counts the calls of the hook for this number. Each call has the same ID.
	HookCalls int `json:"hooks,omitempty"`
	// HookCaller is the pooler that called the hook last. The zero value: a person does the work.
	HookCaller Instance `json:"by,omitzero"`
	// Incarnation is the incarnation that was taken out, if the machine is a pooler.
	Incarnation uint64 `json:"life,omitempty"`
}

// Poolers holds the poolers that could send to a machine, as the record's leader knows them.
type Poolers struct {
	// Incarnations holds the last incarnation of each pooler that is live, or that failed without announcing that it
	// leaves.
	Incarnations map[string]uint64
	// PlanReadBy holds the last incarnation in which each pooler reported that it has read the plan. The plan lists all
	// machines that may be taken.
	PlanReadBy map[string]uint64
}

// Rules are the operators' settings and the times that bind all poolers.
type Rules struct {
	// Lease is how long a pooler that does not read the record may send to a machine that could be in maintenance.
	Lease time.Duration
	// Skew is the maximum difference that two clocks develop during a lease.
	Skew time.Duration
	// IgnoreUnreachable lets a step continue without a pooler that does not report, once its lease must have expired.
	// Otherwise the step waits for that pooler.
	IgnoreUnreachable bool
	// MaxHookCalls is the maximum number of calls of a hook for one attempt; 0: one.
	MaxHookCalls int
}

// maxCalls returns how often the hook may be called for one attempt.
func (r Rules) maxCalls() int { return max(1, r.MaxHookCalls) }

// Apply returns the step after an event. The error is an *EventError if the event does not fit, for example because it
// is repeated or of an earlier attempt. The step is then returned unchanged.
func (s Step) Apply(event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
	if event.Kind != Take && event.Number != s.Number { // A late report of an earlier attempt must not count.
		return s, s.eventError(event, fmt.Sprintf("number %d is not the present one, %d", event.Number, s.Number))
	}
	switch event.Kind {
	case Take:
		return s.take(event, now)
	case PoolerStopped:
		return s.poolerStopped(event, now, poolers, rules)
	case Reevaluate:
		return s.reevaluate(now, poolers, rules), nil
	case HookStarted:
		return s.hookStarted(event, now, rules)
	case HookFinished:
		return s.hookFinished(event, now, rules)
	case Ready:
		return s.moveFrom(event, now, Done, Recovering)
	case Skip:
		return s.moveFrom(event, now, Skipped, Waiting)
	case PutBack:
		return s.moveFrom(event, now, Waiting, Draining, Drained)
	case Abort:
		return s.abort(event, now)
	}
	return s, s.eventError(event, "")
}

// eventError returns the error of an event that does not fit.
func (s Step) eventError(event Event, reason string) error {
	return &EventError{Machine: s.Machine, Kind: event.Kind, State: s.State, Reason: reason}
}

// moved returns the step in another state.
func (s Step) moved(to State, now time.Duration) Step {
	s.State, s.Since = to, now
	return s
}

// moveFrom moves the step to a state if its present state is among from.
func (s Step) moveFrom(event Event, now time.Duration, to State, from ...State) (Step, error) {
	if !slices.Contains(from, s.State) {
		return s, s.eventError(event, "")
	}
	return s.moved(to, now), nil
}

// take begins a new attempt.
func (s Step) take(event Event, now time.Duration) (Step, error) {
	takeable := s.State == Waiting || s.State == RolledBack || s.State == Skipped
	if !takeable || event.Number <= s.Number {
		return s, s.eventError(event, "")
	}
	return Step{
		Machine: s.Machine,
		State:   Draining,
		Number:  event.Number,
		Since:   now,
		Stopped: map[string]uint64{},
	}, nil
}

// poolerStopped records that a pooler has stopped. Once all have stopped, the machine is drained.
func (s Step) poolerStopped(event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
	if s.State != Draining {
		return s, s.eventError(event, "")
	}
	reporter := event.Instance
	// A report from before a restart must not count.
	if poolers.Incarnations[reporter.Name] > reporter.Incarnation {
		return s, s.eventError(event, reporter.Name+" has restarted since it reported")
	}
	stopped := maps.Clone(s.Stopped)
	if stopped == nil { // The stored step omits an empty map.
		stopped = map[string]uint64{}
	}
	stopped[reporter.Name] = max(stopped[reporter.Name], reporter.Incarnation)
	s.Stopped = stopped
	return s.reevaluate(now, poolers, rules), nil
}

// reevaluate marks the machine as drained once every pooler has stopped in its present incarnation. For a pooler that
// does not report, the operators have a choice. Either the step waits for it, or the step continues once the lease of
// that pooler must have expired, and lists it as unreachable. The step always waits for a pooler that has not read the
// plan in its present incarnation. Such a pooler does not know which machines could be in maintenance, and its lease
// protects nothing.
func (s Step) reevaluate(now time.Duration, poolers Poolers, rules Rules) Step {
	if s.State != Draining {
		return s
	}
	leasesOver := now-s.Since >= rules.Lease+rules.Skew
	var unreachable []string
	for _, name := range slices.Sorted(maps.Keys(poolers.Incarnations)) {
		incarnation := poolers.Incarnations[name]
		if s.Stopped[name] >= incarnation {
			continue
		}
		if !rules.IgnoreUnreachable || poolers.PlanReadBy[name] < incarnation || !leasesOver {
			return s
		}
		unreachable = append(unreachable, name)
	}
	s.Unreachable = unreachable
	return s.moved(Drained, now)
}

// hookStarted records a call of the hook. The hook is called again only if, as far as is known, the previous call has
// not done the work. The number stays the same, and the hook must treat all calls with one number as the same work.
func (s Step) hookStarted(event Event, now time.Duration, rules Rules) (Step, error) {
	callable := s.State == Drained || s.State == InMaintenance
	if !callable || s.HookCalls >= rules.maxCalls() {
		return s, s.eventError(event, "")
	}
	s.HookCalls++
	s.HookCaller = event.Instance
	if s.State == Drained {
		s = s.moved(InMaintenance, now)
	}
	return s, nil
}

// hookFinished ends the work, unless it failed and the hook may be called again.
func (s Step) hookFinished(event Event, now time.Duration, rules Rules) (Step, error) {
	if s.State != InMaintenance {
		return s, s.eventError(event, "")
	}
	if !event.OK && s.HookCalls < rules.maxCalls() {
		return s, nil
	}
	return s.moved(Recovering, now), nil
}

// abort rolls the step back, unless the work has begun.
func (s Step) abort(event Event, now time.Duration) (Step, error) {
	switch {
	case s.State == InMaintenance: // The machine returns when the hook or a person ends the work.
		return s, s.eventError(event, "the work has begun; the machine comes back when it is over")
	case s.State == Recovering || s.State.Finished():
		return s, s.eventError(event, "")
	}
	return s.moved(RolledBack, now), nil
}
