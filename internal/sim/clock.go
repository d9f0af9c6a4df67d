package sim

import (
	"time"

	"capercove/internal/clock"
)

const (
	postedCallbacks = 4096      // callbacks of other goroutines that may wait; Do blocks beyond it
	maxSleep        = time.Hour // between two looks at an empty queue
)

// Clock is a Loop in real time, on a goroutine of its own.
type Clock struct {
	now      func() time.Duration // since the Unix epoch
	queue    eventQueue
	maxDelay time.Duration

	posted   chan func()
	stopping chan struct{}
	stopped  chan struct{}
}

// NewClock returns a loop that runs until Stop.
func NewClock() *Clock {
	loop := &Clock{
		now:      clock.Monotonic(),
		posted:   make(chan func(), postedCallbacks),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go loop.run()
	return loop
}

// Now implements Loop. It may be called from any goroutine.
func (loop *Clock) Now() time.Duration { return loop.now() }

// At implements Loop.
func (loop *Clock) At(at time.Duration, callback func()) { loop.queue.push(at, callback) }

// MaxDelay returns the longest time by which a callback of At has run late so far. It may be called only on the loop.
func (loop *Clock) MaxDelay() time.Duration { return loop.maxDelay }

// Do runs a callback on the loop as soon as possible. It may be called from any goroutine, and does not wait until
// the callback has run. After Stop it drops the callback and returns false.
func (loop *Clock) Do(callback func()) bool {
	select {
	case <-loop.stopping: // has precedence over a free place in the channel
		return false
	default:
	}
	select {
	case loop.posted <- callback:
		return true
	case <-loop.stopping:
		return false
	}
}

// Wait runs a callback on the loop and returns when it has run, or when the loop has stopped without running it. It
// must not be called on the loop.
func (loop *Clock) Wait(callback func()) {
	ran := make(chan struct{})
	accepted := loop.Do(func() {
		callback()
		close(ran)
	})
	if !accepted {
		return
	}
	select {
	case <-ran:
	case <-loop.stopped:
	}
}

// Stop ends the loop and waits for the callback that is running. It may be called once.
func (loop *Clock) Stop() {
	close(loop.stopping)
	<-loop.stopped
}

// run is the goroutine of the loop.
func (loop *Clock) run() {
	defer close(loop.stopped)
	timer := time.NewTimer(maxSleep)
	for {
		untilNext := maxSleep
		if at, ok := loop.queue.next(); ok {
			untilNext = at - loop.Now()
		}
		if untilNext <= 0 {
			due := loop.queue.pop()
			loop.maxDelay = max(loop.maxDelay, -untilNext)
			due.callback()
			select {
			case <-loop.stopping:
				return
			default:
				continue
			}
		}
		timer.Reset(untilNext)
		select {
		case <-loop.stopping:
			return
		case callback := <-loop.posted:
			callback()
		case <-timer.C:
		}
	}
}
