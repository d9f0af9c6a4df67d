package timerwheel

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	every = 5 * time.Millisecond
	began = time.Hour
)

// Driven by its alarm alone, a wheel fires each timer in the tick in which one that is advanced every tick would, and
// sleeps in between: many idle programs must not wake for nothing.
func TestAlarmFiresWhatEveryTickWould(t *testing.T) {
	for seed := range uint64(20) {
		testAlarmFiresWhatEveryTickWould(t, seed)
	}
}

func testAlarmFiresWhatEveryTickWould(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	w := New(every, 64, began)
	now, due, wakes := began, time.Duration(0), 0
	w.Alarm(func(at time.Duration) { due = at })
	want, got := map[int]time.Duration{}, map[int]time.Duration{}
	var timers []*Timer
	set := func() {
		i, at := len(timers), now+time.Duration(rng.IntN(800))*time.Millisecond
		want[i] = max((at+every-1)/every, now/every+1) * every
		timers = append(timers, w.At(at, func() { got[i] = now }))
	}
	for range 10 {
		set()
	}
	for len(timers) < 60 {
		if rng.IntN(3) == 0 { // something happens between two timers
			if next := now + time.Duration(rng.IntN(20))*time.Millisecond; next < due {
				now = next
				set()
				if i := rng.IntN(len(timers)); got[i] == 0 && rng.IntN(2) == 0 {
					timers[i].Stop()
					delete(want, i)
				}
				continue
			}
		}
		require.Greater(t, due, now)
		now = due
		wakes++
		w.Advance(now)
		if rng.IntN(4) == 0 {
			set()
		}
	}
	for range 10 {
		now = due
		w.Advance(now)
	}
	for end := now + 2*time.Second; now < end; w.Advance(now) {
		now = due
	}
	require.Equal(t, want, got, "seed %d", seed)
	require.Less(t, wakes, int((now-began)/every)/2)
}

func TestAlarmOfAnIdleWheel(t *testing.T) {
	w := New(every, 64, began)
	var told []time.Duration
	w.Alarm(func(at time.Duration) { told = append(told, at) })
	w.At(began+time.Second, func() {})
	w.At(began+100*time.Millisecond, func() {})
	w.At(began+200*time.Millisecond, func() {})
	require.Equal(t, []time.Duration{began + 64*every, began + 100*time.Millisecond}, told,
		"the end of a turn; then a timer before it; a later one tells nothing")
	w.Advance(began + 100*time.Millisecond)
	require.Equal(t, began+200*time.Millisecond, told[2])
}
