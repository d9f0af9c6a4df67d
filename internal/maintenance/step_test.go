package maintenance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An event that does not fit changes nothing, and the error names the machine, the event, the state and the reason.
func TestApplyRejectsEventThatDoesNotFit(t *testing.T) {
	restarted := Poolers{Incarnations: map[string]uint64{"p": 2}}
	for name, test := range map[string]struct {
		state State
		event Event
		text  string
	}{
		"earlier attempt": {
			Draining,
			Event{Kind: PoolerStopped, Number: 2},
			`m: event "pooler stopped" does not fit state "agreed": number 2 is not the present one, 3`,
		},
		"restarted since": {
			Draining,
			Event{Kind: PoolerStopped, Number: 3, Instance: Instance{"p", 1}},
			`m: event "pooler stopped" does not fit state "agreed": p has restarted since it reported`,
		},
		"work has begun": {
			InMaintenance,
			Event{Kind: Abort, Number: 3},
			`m: event "abort" does not fit state "at work": the work has begun; the machine comes back when it is over`,
		},
		"wrong state":  {Drained, Event{Kind: Ready, Number: 3}, `m: event "ready" does not fit state "free"`},
		"unknown kind": {Drained, Event{Kind: 99, Number: 3}, `m: event "event 99" does not fit state "free"`},
		"used number":  {Waiting, Event{Kind: Take, Number: 3}, `m: event "take" does not fit state "waiting"`},
		"hook has ended": {
			Recovering,
			Event{Kind: HookFinished, Number: 3},
			`m: event "hook finished" does not fit state "back"`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			step := Step{Machine: "m", State: test.state, Number: 3}
			next, err := step.Apply(test.event, 0, restarted, Rules{})
			var eventError *EventError
			require.ErrorAs(t, err, &eventError)
			require.Equal(t, test.event.Kind, eventError.Kind)
			require.EqualError(t, err, test.text)
			require.Equal(t, step, next)
		})
	}
}
