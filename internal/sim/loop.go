// Package sim is a discrete-event simulation core: a Loop runs callbacks in the order of their times, on one
// goroutine. Virtual runs them in simulated time, which jumps from one event to the next; Clock runs them in real
// time. Code that is written against Loop behaves the same on both.
package sim

import "time"

// Loop runs callbacks one after the other. All its methods may be called only from the goroutine that runs the
// callbacks.
type Loop interface {
	// Now returns the time since the Unix epoch, which is also the unit of replication positions.
	Now() time.Duration
	// At schedules a callback, for the next turn if its time has passed. Callbacks for the same time run in the
	// order in which they were scheduled.
	At(at time.Duration, callback func())
}
