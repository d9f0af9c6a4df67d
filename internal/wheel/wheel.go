// Package wheel is a hashed timer wheel with coarse ticks. One goroutine owns a wheel.
package wheel

import "time"

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
}

func New(every time.Duration, slots int, now time.Duration) *Wheel {
	w := &Wheel{slots: make([]Timer, slots), every: every, done: int64(now / every)}
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
	return t
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
}
