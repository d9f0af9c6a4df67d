package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/routing"
)

// Guards against a copy of a write that is sent when the databases do not discard it any more: the attempt is refused
// once the window of the first one is over, however long it has waited for a connection.
func TestRepeatIsRefusedAfterItsWindow(t *testing.T) {
	harness := newHarness()
	read := harness.submitFirst(t, harness.request("finds the primary", &client{}))
	harness.core.Done(read, routing.OK, routing.Evidence{Role: routing.Primary, Position: harness.now}, nil)
	request := harness.request("x", &client{})
	request.Class = classKeyed
	harness.submit(request)
	require.Len(t, harness.sent, 2)
	harness.core.Written(harness.sent[1])
	harness.core.Done(harness.sent[1], routing.ConnectionBroken, routing.Evidence{}, nil)
	harness.pass(100 * time.Millisecond)
	require.Len(t, harness.sent, 3)
	repeat := harness.sent[2]
	harness.now = repeat.WriteLimit.Until - 1
	require.Equal(t, core.WriteAllowed, harness.core.CheckWrite(repeat))
	harness.now++
	require.Equal(t, core.NotRepeatable, harness.core.CheckWrite(repeat))
	require.Equal(t, core.WriteRefusals{Repeat: 1}, harness.core.Counters().Refusals)
}

// Each refusal is counted under its reason.
func TestRefusalsAreCountedByReason(t *testing.T) {
	for want, change := range map[core.WriteRefusal]func(harness *harness, attempt *core.Attempt){
		core.WriteAllowed: func(*harness, *core.Attempt) {},
		core.RequestEnded: func(harness *harness, attempt *core.Attempt) {
			harness.core.ClientGone(attempt.Request)
		},
		core.DeadlinePassed:  func(harness *harness, attempt *core.Attempt) { harness.now = attempt.Deadline },
		core.NotProvenFresh:  endCondition(routing.ProvenFresh),
		core.NotRepeatable:   endCondition(routing.Repeatable),
		core.DatabaseLeaving: func(harness *harness, _ *core.Attempt) { harness.core.Block(core.Blocklist{All: true}) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			harness, _, attempt := newSentRequest(t)
			change(harness, attempt)
			require.Equal(t, want, harness.core.CheckWrite(attempt))
			require.Equal(t, map[core.WriteRefusal]core.WriteRefusals{
				core.WriteAllowed:    {},
				core.RequestEnded:    {Ended: 1},
				core.DeadlinePassed:  {Deadline: 1},
				core.NotProvenFresh:  {Freshness: 1},
				core.NotRepeatable:   {Repeat: 1},
				core.DatabaseLeaving: {Database: 1},
			}[want], harness.core.Counters().Refusals)
		})
	}
}

// endCondition returns a function that makes a condition of an attempt end now.
func endCondition(condition routing.WriteCondition) func(harness *harness, attempt *core.Attempt) {
	return func(harness *harness, attempt *core.Attempt) {
		attempt.WriteLimit = attempt.WriteLimit.And(routing.WriteLimit{Until: harness.now, Condition: condition})
	}
}
