package sim

import "time"

// Virtual is a Loop in simulated time, which advances only from event to event.
type Virtual struct {
	now   time.Duration
	queue eventQueue
}

// NewVirtual returns a loop whose time is now, since the Unix epoch.
func NewVirtual(now time.Duration) *Virtual { return &Virtual{now: now} }

// Now implements Loop.
func (loop *Virtual) Now() time.Duration { return loop.now }

// At implements Loop.
func (loop *Virtual) At(at time.Duration, callback func()) {
	loop.queue.push(max(at, loop.now), callback)
}

// Run runs all callbacks that are due up to and including a time, and then sets the clock to that time. Time never
// goes back.
func (loop *Virtual) Run(until time.Duration) {
	for {
		at, ok := loop.queue.next()
		if !ok || at > until {
			break
		}
		loop.now = at
		loop.queue.pop().callback()
	}
	loop.now = max(loop.now, until)
}
