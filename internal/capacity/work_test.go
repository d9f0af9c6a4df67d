package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/capacity"
)

const millisecond = time.Millisecond

// The work of a class is told from how long its answers take, as a multiple of the mean request's.
func TestWorkOfClasses(t *testing.T) {
	var w capacity.Work
	require.Equal(t, 1.0, w.Of(0), "nothing is known")
	w.SetObjectives([]time.Duration{300 * millisecond, 5000 * millisecond})
	require.Equal(t, 1.0, w.Of(1), "nothing has arrived")
	for range 50 {
		for range 19 {
			w.Arrived(0)
			w.Answered(0, 60*millisecond)
		}
		w.Arrived(1)
		w.Answered(1, 1200*millisecond)
	}
	mean := 0.95*60 + 0.05*1200
	require.InDelta(t, 60/mean, w.Of(0), 0.03)
	require.InDelta(t, 1200/mean, w.Of(1), 0.4)
	require.Equal(t, 1.0, w.Of(2), "no such class")
	require.InDelta(t, 1, 0.95*w.Of(0)+0.05*w.Of(1), 1e-9, "the mean request is one")
}

// A class without answers is taken to need as much of its aim as the others do of theirs, and what is learned of a class
// outlasts settings with the same aims alone.
func TestWorkOfAnUnansweredClass(t *testing.T) {
	var w capacity.Work
	aims := []time.Duration{300 * millisecond, 3000 * millisecond}
	w.SetObjectives(aims)
	for range 30 {
		w.Arrived(0)
		w.Answered(0, 60*millisecond)
	}
	require.InDelta(t, 10, w.Of(1), 1e-9)
	w.SetObjectives(aims)
	require.InDelta(t, 10, w.Of(1), 1e-9)
	w.Arrived(1)
	w.SetObjectives([]time.Duration{300 * millisecond, 300 * millisecond})
	require.Equal(t, 1.0, w.Of(1))
}

// A change of the traffic shows, however long the process has run.
func TestWorkFollowsTheTraffic(t *testing.T) {
	var w capacity.Work
	w.SetObjectives([]time.Duration{time.Second, time.Second})
	answer := func(took time.Duration, requests int) {
		for range requests {
			for class, takes := range []time.Duration{60 * millisecond, took} {
				w.Arrived(class)
				w.Answered(class, takes)
			}
		}
	}
	answer(60*millisecond, 100000)
	require.InDelta(t, 1, w.Of(1), 1e-6)
	answer(600*millisecond, 10000)
	require.InDelta(t, 600.0/330, w.Of(1), 0.1)
}
