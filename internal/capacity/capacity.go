// Package capacity estimates how much work databases can do, from their answers and load reports. It is pure: callers
// pass in the time, and it does no I/O.
package capacity

import (
	"slices"
	"time"
)

// UnitConcurrency is how many requests a database of Size 1, such as one with three cores, executes concurrently.
// Databases that send no load reports are assumed to have that size.
const UnitConcurrency = 3.0

const (
	// sizeGain is the relative growth of the size per load report. Half or twice the gain works about equally well; a
	// gain of 0.01 or more is too high.
	sizeGain = 0.002
	// lossMultiple is how many times faster the size shrinks than it grows: overload is worse than rejections.
	lossMultiple = 2
	// minSize corresponds to one request at a time; maxSize is a safety limit.
	minSize = 1 / UnitConcurrency
	maxSize = 64.0
	// budgetSafety is the share of its budget that a warming database is sent.
	budgetSafety = 0.5
)

// Size is how many requests a database executes concurrently, as a multiple of UnitConcurrency.
type Size float64

// AfterReport returns the size as updated by the load report of a warm database. inFlightPerUnit is the number of
// requests in flight at it, divided by the size; waiting is the length of the queue that it reports. The size grows if
// no request waits although the database has as many in flight as it is assumed to execute concurrently. The size
// shrinks if more requests wait than are executed, since answers then take twice as long. Otherwise it is unchanged.
// The latency alone does not show the size: with few requests at each database, its effect cannot be distinguished from
// chance.
func (s Size) AfterReport(inFlightPerUnit, waiting float64) Size {
	switch {
	case waiting <= 0 && inFlightPerUnit >= UnitConcurrency:
		s *= 1 + sizeGain
	case waiting > UnitConcurrency*float64(s):
		s *= 1 - lossMultiple*sizeGain
	}
	return min(maxSize, max(minSize, s))
}

// SlowStart limits what one sender sends to one database that is warming up. It counts the work that was sent and
// answered, in requests of mean work. Sends to a warm database count too, since its restart may be detected late. The
// zero value is ready to use.
type SlowStart struct {
	sends   []workRecord // within the last window
	answers []workRecord // within the last window
}

// workRecord is the work of one request and the time at which it was sent or answered.
type workRecord struct {
	at   time.Duration
	work float64
}

// Sent counts a request that was sent. Before it grows its buffer, it drops the sends before the window: the memory is
// bounded by the number of sends within one window.
func (s *SlowStart) Sent(now, window time.Duration, work float64) {
	if len(s.sends) == cap(s.sends) {
		s.sends = dropBefore(s.sends, now-window)
	}
	s.sends = append(s.sends, workRecord{at: now, work: work})
}

// Answered counts a request that was answered.
func (s *SlowStart) Answered(now time.Duration, work float64) {
	s.answers = append(s.answers, workRecord{at: now, work: work})
}

// ForgetAnswers drops the answers of a warm database: they do not show what a process that starts later can do.
func (s *SlowStart) ForgetAnswers() { s.answers = s.answers[:0] }

// Remaining returns how much more work this sender may send now, in requests of mean work. It may be less than one
// request, or negative.
//
// A database is overloaded if all senders together send it, within a window, more than multiple times the work that it
// can do in a window. This sender's part of that capacity is taken to be estimate or, if more, its work that the
// database has answered in the last window since it started. Answered work proves the capacity even where estimate is
// low for lack of load at other databases. Since each sender counts only its own part, all senders together stay within
// the budget. The budget of a window is never less than minBudget.
func (s *SlowStart) Remaining(now, started, window time.Duration, multiple, estimate, minBudget float64) float64 {
	windowStart := now - window
	s.sends = dropBefore(s.sends, windowStart)
	s.answers = dropBefore(s.answers, max(started, windowStart))
	budget := budgetSafety * multiple * max(estimate, totalWork(s.answers))
	return max(minBudget, budget) - totalWork(s.sends)
}

// dropBefore drops the records from before start, in place.
func dropBefore(records []workRecord, start time.Duration) []workRecord {
	return slices.DeleteFunc(records, func(record workRecord) bool { return record.at < start })
}

func totalWork(records []workRecord) (work float64) {
	for _, record := range records {
		work += record.work
	}
	return work
}
