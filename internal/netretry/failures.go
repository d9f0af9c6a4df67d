package netretry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Failures counts the failures of one kind of call, and logs one of them a period at most. Any goroutine may use it.
type Failures struct {
	call   string
	every  time.Duration
	log    zerolog.Logger
	clock  func() time.Duration
	count  atomic.Int64
	logged atomic.Int64 // when the last line was written, by the clock; unlogged before the first one
}

// unlogged is the time of the last line before there is one.
const unlogged = -1

// NewFailures returns a count of the failures of a call. The clock must be monotonic.
func NewFailures(call string, every time.Duration, log zerolog.Logger, clock func() time.Duration) *Failures {
	f := &Failures{call: call, every: every, log: log, clock: clock}
	f.logged.Store(unlogged)
	return f
}

// Note takes in one failure.
func (f *Failures) Note(err error) {
	count := f.count.Add(1)
	now, last := int64(f.clock()), f.logged.Load()
	if last != unlogged && now-last < int64(f.every) || !f.logged.CompareAndSwap(last, now) {
		return
	}
	f.log.Warn().Err(err).Int64("so_far", count).Msg(f.call)
}

// Count is how many there were.
func (f *Failures) Count() int64 { return f.count.Load() }
