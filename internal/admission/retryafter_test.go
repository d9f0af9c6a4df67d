package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// retryTally counts clients whose first attempt was rejected, those of them that were served later, and their further
// attempts.
type retryTally struct{ rejected, served, attempts int }

// clientRetry is a client's next attempt.
type clientRetry struct {
	at       time.Duration
	client   uint64
	attempts int // attempts that may follow this one
	tally    *retryTally
}

// retryingClients are clients of tenant 1 in a simulation. They retry rejected requests.
type retryingClients struct {
	*simulation
	patient retryTally // clients that retry after the time that they were given
	hasty   retryTally // clients that retry after 50 ms, whatever time they were given
	retries []clientRetry
}

// offerFirst offers a client's first attempt.
func (r *retryingClients) offerFirst(client uint64, tally *retryTally, attempts int) {
	r.offerRead(1, client, func(request *simRequest) {
		if request.state != served {
			tally.rejected++
			r.schedule(request, client, tally, attempts)
		}
	})
}

// offerRetry offers a client's further attempt.
func (r *retryingClients) offerRetry(retry clientRetry) {
	r.offerRead(1, retry.client, func(request *simRequest) {
		if request.state == served {
			retry.tally.served++
			return
		}
		r.schedule(request, retry.client, retry.tally, retry.attempts)
	})
}

// schedule schedules the next attempt, if any are left.
func (r *retryingClients) schedule(request *simRequest, client uint64, tally *retryTally, attempts int) {
	if attempts == 0 {
		return
	}
	tally.attempts++
	wait := request.retryAfter
	if tally == &r.hasty {
		wait = 50 * ms
	}
	r.retries = append(r.retries, clientRetry{r.now + wait, client, attempts - 1, tally})
}

// offerDueRetries offers the retries that are due.
func (r *retryingClients) offerDueRetries() {
	later := r.retries[:0]
	for _, retry := range r.retries {
		if retry.at > r.now {
			later = append(later, retry)
			continue
		}
		r.offerRetry(retry)
	}
	r.retries = later
}

// runBursts runs bursts in which a tenant offers more than the capacity for two seconds. Half of its clients are
// patient, the others hasty.
func runBursts(t *testing.T, seed uint64) *retryingClients {
	t.Helper()
	clients := &retryingClients{simulation: newSimulation(t, 8, newSettings(1, 1))}
	client := seed << 32
	begun := clients.now
	clients.run(12*time.Second, ms, func() {
		clients.atRate(30, func() { clients.offerRead(0, clients.rng.Uint64(), nil) })
		rate := 40.0
		if inPeriod := (clients.now - begun) % (6 * time.Second); inPeriod < 2*time.Second {
			rate = 160
		}
		clients.atRate(rate, func() {
			if client++; client%2 == 0 {
				clients.offerFirst(client, &clients.patient, 1)
			} else {
				clients.offerFirst(client, &clients.hasty, 2) // as the protocol's clients do
			}
		})
		clients.offerDueRetries()
	})
	return clients
}

// At least four of five clients that retry as scheduled are served. The share of hasty clients that are served is less.
func TestScheduledRetriesAreServed(t *testing.T) {
	clients := runBursts(t, 1)
	patient, hasty, counters := clients.patient, clients.hasty, clients.controller.Counters()
	t.Logf("patient %+v, hasty %+v, %+v", patient, hasty, counters)
	require.Greater(t, patient.rejected, 100)
	require.GreaterOrEqual(t, float64(patient.served), 0.8*float64(patient.rejected))
	patientShare := float64(patient.served) / float64(patient.rejected)
	require.Less(t, float64(hasty.served)/float64(hasty.rejected), patientShare)
	require.Greater(t, counters.RetriesAdmitted, 10*counters.RetriesRejected)
	clients.settle()
}

// No more retries are scheduled for any interval than can be served.
func TestSchedulesNoMoreRetriesThanCapacity(t *testing.T) {
	const slot = 100 * ms
	sim := newSimulation(t, 8, newSettings(1, 1))
	sim.run(5*time.Second, ms, func() {
		sim.atRate(200, func() { sim.offerRead(sim.rng.IntN(2), sim.rng.Uint64(), nil) })
	})
	due := map[time.Duration]int{} // retries by slot
	scheduledBefore := sim.controller.Counters().RetriesScheduled
	for range 2000 {
		sim.offerRead(sim.rng.IntN(2), sim.rng.Uint64(), func(request *simRequest) {
			due[(sim.now+request.retryAfter).Truncate(slot)]++
		})
	}
	sim.step()
	require.Greater(t, sim.controller.Counters().RetriesScheduled, scheduledBefore)
	for at, retries := range due {
		if at < sim.now+sim.controller.settings.MaxRetryAfter*2/5 { // retries later than this may be unscheduled
			require.LessOrEqual(t, retries, 20, "8 cores serve 13 in 100 ms")
		}
	}
}

// The table of scheduled retries has a fixed size, and a flood of retries replaces no pending one.
func TestRetryTableKeepsPendingRetries(t *testing.T) {
	table := newRetryTable(64)
	require.True(t, table.schedule(7, 2*time.Second, time.Second))
	scheduled := 0
	for key := range uint64(10_000) {
		if table.schedule(1000+key, 2*time.Second, time.Second) {
			scheduled++
		}
	}
	require.Equal(t, 63, scheduled)
	require.Equal(t, early, table.consume(7, time.Second))
	require.Equal(t, unscheduled, table.consume(7, 2*time.Second), "an early retry frees the slot")
	require.Equal(t, onTime, table.consume(1001, 2*time.Second-earlyTolerance))
	require.Equal(t, unscheduled, table.consume(1002, 2*time.Second+lateTolerance+1))
	require.True(t, table.schedule(8, 9*time.Second, 8*time.Second), "an overdue retry is replaced")
}

// The sketch finds each client that has over a sixteenth of the total cost, among any number of other clients.
func TestSketchFindsHeavyClients(t *testing.T) {
	var heavy sketch
	for i := range uint64(100_000) {
		heavy.add(1_000_000+i, 1)
		if i%8 == 0 {
			heavy.add(1, 1)
		}
		if i%1000 == 0 {
			heavy.halve()
		}
	}
	require.GreaterOrEqual(t, heavy.add(1, 1), 0)
	require.Equal(t, -1, heavy.add(2, 0.1))
}
