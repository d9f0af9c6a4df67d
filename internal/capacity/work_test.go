package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/capacity"
)

const ms = time.Millisecond

// The work of a class is proportional to the time its answers take, and is 1 for the mean request.
func TestWorkIsRelativeToTheMeanRequest(t *testing.T) {
	var work capacity.Work
	require.Equal(t, 1.0, work.RelativeWork(0), "no classes are set")
	work.SetObjectives([]time.Duration{300 * ms, 5000 * ms})
	require.Equal(t, 1.0, work.RelativeWork(1), "no request has arrived")
	for range 50 {
		for range 19 {
			work.Arrived(0)
			work.Answered(0, 60*ms)
		}
		work.Arrived(1)
		work.Answered(1, 1200*ms)
	}
	mean := 0.95*60 + 0.05*1200
	require.InDelta(t, 60/mean, work.RelativeWork(0), 0.03)
	require.InDelta(t, 1200/mean, work.RelativeWork(1), 0.4)
	require.Equal(t, 1.0, work.RelativeWork(2), "unknown class")
	require.InDelta(t, 1, 0.95*work.RelativeWork(0)+0.05*work.RelativeWork(1), 1e-9,
		"the work of the mean request is 1")
}

// A class without answers is assumed to take the same share of its objective as the other classes. Setting the same
// objectives again keeps the statistics, and other objectives reset them.
func TestWorkOfUnansweredClassFollowsItsObjective(t *testing.T) {
	var work capacity.Work
	objectives := []time.Duration{300 * ms, 3000 * ms}
	work.SetObjectives(objectives)
	for range 30 {
		work.Arrived(0)
		work.Answered(0, 60*ms)
	}
	require.InDelta(t, 10, work.RelativeWork(1), 1e-9)
	work.SetObjectives(objectives)
	require.InDelta(t, 10, work.RelativeWork(1), 1e-9)
	work.Arrived(1)
	work.SetObjectives([]time.Duration{300 * ms, 300 * ms})
	require.Equal(t, 1.0, work.RelativeWork(1))
}

// The estimate follows a change of the traffic even after many requests: older samples weigh less.
func TestWorkFollowsTheTraffic(t *testing.T) {
	var work capacity.Work
	work.SetObjectives([]time.Duration{time.Second, time.Second})
	answer := func(tookOfClass1 time.Duration, requests int) {
		for range requests {
			for class, took := range []time.Duration{60 * ms, tookOfClass1} {
				work.Arrived(class)
				work.Answered(class, took)
			}
		}
	}
	answer(60*ms, 100000)
	require.InDelta(t, 1, work.RelativeWork(1), 1e-6)
	answer(600*ms, 10000)
	require.InDelta(t, 600.0/330, work.RelativeWork(1), 0.1)
}
