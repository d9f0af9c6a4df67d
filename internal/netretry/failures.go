package netretry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Failures counts the failures of one kind of call and logs at most one of them per period. It is safe for concurrent
// use.
type Failures struct {
	call       string        // the message of the log lines
	period     time.Duration // between two log lines
	log        zerolog.Logger
	clock      func() time.Duration
	count      atomic.Int64
	lastLogged atomic.Int64 // time of the last log line by the clock; unlogged before the first one
}

// unlogged is the value of Failures.lastLogged before the first log line.
const unlogged = -1

// NewFailures returns a counter of failed calls. Each log line has the message call. The clock must be monotonic.
func NewFailures(call string, period time.Duration, log zerolog.Logger, clock func() time.Duration) *Failures {
	f := &Failures{call: call, period: period, log: log, clock: clock}
	f.lastLogged.Store(unlogged)
	return f
}

// Note counts one failure, and logs it unless another one was logged within the period.
func (f *Failures) Note(err error) {
	count := f.count.Add(1)
	now, last := int64(f.clock()), f.lastLogged.Load()
	if last != unlogged && now-last < int64(f.period) || !f.lastLogged.CompareAndSwap(last, now) {
		return
	}
	f.log.Warn().Err(err).Int64("so_far", count).Msg(f.call)
}

// Count returns the number of failures so far.
func (f *Failures) Count() int64 { return f.count.Load() }
