package timerwheel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	tick  = 5 * time.Millisecond
	begin = time.Hour
)

// alarmedWheel is a wheel that is advanced only when its alarm is due.
type alarmedWheel struct {
	wheel  *Wheel
	rng    *rand.Rand
	now    time.Duration
	due    time.Duration // time of the alarm
	timers []*Timer
	want   map[int]time.Duration // by index of the timer: the time of the tick at which it must fire
	got    map[int]time.Duration // by index of the timer: the time at which it fired
}

func newAlarmedWheel(seed uint64) *alarmedWheel {
	alarmed := &alarmedWheel{
		wheel: New(tick, 64, begin), rng: rand.New(rand.NewPCG(seed, 1)), now: begin,
		want: map[int]time.Duration{}, got: map[int]time.Duration{},
	}
	alarmed.wheel.SetAlarm(func(at time.Duration) { alarmed.due = at })
	return alarmed
}

// setTimer sets a timer for a random time.
func (a *alarmedWheel) setTimer() {
	index, at := len(a.timers), a.now+time.Duration(a.rng.IntN(800))*time.Millisecond
	a.want[index] = max((at+tick-1)/tick, a.now/tick+1) * tick
	a.timers = append(a.timers, a.wheel.Schedule(at, func() { a.got[index] = a.now }))
}

// stopTimer picks a random timer and, if it has not fired, stops it with a probability of 1/2.
func (a *alarmedWheel) stopTimer() {
	if index := a.rng.IntN(len(a.timers)); a.got[index] == 0 && a.rng.IntN(2) == 0 {
		a.timers[index].Stop()
		delete(a.want, index)
	}
}

// advance moves the clock to the alarm and advances the wheel.
func (a *alarmedWheel) advance() {
	a.now = a.due
	a.wheel.Advance(a.now)
}

// actBeforeAlarm sets a timer and may stop one at a random time. It returns false and does nothing if that time is not
// before the alarm.
func (a *alarmedWheel) actBeforeAlarm() bool {
	next := a.now + time.Duration(a.rng.IntN(20))*time.Millisecond
	if next >= a.due {
		return false
	}
	a.now = next
	a.setTimer()
	a.stopTimer()
	return true
}

// actOrWake randomly either calls actBeforeAlarm or advances to the alarm. It reports whether it advanced.
func (a *alarmedWheel) actOrWake(t *testing.T) (woke bool) {
	t.Helper()
	if a.rng.IntN(3) == 0 && a.actBeforeAlarm() {
		return false
	}
	require.Greater(t, a.due, a.now)
	a.advance()
	if a.rng.IntN(4) == 0 {
		a.setTimer()
	}
	return true
}

// A wheel that is advanced only at its alarms fires each timer at the same tick as one that is advanced at every tick.
// It has far fewer wake-ups: an idle program must not use the CPU.
func TestAlarmsFireTimersAtTheirTicks(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			alarmed, wakes := newAlarmedWheel(seed), 0
			for range 10 {
				alarmed.setTimer()
			}
			for len(alarmed.timers) < 60 {
				if alarmed.actOrWake(t) {
					wakes++
				}
			}
			for range 10 {
				alarmed.advance()
			}
			for end := alarmed.now + 2*time.Second; alarmed.now < end; {
				alarmed.advance()
			}
			require.Equal(t, alarmed.want, alarmed.got)
			require.Less(t, wakes, int((alarmed.now-begin)/tick)/2)
		})
	}
}

// The first alarm is set for the end of a turn. A new timer changes the alarm only if the timer is due earlier.
func TestOnlyEarlierTimerChangesAlarm(t *testing.T) {
	wheel := New(tick, 64, begin)
	var alarms []time.Duration
	wheel.SetAlarm(func(at time.Duration) { alarms = append(alarms, at) })
	wheel.Schedule(begin+time.Second, func() {})
	wheel.Schedule(begin+100*time.Millisecond, func() {})
	wheel.Schedule(begin+200*time.Millisecond, func() {})
	require.Equal(t, []time.Duration{begin + 64*tick, begin + 100*time.Millisecond}, alarms,
		"the end of a turn, then an earlier timer; a later timer sets no alarm")
	wheel.Advance(begin + 100*time.Millisecond)
	require.Equal(t, begin+200*time.Millisecond, alarms[2])
}
