// Package timerwheel is a hashed timer wheel with coarse ticks. A wheel and its timers must be used by one goroutine
// only. The package reads no clock: callers pass the time.
package timerwheel

import (
	"math"
	"time"
)

// Timer is a scheduled call.
type Timer struct {
	prev, next *Timer // in the list of its slot; nil once it has fired or been stopped
	tick       int64  // counted from time 0, not modulo the number of slots
	call       func()
}

// Wheel fires timers in the first Advance at or after their time.
type Wheel struct {
	slots    []Timer // heads of circular lists
	interval time.Duration
	last     int64 // the last tick that Advance has processed
	due      int64 // the tick of the alarm; never if no alarm is set, firing while Advance runs
	alarm    func(at time.Duration)
}

const (
	never  = math.MaxInt64 // later than any tick
	firing = 0             // no later than any tick: timers that are set during Advance don't change the alarm
)

// New returns a wheel whose ticks are an interval apart. A turn has as many ticks as there are slots. Timers that are
// further ahead than one turn are checked once per turn.
func New(interval time.Duration, slots int, now time.Duration) *Wheel {
	w := &Wheel{
		slots:    make([]Timer, slots),
		interval: interval,
		last:     int64(now / interval),
		due:      never,
	}
	for i := range w.slots {
		head := &w.slots[i]
		head.prev, head.next = head, head
	}
	return w
}

// slot returns the head of the list with the timers of a tick. The list has timers of other turns too.
func (w *Wheel) slot(tick int64) *Timer { return &w.slots[tick%int64(len(w.slots))] }

// Schedule schedules a call for a time on the same clock as Advance, rounded up to a tick. A timer in the past fires at
// the next tick.
func (w *Wheel) Schedule(at time.Duration, call func()) *Timer {
	tick := int64((at + w.interval - 1) / w.interval)
	t := &Timer{tick: max(tick, w.last+1), call: call}
	head := w.slot(t.tick)
	t.prev, t.next = head.prev, head
	head.prev.next, head.prev = t, t
	if t.tick < w.due {
		w.setAlarm(t.tick)
	}
	return t
}

// SetAlarm sets the function that receives the time at which the next Advance is due. The function is called at once
// and whenever that time changes: an idle program can sleep until then. The time is no later than the earliest timer.
// Stopping a timer doesn't cancel its alarm.
func (w *Wheel) SetAlarm(alarm func(at time.Duration)) {
	w.alarm = alarm
	w.setNextAlarm()
}

// Due returns the time at which the next Advance is due. ok is false if nothing is scheduled or while Advance runs.
func (w *Wheel) Due() (at time.Duration, ok bool) {
	return time.Duration(w.due) * w.interval, w.due > firing && w.due != never
}

func (w *Wheel) setAlarm(tick int64) {
	w.due = tick
	if w.alarm != nil {
		w.alarm(time.Duration(tick) * w.interval)
	}
}

// setNextAlarm sets the alarm for the earliest timer of this turn of the wheel, or for the end of the turn if it has
// none.
func (w *Wheel) setNextAlarm() {
	turnEnds := w.last + int64(len(w.slots))
	for tick := w.last + 1; tick < turnEnds; tick++ {
		if w.hasDue(tick) {
			w.setAlarm(tick)
			return
		}
	}
	w.setAlarm(turnEnds)
}

// hasDue reports whether the tick's slot has a timer that is due at the tick and not in a later turn.
func (w *Wheel) hasDue(tick int64) bool {
	head := w.slot(tick)
	for t := head.next; t != head; t = t.next {
		if t.tick <= tick {
			return true
		}
	}
	return false
}

// Stop cancels a timer, even one that is due in the Advance that is running. It does nothing if the timer is nil, has
// fired or is stopped.
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

// Advance fires all timers that are due, tick by tick. After a pause of more than a turn it visits each slot once and
// fires all of the slot's timers whose tick has passed.
func (w *Wheel) Advance(now time.Duration) {
	last := int64(now / w.interval)
	first := max(w.last+1, last-int64(len(w.slots))+1)
	w.last = max(w.last, last)
	w.due = firing
	for tick := first; tick <= last; tick++ {
		for _, t := range w.removeDue(tick, last) {
			t.fire()
		}
	}
	w.setNextAlarm()
}

// removeDue removes the timers that are due by the last tick from the tick's slot. It returns them in the order in
// which they were set.
func (w *Wheel) removeDue(tick, last int64) (due []*Timer) {
	head := w.slot(tick)
	for t := head.next; t != head; {
		next := t.next
		if t.tick <= last {
			due = append(due, t)
			t.unlink()
		}
		t = next
	}
	return due
}

// fire makes the scheduled call, unless an earlier call in the same Advance has stopped the timer.
func (t *Timer) fire() {
	if call := t.call; call != nil {
		t.call = nil
		call()
	}
}
