// Package timerwheel is a hashed timer wheel with coarse ticks. One goroutine owns a wheel.
package timerwheel

import (
	"math"
	"time"
)

// Timer is a scheduled call.
type Timer struct {
	prev, next *Timer
	tick       int64
	call       func()
}

// Wheel fires timers in the first Advance at or after their time.
type Wheel struct {
	slots []Timer // heads of circular lists
	every time.Duration
	done  int64 // the last tick that was fired
	due   int64 // the tick that the alarm is set for; never: none is
	alarm func(at time.Duration)
}

// never is later than any tick.
const never = math.MaxInt64

func New(every time.Duration, slots int, now time.Duration) *Wheel {
	w := &Wheel{slots: make([]Timer, slots), every: every, done: int64(now / every), due: never}
	for i := range w.slots {
		head := &w.slots[i]
		head.prev, head.next = head, head
	}
	return w
}

// At schedules a call for a time of the clock that Advance is given. One in the past fires with the next tick.
func (w *Wheel) At(at time.Duration, call func()) *Timer {
	t := &Timer{tick: max(int64((at+w.every-1)/w.every), w.done+1), call: call}
	head := &w.slots[t.tick%int64(len(w.slots))]
	t.prev, t.next = head.prev, head
	head.prev.next, head.prev = t, t
	if t.tick < w.due {
		w.ring(t.tick)
	}
	return t
}

// Alarm names who is told when the next Advance is due, at once and from then on whenever that changes, so that an idle
// program sleeps until something is to be done. It is told a time no later than the earliest timer's; an alarm for a timer
// that has been stopped meanwhile is not taken back.
func (w *Wheel) Alarm(alarm func(at time.Duration)) {
	w.alarm = alarm
	w.wind()
}

// Due is when the next Advance is due; ok is false if nothing is scheduled.
func (w *Wheel) Due() (at time.Duration, ok bool) {
	return time.Duration(w.due) * w.every, w.due > 0 && w.due != never
}

func (w *Wheel) ring(tick int64) {
	w.due = tick
	if w.alarm != nil {
		w.alarm(time.Duration(tick) * w.every)
	}
}

// wind sets the alarm for the earliest timer, or for the end of this turn of the wheel if there is none in it.
func (w *Wheel) wind() {
	for tick := w.done + 1; ; tick++ {
		head := &w.slots[tick%int64(len(w.slots))]
		for t := head.next; t != head; t = t.next {
			if t.tick <= tick {
				w.ring(tick)
				return
			}
		}
		if tick >= w.done+int64(len(w.slots)) {
			w.ring(tick)
			return
		}
	}
}

// Stop takes a timer back, also one that is due in the Advance that runs. Stopping one twice, one that has fired,
// or nil does nothing.
func (t *Timer) Stop() {
	if t != nil {
		t.unlink()
		t.call = nil
	}
}

func (t *Timer) unlink() {
	if t.next != nil {
		t.prev.next, t.next.prev = t.next, t.prev
		t.prev, t.next = nil, nil
	}
}

// Advance fires all timers that are due, tick by tick.
func (w *Wheel) Advance(now time.Duration) {
	last := int64(now / w.every)
	// After a long pause each slot is looked at once: a timer fires if its tick has passed.
	from := max(w.done+1, last-int64(len(w.slots))+1)
	w.done = max(w.done, last)
	w.due = 0 // what is set meanwhile is seen by wind
	for tick := from; tick <= last; tick++ {
		head := &w.slots[tick%int64(len(w.slots))]
		var due []*Timer
		for t := head.next; t != head; {
			next := t.next
			if t.tick <= last {
				due = append(due, t)
				t.unlink()
			}
			t = next
		}
		for _, t := range due {
			if call := t.call; call != nil { // Against firing what a call before it has stopped.
				t.call = nil
				call()
			}
		}
	}
	w.wind()
}
