package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/capacity"
)

// A database that executes one request per core always has as many requests in flight as its size allows. The size
// converges from any initial size: the database is fully used, and no more requests wait than are executed.
func TestSizeConverges(t *testing.T) {
	for _, cores := range []float64{1, 3, 8, 40} {
		for _, initial := range []capacity.Size{0.5, 1, 30} {
			t.Run(fmt.Sprintf("%v cores, initial size %v", cores, initial), func(t *testing.T) {
				size := initial
				for range 10000 {
					inFlight := 4 * float64(size) // the bound of a database of that size
					size = size.AfterReport(inFlight/float64(size), max(0, inFlight-cores))
				}
				inFlight := 4 * float64(size)
				require.GreaterOrEqual(t, inFlight, cores*0.99, "not fully used")
				waiting := inFlight - cores
				require.LessOrEqual(t, waiting, capacity.UnitConcurrency*float64(size)*1.01, "overloaded")
			})
		}
	}
}

// Few requests in flight or a short queue do not show the size of a database.
func TestSizeIsUnchangedWithoutEvidence(t *testing.T) {
	size := capacity.Size(2)
	require.Equal(t, size, size.AfterReport(capacity.UnitConcurrency-0.1, 0))
	require.Equal(t, size, size.AfterReport(20, 1))
	require.Equal(t, size, size.AfterReport(0, capacity.UnitConcurrency*2))
}

// slowStartDatabase is a warming database that executes the requests of several senders in order. Each sender has its
// own budget.
type slowStartDatabase struct {
	senders     [7]capacity.SlowStart
	queue       []int           // for each waiting request, the index of its sender
	sent        []time.Duration // times of the sends in the last window
	maxInWindow int             // the largest number of sends in a window
	done        int             // requests that were answered
}

const (
	slowStartWindow   = time.Second
	slowStartMultiple = 3.0
)

// send makes each sender whose budget allows it send one request. The demand exceeds the capacity: without budgets the
// database would be overloaded.
func (d *slowStartDatabase) send(now time.Duration) {
	minBudget := 3.0 / float64(len(d.senders))
	for i := range d.senders {
		sender := &d.senders[i]
		if len(d.queue) < 60 && sender.Remaining(now, 0, slowStartWindow, slowStartMultiple, 0, minBudget) >= 0.4 {
			sender.Sent(now, slowStartWindow, 1)
			d.sent = append(d.sent, now)
			d.queue = append(d.queue, i)
		}
	}
}

// answer answers the first request of the queue.
func (d *slowStartDatabase) answer(now time.Duration) {
	if len(d.queue) > 0 {
		d.senders[d.queue[0]].Answered(now, 1)
		d.queue = d.queue[1:]
		d.done++
	}
}

// recordWindow updates maxInWindow with the number of sends in the window that ends now.
func (d *slowStartDatabase) recordWindow(now time.Duration) {
	for len(d.sent) > 0 && now-d.sent[0] > slowStartWindow {
		d.sent = d.sent[1:]
	}
	d.maxInWindow = max(d.maxInWindow, len(d.sent))
}

// Each sender counts only its own answers. Together the senders stay within the budget of the database and use most of
// its capacity, although each starts with the minimum budget and an estimated capacity of zero.
func TestSlowStartSendersShareTheBudget(t *testing.T) {
	const step = time.Millisecond
	for _, perSecond := range []int{40, 300} { // capacity of the database
		t.Run(fmt.Sprintf("%d requests per second", perSecond), func(t *testing.T) {
			var database slowStartDatabase
			for now := step; now < 20*time.Second; now += step {
				database.send(now)
				if int(now/step)*perSecond/1000 > int((now-step)/step)*perSecond/1000 {
					database.answer(now)
				}
				database.recordWindow(now)
			}
			budget := slowStartMultiple * float64(perSecond) * slowStartWindow.Seconds()
			require.LessOrEqual(t, float64(database.maxInWindow), budget)
			require.Greater(t, float64(database.done), 0.9*18*float64(perSecond), "capacity is not used")
		})
	}
}

// After a restart, answers of the previous process do not raise the budget. Sends from before the restart was known
// still count against it.
func TestSlowStartAfterRestartCountsSendsButNoOldAnswers(t *testing.T) {
	const minBudget = 2.0
	var budget capacity.SlowStart
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		budget.Sent(now, slowStartWindow, 0.1)
		budget.Answered(now, 5)
	}
	now, started := 2*time.Second, 1950*time.Millisecond
	remaining := func(at time.Duration) float64 {
		return budget.Remaining(at, started, slowStartWindow, slowStartMultiple, 0, minBudget)
	}
	require.InDelta(t, minBudget-1, remaining(now), 1e-9)
	budget.Answered(now, 4)
	require.InDelta(t, 0.5*slowStartMultiple*4-1, remaining(now), 1e-9)
	require.InDelta(t, minBudget, remaining(now+2*slowStartWindow), 1e-9)
}

// Sends to a warm database take no more memory than those of one window.
func TestMemoryOfSendsIsBounded(t *testing.T) {
	var budget capacity.SlowStart
	const interval = time.Millisecond
	now := time.Second
	allocated := testing.AllocsPerRun(100, func() {
		for range 10 * int(slowStartWindow/interval) {
			now += interval
			budget.Sent(now, slowStartWindow, 1)
		}
	})
	require.LessOrEqual(t, allocated, 1.0)
}
