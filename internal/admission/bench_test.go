package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOffer measures one request, from its offer to its end, with a standing queue: that many clients take turns,
// each offered request is queued, and one that waits is admitted for each that ends.
func BenchmarkOffer(b *testing.B) {
	for _, flows := range []int{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			s := settings(1, 1, 1, 1)
			s.Bounds.LimitMax = 16
			s.Bounds.Queue = 1024
			d := New(s, 1)
			now := time.Hour
			var events []Event
			var out []Action
			var inside []uint64
			id := uint64(0)
			step := func() {
				now += 100 * time.Microsecond
				events = events[:0]
				if len(inside) > 8 {
					events = append(events, Event{Kind: Ended, Request: inside[0], Outcome: Outcome{Ran: true, Took: 60 * ms}})
					inside = append(inside[:0], inside[1:]...)
				}
				id++
				events = append(events, Event{Kind: Offered, Request: id, Offer: Offer{
					Tenant: int(id % 4), Class: report,
					Client: id % uint64(flows), Expires: 20 * time.Second, Work: ms,
				}})
				out = d.Step(now, events, out[:0])
				for _, a := range out {
					if a.Kind == Admit {
						inside = append(inside, a.Request)
					}
				}
			}
			for range 200_000 {
				step()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				step()
			}
		})
	}
}

// In steady state nothing is allocated, however many clients there are.
func TestNoAllocation(t *testing.T) {
	s := settings(1, 1)
	s.Bounds.LimitMax = 16
	d := New(s, 1)
	now, id := time.Hour, uint64(0)
	events, out := make([]Event, 0, 64), make([]Action, 0, 4096)
	var inside []uint64
	step := func() {
		for range 100 {
			now += ms / 10
			events = events[:0]
			for len(inside) > 8 {
				events = append(events, Event{Kind: Ended, Request: inside[0], Outcome: Outcome{Ran: true, Took: 60 * ms}})
				inside = append(inside[:0], inside[1:]...)
			}
			id++
			events = append(events, Event{Kind: Offered, Request: id, Offer: Offer{Tenant: int(id % 2), Class: report, Client: id, Expires: 20 * time.Second}})
			out = d.Step(now, events, out[:0])
			for _, a := range out {
				if a.Kind == Admit {
					inside = append(inside, a.Request)
				}
			}
		}
	}
	for range 1000 {
		step()
	}
	if n := testing.AllocsPerRun(100, step); n > 1 {
		t.Errorf("%v allocations in 100 offers", n)
	}
}
