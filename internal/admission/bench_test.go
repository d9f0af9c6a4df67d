package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// standingQueue is a controller under load, with requests that always wait: an offered request is queued, and a waiting
// request is admitted for each request that ends.
type standingQueue struct {
	controller *Controller
	now        time.Duration
	events     []Event
	actions    []Action
	inFlight   []uint64
	lastID     uint64
	template   Offer
	maxEnds    int // maximum of the requests that end before each offer
}

func newStandingQueue(settings Settings, template Offer, maxEnds int) *standingQueue {
	settings.Bounds.MaxConcurrency = 16
	template.Class, template.Expires = report, 20*time.Second
	return &standingQueue{
		controller: New(settings, 1), now: time.Hour, template: template, maxEnds: maxEnds,
		events: make([]Event, 0, 64), actions: make([]Action, 0, 4096),
	}
}

// offer ends requests if more than 8 are in flight, and offers one. Tenants and clients take turns.
func (q *standingQueue) offer(tenants, clients uint64) {
	q.now += 100 * time.Microsecond
	q.events = q.events[:0]
	for ends := 0; len(q.inFlight) > 8 && ends < q.maxEnds; ends++ {
		outcome := Outcome{Ran: true, Took: 60 * ms}
		q.events = append(q.events, Event{Kind: Ended, Request: q.inFlight[0], Outcome: outcome})
		q.inFlight = append(q.inFlight[:0], q.inFlight[1:]...)
	}
	q.lastID++
	offer := q.template
	offer.Tenant, offer.Client = int(q.lastID%tenants), q.lastID%clients
	q.events = append(q.events, Event{Kind: Offered, Request: q.lastID, Offer: offer})
	q.actions = q.controller.Step(q.now, q.events, q.actions[:0])
	for _, action := range q.actions {
		if action.Kind == Admit {
			q.inFlight = append(q.inFlight, action.Request)
		}
	}
}

// BenchmarkOffer measures one request, from its offer to its end, while other requests always wait.
func BenchmarkOffer(b *testing.B) {
	for _, clients := range []uint64{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", clients), func(b *testing.B) {
			settings := newSettings(1, 1, 1, 1)
			settings.Bounds.MaxWaiting = 1024
			queue := newStandingQueue(settings, Offer{Work: ms}, 1)
			for range 200_000 {
				queue.offer(4, clients)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				queue.offer(4, clients)
			}
		})
	}
}

// In steady state Step allocates nothing, whatever the number of clients.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	queue := newStandingQueue(newSettings(1, 1), Offer{}, math.MaxInt)
	offerHundred := func() {
		for range 100 {
			queue.offer(2, math.MaxUint64)
		}
	}
	for range 1000 {
		offerHundred()
	}
	require.LessOrEqual(t, testing.AllocsPerRun(100, offerHundred), 1.0, "in 100 offers")
}
