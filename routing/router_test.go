package routing

import (
	"testing"
	"time"
)

// A router with nothing to place looks round a few times a second, not a hundred: so many of them, idle, would wake
// their machine for nothing. With a request open it is back at once.
func TestIdleRouterWakesRarely(t *testing.T) {
	h := newHarness(t, settings())
	h.now += time.Second
	due := h.now
	step := func(e Event) {
		for _, a := range h.r.Step(h.now, []Event{e}, nil) {
			if a.Kind == SetTimer {
				due = h.now + a.Delay
			}
		}
	}
	wakes := func() (n int) {
		for end := h.now + time.Second; h.now < end; h.now += ms {
			if h.now >= due {
				step(Event{Kind: TimerFired})
				n++
			}
		}
		return n
	}
	if n := wakes(); n > int(time.Second/retrySpacing)+1 {
		t.Errorf("%d wakes in an idle second", n)
	}
	h.r.byID[1].role = Replica // nobody leads
	step(Event{Kind: RequestArrived, Request: 7, Arrival: Arrival{Class: classWrite, TimeLeft: time.Minute}})
	if n := wakes(); n < int(time.Second/tickInterval)-1 {
		t.Errorf("%d wakes in a second with a request open", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	h := newHarness(&testing.T{}, settings())
	events, out := make([]Event, 1), []Action(nil)
	b.ReportAllocs()
	for i := range b.N {
		h.now += ms
		id := RequestID(i + 1)
		events[0] = Event{Kind: RequestArrived, Request: id, Arrival: Arrival{Session: uint64(id), TimeLeft: time.Second}}
		out = h.r.Step(h.now, events, out[:0])
		for _, a := range out {
			if a.Kind == Send {
				events[0] = Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
					Node: a.Node, Final: true,
					Duration: ms, Note: Evidence{Role: Replica, Position: h.now},
				}}
			}
		}
		out = h.r.Step(h.now, events, out[:0])
	}
}
