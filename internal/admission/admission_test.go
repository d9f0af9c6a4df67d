package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the databases have capacity no request waits: each is admitted in the Step that offers it.
func TestNothingWaitsBelowLimit(t *testing.T) {
	sim := newSimulation(t, 8, newSettings(1, 1))
	sim.run(10*time.Second, ms, func() {
		sim.atRate(60, func() { sim.offerRead(sim.rng.IntN(2), sim.rng.Uint64(), nil) })
	})
	sim.settle()
	require.Zero(t, sim.controller.Counters().Waited)
	require.Equal(t, sim.controller.Counters().Offered, sim.controller.Counters().Admitted)
}

// limiterKinds are the limiters that the tests of shares run with.
var limiterKinds = map[string]LimiterKind{"gradient": Gradient, "aimd": AIMD}

// Tenants that all offer more than the capacity get shares of the work by weight. The shares do not depend on the cost
// of their requests, their rates or their numbers of clients.
func TestSharesByWeight(t *testing.T) {
	for name, kind := range limiterKinds {
		t.Run(name, func(t *testing.T) {
			settings := newSettings(1, 2, 1)
			settings.Limiter = kind
			sim := newSimulation(t, 12, settings)
			var tenants [3]tally
			sim.run(60*time.Second, ms, func() {
				// Thousands of clients.
				sim.atRate(300, func() { sim.offerRead(0, sim.rng.Uint64(), tenants[0].record(sim)) })
				// One client.
				sim.atRate(400, func() { sim.offerRead(1, 5, tenants[1].record(sim)) })
				// Few clients, with long requests.
				sim.atRate(40, func() { sim.offerReport(2, sim.rng.Uint64()%3, tenants[2].record(sim)) })
			})
			sim.settle()
			total := (tenants[0].work + tenants[1].work + tenants[2].work).Seconds()
			require.Greater(t, total, 0.85*12*60, "work conserving")
			for i, share := range []float64{0.25, 0.5, 0.25} {
				require.InDelta(t, share, tenants[i].work.Seconds()/total, 0.06, "tenant %d of %v", i, total)
			}
		})
	}
}

// A tenant gets all the capacity while no other offers requests.
func TestSingleTenantGetsAllCapacity(t *testing.T) {
	sim := newSimulation(t, 4, newSettings(0.01, 100))
	var only tally
	sim.run(20*time.Second, ms, func() { sim.atRate(200, func() { sim.offerRead(0, 1, only.record(sim)) }) })
	sim.settle()
	require.Greater(t, only.work.Seconds(), 0.9*4*20)
}

// quietShare returns the share of a quiet tenant's reads that are served in time while another tenant offers reports at
// a rate a second.
func quietShare(t *testing.T, kind LimiterKind, reportRate float64) float64 {
	t.Helper()
	settings := newSettings(1, 1)
	settings.Limiter = kind
	sim := newSimulation(t, 8, settings)
	offer := func(quiet *tally) {
		sim.atRate(20, func() {
			client := sim.rng.Uint64()
			work := 49*ms + time.Duration(sim.rng.IntN(36))*ms
			sim.offer(0, read, client, work, quiet.record(sim))
		})
		sim.atRate(reportRate, func() {
			client := sim.rng.Uint64()
			work := 810*ms + time.Duration(sim.rng.IntN(590))*ms
			sim.offer(1, report, client, work, nil)
		})
	}
	var warmUp, quiet tally
	sim.run(5*time.Second, ms, func() { offer(&warmUp) }) // until the limit has settled
	sim.run(60*time.Second, ms, func() { offer(&quiet) })
	sim.settle()
	return quiet.share()
}

// A quiet tenant is served as if it were alone, however many requests another offers.
func TestLoadOfOneTenantDoesNotDelayAnother(t *testing.T) {
	for name, kind := range limiterKinds {
		t.Run(name, func(t *testing.T) {
			alone, beside, tripled := quietShare(t, kind, 0), quietShare(t, kind, 10), quietShare(t, kind, 30)
			t.Logf("alone %.3f, beside %.3f, tripled %.3f", alone, beside, tripled)
			require.Equal(t, 1.0, alone)
			if kind == Gradient { // the result of AIMD is only logged
				require.Greater(t, beside, alone-0.02)
				require.Greater(t, tripled, alone-0.02)
			}
		})
	}
}

// A tenant that splits itself over thousands of connections gains nothing over one that does not.
func TestSplittingOverConnectionsGainsNothing(t *testing.T) {
	sim := newSimulation(t, 4, newSettings(1, 1))
	var one, many tally
	sim.run(30*time.Second, ms, func() {
		sim.atRate(100, func() { sim.offerRead(0, 1, one.record(sim)) })
		sim.atRate(100, func() { sim.offerRead(1, sim.rng.Uint64(), many.record(sim)) })
	})
	sim.settle()
	require.InDelta(t, 1, one.work.Seconds()/many.work.Seconds(), 0.1)
}

// Within a tenant, a client that offers a hundred times as much as another does not starve it.
func TestHeavyClientDoesNotStarveOthers(t *testing.T) {
	sim := newSimulation(t, 4, newSettings(1))
	var quiet, loud tally
	sim.run(30*time.Second, ms, func() {
		sim.atRate(5, func() { sim.offerRead(0, 1, quiet.record(sim)) })
		sim.atRate(500, func() { sim.offerRead(0, 2, loud.record(sim)) })
	})
	sim.settle()
	require.Greater(t, quiet.share(), 0.95)
	require.Less(t, loud.share(), 0.3)
}

// A hundred thousand clients with one request each leave no state, and a regular client is served.
func TestManyClientsLeaveNoState(t *testing.T) {
	sim := newSimulation(t, 8, newSettings(1, 1))
	var regular tally
	sim.run(time.Second, ms, func() { sim.atRate(20, func() { sim.offerRead(0, 1, nil) }) })
	client := uint64(1 << 20)
	sim.run(10*time.Second, ms, func() {
		for range 10 {
			client++
			sim.offerRead(1, client, nil)
		}
		sim.atRate(20, func() { sim.offerRead(0, 1, regular.record(sim)) })
	})
	require.LessOrEqual(t, sim.maxQueued, sim.controller.settings.Bounds.MaxWaiting)
	require.Less(t, len(sim.controller.entries), 3*sim.controller.settings.Bounds.MaxWaiting)
	sim.settle()
	require.Greater(t, sim.controller.Counters().Offered, int64(100_000))
	require.Greater(t, regular.share(), 0.95)
}

// When the queue is full, the newest request of the heaviest flow is rejected, not the quiet tenant's.
func TestFullQueueRejectsHeaviestFlow(t *testing.T) {
	settings := newSettings(1, 1)
	settings.Bounds.MaxWaiting, settings.Bounds.MaxConcurrency = 8, 2
	sim := newSimulation(t, 0, settings)
	for i := range 10 {
		sim.offerReport(1, 9, nil)
		if i == 1 {
			sim.step()
		}
	}
	newest := sim.offerReport(1, 9, nil)
	sim.controller.queues[0].endedRate = 100 // a rate at which no request is predicted to be late
	sim.step()
	quiet := sim.offerRead(0, 1, nil)
	sim.step()
	require.Equal(t, waiting, quiet.state)
	require.Equal(t, rejected, newest.state)
	require.Equal(t, 8, sim.controller.queued)
	require.Positive(t, sim.controller.Counters().QueueFull)
	loud := sim.controller.queues[0].subqueues[1]
	oldest := sim.controller.entries[loud.flows[loud.active[short][0]].first]
	require.Equal(t, uint64(3), oldest.request, "the oldest waiting request stays")
}

// Requests that cannot be admitted in time are rejected on arrival. Those that wait are admitted or rejected by
// admitBy.
func TestRejectsLongBeforeClientTimeout(t *testing.T) {
	sim := newSimulation(t, 4, newSettings(1, 1))
	longest := time.Duration(0)
	sim.run(30*time.Second, ms, func() {
		sim.atRate(200, func() {
			sim.offerRead(sim.rng.IntN(2), sim.rng.Uint64()%50, func(request *simRequest) {
				if request.state == rejected {
					longest = max(longest, sim.now-request.offeredAt)
				}
			})
		})
	})
	sim.settle()
	require.Positive(t, sim.controller.Counters().TooLate)
	require.LessOrEqual(t, longest, 300*ms, "the latency objective, a quarter of the client's timeout")
	counters := sim.controller.Counters()
	require.Less(t, counters.Expired, counters.TooLate/4, "most are rejected on arrival")
}

// The capacity halves while a long queue waits: the requests at its end are rejected as soon as the rate falls.
func TestRejectsQueuedRequestsWhenCapacityFalls(t *testing.T) {
	sim := newSimulation(t, 16, newSettings(1, 1))
	sim.run(20*time.Second, ms, func() {
		sim.atRate(40, func() { sim.offerReport(sim.rng.IntN(2), sim.rng.Uint64(), nil) })
	})
	before := sim.controller.Counters().TooLate
	sim.cores = 8
	queued := sim.controller.queued
	sim.run(3*time.Second, ms, nil)
	require.Positive(t, queued)
	require.Greater(t, sim.controller.Counters().TooLate, before, "queued requests are rejected")
	sim.settle()
	require.Less(t, sim.controller.Counters().Expired, int64(queued)/2+sim.controller.Counters().TooLate)
}

// Shares stay fair in a process that is paused repeatedly and receives the events of a second in one batch.
func TestSharesAreFairWithDelayedBatches(t *testing.T) {
	sim := newSimulation(t, 40, newSettings(1, 1))
	var one, two tally
	sim.run(60*time.Second, time.Second, func() {
		sim.atRate(40, func() { sim.offerReport(0, 1, one.record(sim)) })
		sim.atRate(120, func() { sim.offerReport(1, sim.rng.Uint64(), two.record(sim)) })
	})
	sim.settle()
	require.InDelta(t, 1, one.work.Seconds()/two.work.Seconds(), 0.15)
	require.Greater(t, sim.controller.queues[0].limiter.limit(), 4.0, "a batch is one window, with one reduction")
}

// A client that disconnects frees the place of its request, whether it waits or is in flight.
func TestDisconnectFreesPlace(t *testing.T) {
	settings := newSettings(1, 1)
	settings.Bounds.MaxConcurrency = 2
	sim := newSimulation(t, 2, settings)
	var impatient []*simRequest
	sim.run(20*time.Second, ms, func() {
		sim.atRate(50, func() {
			request := sim.offer(sim.rng.IntN(2), report, sim.rng.Uint64()%9, 300*ms, nil)
			if sim.rng.IntN(2) == 0 {
				impatient = append(impatient, request)
			}
		})
		if sim.now%(50*ms) == 0 {
			for _, request := range impatient {
				sim.disconnect(request)
			}
			impatient = nil
		}
	})
	sim.settle()
	require.Positive(t, sim.controller.Counters().Left)
}

// Reads and writes of one group, and two groups, do not wait for one another.
func TestQueuesAreIndependent(t *testing.T) {
	settings := newSettings(1)
	settings.Bounds.MaxConcurrency = 2
	sim := newSimulation(t, 0, settings)
	for range 20 {
		sim.offerReport(0, sim.rng.Uint64(), nil)
	}
	sim.step()
	require.Positive(t, sim.controller.queued)
	ofPrimary := sim.offer(0, write, 1, 60*ms, nil)
	ofOtherGroup := sim.offerRead(0, 1, nil)
	sim.events[len(sim.events)-1].Offer.Group = 1
	sim.step()
	require.Equal(t, running, ofPrimary.state)
	require.Equal(t, running, ofOtherGroup.state)
}

// Floors have priority over weights, and ceilings apply even if there is spare capacity.
func TestFloorsAndCeilingsOverrideWeights(t *testing.T) {
	settings := newSettings(0.01, 1, 1, 1)
	settings.Tenants[0].Floor = 10
	settings.Tenants[2].Ceiling = 5
	settings.Tenants[3].CeilingShare = 0.25
	sim := newSimulation(t, 6, settings)
	var tenants [4]tally
	sim.run(30*time.Second, ms, func() {
		sim.atRate(8, func() { sim.offerRead(0, 1, tenants[0].record(sim)) })
		sim.atRate(300, func() { sim.offerRead(1, sim.rng.Uint64(), tenants[1].record(sim)) })
		sim.atRate(20, func() { sim.offerRead(2, 1, tenants[2].record(sim)) })
	})
	sim.settle()
	require.Greater(t, tenants[0].share(), 0.9, "a floor")
	require.InDelta(t, 5*30, tenants[2].served, 15, "a ceiling")
	require.Positive(t, sim.controller.Counters().OverCeiling)
	maxInFlight := 0
	sim.run(10*time.Second, ms, func() {
		sim.atRate(300, func() { sim.offerRead(3, sim.rng.Uint64(), tenants[3].record(sim)) })
		queue := sim.controller.queues[0]
		if tenant := queue.subqueues[3]; tenant != nil {
			maxInFlight = max(maxInFlight, tenant.inFlight)
			require.LessOrEqual(t, float64(tenant.inFlight), max(1, 0.25*queue.limiter.limit())+1)
		}
	})
	require.Positive(t, maxInFlight)
	sim.settle()
}

// Queued requests follow their tenant and class by name to new settings. Those of a removed class are rejected, those
// of a removed tenant stay queued.
func TestSettingsChangeKeepsQueuedRequests(t *testing.T) {
	settings := newSettings(1, 1, 1)
	settings.Bounds.MaxConcurrency = 2
	sim := newSimulation(t, 0, settings)
	var requests []*simRequest
	for i := range 12 {
		requests = append(requests, sim.offer(i%3, i%2, uint64(i), time.Second, nil))
	}
	sim.step()
	require.GreaterOrEqual(t, sim.controller.queued, 9)
	requests = slices.DeleteFunc(requests, func(request *simRequest) bool { return request.state != waiting })
	changed := newSettings(1)
	changed.Tenants[0].Name = "c" // a and b are removed
	changed.Classes = []Class{settings.Classes[2], settings.Classes[1]}
	changed.Bounds.MaxConcurrency = 100
	sim.events = append(sim.events, Event{Kind: SettingsChanged, Settings: &changed})
	sim.offer(0, 1, 99, time.Second, nil)
	sim.step()
	require.Positive(t, sim.controller.Counters().ClassGone)
	for _, request := range requests {
		require.Equal(t, request.offer.Class == read, request.state == rejected)
	}
	queued := 0
	for _, tenant := range sim.controller.Tenants() {
		queued += int(tenant.Queued)
	}
	require.Equal(t, sim.controller.Queued(), queued, "the tenants' figures add up")
	sim.cores = 4
	sim.settle()
}

// Equal calls give equal actions.
func TestEqualCallsGiveEqualActions(t *testing.T) {
	run := func() Counters {
		sim := newSimulation(t, 4, newSettings(1, 1))
		sim.run(5*time.Second, ms, func() {
			sim.atRate(200, func() { sim.offerRead(sim.rng.IntN(2), sim.rng.Uint64()%99, nil) })
		})
		sim.settle()
		return sim.controller.Counters()
	}
	require.Equal(t, run(), run())
}
