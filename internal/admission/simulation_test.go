package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// The classes of newSettings.
const (
	read = iota
	report
	write
)

// newSettings returns settings with tenants "a", "b" and so on of the given weights.
func newSettings(weights ...float64) Settings {
	settings := Settings{
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms},
			{Name: "report", LatencyObjective: 5 * time.Second},
			{Name: "write", LatencyObjective: time.Second, Primary: true},
		}, Tolerance: 1.3, MaxRetryAfter: 2 * time.Second,
		Bounds: Bounds{MaxWaiting: 512, MaxQueues: 8, MaxRetries: 1024, MinConcurrency: 2, MaxConcurrency: 1000},
	}
	for i, weight := range weights {
		settings.Tenants = append(settings.Tenants, Tenant{Name: string(rune('a' + i)), Weight: weight})
	}
	return settings
}

// simulation is a controller in front of simulated databases with a number of cores, in virtual time. An admitted
// request waits for a core and occupies it for the duration of its work. The simulation checks that each request ends
// once.
type simulation struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
	cores      int
	queue      []*simRequest // admitted, waiting for a core
	running    []*simRequest
	requests   map[uint64]*simRequest // requests that have not ended
	lastID     uint64
	events     []Event
	rng        *rand.Rand
	maxQueued  int // maximum number of requests that waited at the same time
}

// simRequest is one request of a simulation.
type simRequest struct {
	id         uint64
	offer      Offer
	work       time.Duration
	offeredAt  time.Duration
	admittedAt time.Duration
	endsAt     time.Duration
	state      requestState
	retryAfter time.Duration // if rejected
	onEnd      func(*simRequest)
}

// requestState is the state of a simulated request.
type requestState uint8

const (
	waiting requestState = iota
	running
	served
	rejected
	disconnected
)

func newSimulation(t *testing.T, cores int, settings Settings) *simulation {
	return &simulation{
		t: t, controller: New(settings, 7), now: time.Hour, cores: cores,
		requests: map[uint64]*simRequest{}, rng: rand.New(rand.NewPCG(1, 2)),
	}
}

// offer offers a request; onEnd, if any, is called when it ends.
func (s *simulation) offer(
	tenant, class int, client uint64, work time.Duration, onEnd func(*simRequest),
) *simRequest {
	s.lastID++
	request := &simRequest{
		id: s.lastID, work: work, offeredAt: s.now, onEnd: onEnd,
		offer: Offer{
			Tenant: tenant, Class: class, Client: client,
			Expires: 4 * s.controller.settings.Classes[class].LatencyObjective,
		},
	}
	s.requests[request.id] = request
	s.events = append(s.events, Event{Kind: Offered, Request: request.id, Offer: request.offer})
	return request
}

// offerRead offers a read of 60 ms.
func (s *simulation) offerRead(tenant int, client uint64, onEnd func(*simRequest)) *simRequest {
	return s.offer(tenant, read, client, 60*ms, onEnd)
}

// offerReport offers a report of a second.
func (s *simulation) offerReport(tenant int, client uint64, onEnd func(*simRequest)) *simRequest {
	return s.offer(tenant, report, client, time.Second, onEnd)
}

// disconnect disconnects the client of a request if the request waits.
func (s *simulation) disconnect(request *simRequest) {
	if request.state == waiting {
		s.end(request, disconnected)
		s.events = append(s.events, Event{Kind: Disconnected, Request: request.id})
	}
}

// step passes the events to the controller and carries out the actions.
func (s *simulation) step() {
	s.t.Helper()
	events := s.events
	s.events = nil
	left := map[uint64]bool{}
	for _, event := range events {
		left[event.Request] = left[event.Request] || event.Kind == Disconnected
	}
	for _, action := range s.controller.Step(s.now, events, nil) {
		if left[action.Request] { // rejected in the Step whose batch also has the client's disconnect
			require.NotEqual(s.t, Admit, action.Kind)
			continue
		}
		s.act(action)
	}
	s.maxQueued = max(s.maxQueued, s.controller.queued)
}

// act carries out an action.
func (s *simulation) act(action Action) {
	s.t.Helper()
	request := s.requests[action.Request]
	switch action.Kind {
	case Admit:
		require.Equal(s.t, waiting, request.state, "admitted twice, or after the request's end")
		request.state, request.admittedAt = running, s.now
		s.queue = append(s.queue, request)
	case Reject:
		require.Equal(s.t, waiting, request.state, "rejected twice, or after the request's end")
		require.LessOrEqual(s.t, action.After, s.controller.settings.MaxRetryAfter)
		request.retryAfter = action.After
		s.end(request, rejected)
	}
}

// end ends a request with a final state.
func (s *simulation) end(request *simRequest, state requestState) {
	request.state = state
	delete(s.requests, request.id)
	if request.onEnd != nil {
		request.onEnd(request)
	}
}

// run advances the time in steps of a millisecond, and calls each in every one. The controller is stepped once per
// batch, or every millisecond if batch is shorter. A longer batch simulates pauses of the process.
func (s *simulation) run(duration, batch time.Duration, each func()) {
	s.t.Helper()
	for end := s.now + duration; s.now < end; {
		s.now += ms
		if each != nil {
			each()
		}
		s.endServed()
		if s.now%max(batch, ms) == 0 {
			s.step()
		}
		s.startQueued()
	}
}

// endServed ends the requests whose work is done.
func (s *simulation) endServed() {
	remaining := s.running[:0]
	for _, request := range s.running {
		if request.endsAt > s.now {
			remaining = append(remaining, request)
			continue
		}
		outcome := Outcome{Ran: true, Took: s.now - request.admittedAt}
		s.events = append(s.events, Event{Kind: Ended, Request: request.id, Outcome: outcome})
		s.end(request, served)
	}
	s.running = remaining
}

// startQueued starts admitted requests on the free cores.
func (s *simulation) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.cores {
		request := s.queue[0]
		s.queue = s.queue[1:]
		request.endsAt = s.now + request.work
		s.running = append(s.running, request)
	}
}

// settle lets all open requests end, and checks that they leave no state.
func (s *simulation) settle() {
	s.t.Helper()
	s.run(20*time.Second, ms, nil)
	require.Empty(s.t, s.requests, "every request ends")
	require.Zero(s.t, s.controller.queued)
	require.Empty(s.t, s.controller.entryIndex)
	counters := s.controller.Counters()
	rejections := counters.TooLate + counters.QueueFull + counters.OverCeiling + counters.ClassGone + counters.Expired
	require.Equal(s.t, counters.Offered, counters.Admitted+counters.Left+rejections)
	for _, queue := range s.controller.queues {
		require.Zero(s.t, queue.queued)
		require.Zero(s.t, queue.inFlight)
		require.Zero(s.t, queue.backlog)
		require.Empty(s.t, queue.active)
		for _, tenant := range queue.subqueues {
			if tenant == nil {
				continue
			}
			require.Zero(s.t, tenant.queued)
			require.Zero(s.t, tenant.inFlight)
			require.Empty(s.t, tenant.active[short])
			require.Empty(s.t, tenant.active[long])
		}
	}
}

// atRate calls a function at random times, at an average rate a second. It must be called each millisecond.
func (s *simulation) atRate(rate float64, call func()) {
	for left := rate / 1000; left > 0; left-- {
		if s.rng.Float64() < left {
			call()
		}
	}
}

// tally counts how requests ended.
type tally struct {
	offered, served, inTime, rejected int
	work                              time.Duration // work of the served requests
}

// record counts an offer. The function that it returns counts the end of the request.
func (c *tally) record(sim *simulation) func(*simRequest) {
	c.offered++
	return func(request *simRequest) {
		if request.state != served {
			c.rejected++
			return
		}
		c.served++
		c.work += request.work
		if sim.now-request.offeredAt <= sim.controller.settings.Classes[request.offer.Class].LatencyObjective {
			c.inTime++
		}
	}
}

// share returns the share of the offered requests that were served in time.
func (c *tally) share() float64 { return float64(c.inTime) / float64(max(1, c.offered)) }
