// Package session remembers what sessions have written, for reads that must see their own session's writes. It is pure: no clock, no
// I/O. Times are positions: of the databases' clock, up to which one has applied all commits. What is known by the own clock alone is
// kept by that, and compared under the estimate of the offset between the two.
package session

import (
	"time"

	"capercove/internal/clockoffset"
)

// Writes is what is remembered. Session 0 is none.
type Writes struct {
	last   map[uint64]clockoffset.Instant // the last commit of each session, or what it is no later than
	out    map[uint64]int                 // writes that are out
	oldest clockoffset.Instant            // the commits of forgotten sessions are no later than this
}

// New returns a memory that knows of no write.
func New() Writes { return Writes{last: map[uint64]clockoffset.Instant{}, out: map[uint64]int{}} }

// Sent notes that a write of the session goes out.
func (w *Writes) Sent(session uint64) {
	if session != 0 {
		w.out[session]++
	}
}

// Ended notes that one has ended: whether it may have run, and the commit or, where that is not known, the present. Against a write
// whose answer is lost on the way: it was committed all the same, and its session may have seen that elsewhere.
func (w *Writes) Ended(session uint64, mayHaveRun bool, commit clockoffset.Instant) {
	if session == 0 {
		return
	}
	if w.out[session]--; w.out[session] <= 0 {
		delete(w.out, session)
	}
	if mayHaveRun {
		w.last[session] = w.last[session].Later(commit)
	}
}

// Need is the position that a read of the session must see: while a write of it is out, the present. Now is of the own clock.
func (w *Writes) Need(session uint64, now time.Duration) clockoffset.Instant {
	if w.out[session] > 0 {
		return clockoffset.Instant{Own: now}
	}
	if at, known := w.last[session]; known {
		return at
	}
	return w.oldest
}

// Forget drops the commits before a time of the own clock; the offset is the least that the databases' clock may be ahead of it.
func (w *Writes) Forget(before, offset time.Duration) {
	for session, at := range w.last {
		if at.By(offset) < before+offset {
			w.oldest = w.oldest.Later(at)
			delete(w.last, session)
		}
	}
}
