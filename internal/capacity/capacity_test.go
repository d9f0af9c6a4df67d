package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/capacity"
)

// A database that works on so many at once, sent as many as its size allows: the size settles so that about as many
// wait as are worked on, whatever the size it began with.
func TestSizeSettles(t *testing.T) {
	for _, cores := range []float64{1, 3, 8, 40} {
		for _, begin := range []capacity.Size{0.5, 1, 30} {
			s := begin
			for range 10000 {
				held := 4 * float64(s) // sent up to the cap of a database of that size
				s = s.AfterReport(held/float64(s), max(0, held-cores))
			}
			held := 4 * float64(s)
			require.GreaterOrEqual(t, held, cores*0.99, "%v at once, begun at %v: it idles", cores, begin)
			require.LessOrEqual(t, held-cores, capacity.UnitConcurrency*float64(s)*1.01, "%v at once, begun at %v: overloaded", cores, begin)
		}
	}
}

// Databases with little in flight tell nothing of their size, and so do short queues.
func TestSizeStands(t *testing.T) {
	s := capacity.Size(2)
	require.Equal(t, s, s.AfterReport(capacity.UnitConcurrency-0.1, 0))
	require.Equal(t, s, s.AfterReport(20, 1))
	require.Equal(t, s, s.AfterReport(0, capacity.UnitConcurrency*2))
}

// Many senders that each count their own answers keep the budget of a database together, and use it up to what
// it can do, though each begins with next to nothing and believes that it can do nothing.
func TestColdTogether(t *testing.T) {
	const senders, window, step, multiple = 7, time.Second, time.Millisecond, 3.0
	for _, perSecond := range []int{40, 300} { // what the database does
		var all [senders]capacity.SlowStart
		var sent, done []time.Duration
		queue := []int{}
		most := 0
		for now := step; now < 20*time.Second; now += step {
			for i := range all {
				// More is wanted than it can do: a second copy of the loop would overload it.
				if len(queue) < 60 && all[i].Remaining(now, 0, window, multiple, 0, 3.0/senders) >= 0.4 {
					all[i].Sent(now, window, 1)
					sent = append(sent, now)
					queue = append(queue, i)
				}
			}
			if int(now/step)*perSecond/1000 > int((now-step)/step)*perSecond/1000 && len(queue) > 0 {
				all[queue[0]].Answered(now, 1)
				queue = queue[1:]
				done = append(done, now)
			}
			for len(sent) > 0 && now-sent[0] > window {
				sent = sent[1:]
			}
			most = max(most, len(sent))
		}
		require.LessOrEqual(t, float64(most), multiple*float64(perSecond)*window.Seconds(), "%d a second", perSecond)
		require.Greater(t, float64(len(done)), 0.9*18*float64(perSecond), "%d a second: what it could do is not used", perSecond)
	}
}

// Answers of an earlier process tell nothing of what the one that has started can do; what was sent while the start
// was not known counts.
func TestColdAfterARestart(t *testing.T) {
	const window, multiple, part = time.Second, 3.0, 2.0
	var c capacity.SlowStart
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		c.Sent(now, window, 0.1)
		c.Answered(now, 5)
	}
	now, started := 2*time.Second, 1950*time.Millisecond
	require.InDelta(t, part-1, c.Remaining(now, started, window, multiple, 0, part), 1e-9)
	c.Answered(now, 4)
	require.InDelta(t, 0.5*multiple*4-1, c.Remaining(now, started, window, multiple, 0, part), 1e-9)
	require.InDelta(t, part, c.Remaining(now+2*window, started, window, multiple, 0, part), 1e-9)
}

// What a database is sent while it is warm takes no more memory than a window of it.
func TestWarmSendsAreForgotten(t *testing.T) {
	var c capacity.SlowStart
	const window, each = time.Second, time.Millisecond
	now := time.Second
	allocated := testing.AllocsPerRun(100, func() {
		for range 10 * int(window/each) {
			now += each
			c.Sent(now, window, 1)
		}
	})
	require.LessOrEqual(t, allocated, 1.0)
}
