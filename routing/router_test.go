package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An idle router wakes up about 20 times per second instead of 100: many idle routers would otherwise load their
// machine. With an open request it wakes up 100 times per second.
func TestIdleRouterWakesRarely(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.now += time.Second
	due := harness.now
	step := func(event Event) {
		for _, action := range harness.router.Step(harness.now, []Event{event}, nil) {
			if action.Kind == SetTimer {
				due = harness.now + action.Delay
			}
		}
	}
	wakeupsInASecond := func() (wakeups int) {
		for end := harness.now + time.Second; harness.now < end; harness.now += ms {
			if harness.now >= due {
				step(Event{Kind: TimerFired})
				wakeups++
			}
		}
		return wakeups
	}
	require.LessOrEqual(t, wakeupsInASecond(), int(time.Second/retrySpacing)+1, "wakeups while idle")
	harness.router.byID[1].role = Replica // no primary
	step(arrivalEvent(7, Arrival{Class: classWrite, TimeLeft: time.Minute}))
	require.GreaterOrEqual(t, wakeupsInASecond(), int(time.Second/tickInterval)-1, "wakeups with an open request")
}

// BenchmarkRequest measures one request, from its arrival to its answer.
func BenchmarkRequest(b *testing.B) {
	harness := newHarness(b, defaultSettings())
	events, actions := make([]Event, 1), []Action(nil)
	b.ReportAllocs()
	for i := range b.N {
		harness.now += ms
		id := RequestID(i + 1)
		events[0] = arrivalEvent(id, Arrival{Session: uint64(id), TimeLeft: time.Second})
		actions = harness.router.Step(harness.now, events, actions[:0])
		for _, action := range actions {
			if action.Kind == Send {
				events[0] = Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
					Node: action.Node, Final: true,
					Duration: ms, AnswerEvidence: Evidence{Role: Replica, Position: harness.now},
				}}
			}
		}
		actions = harness.router.Step(harness.now, events, actions[:0])
	}
}
