// Package session records the last commits of sessions, for reads that must see their own session's writes. It is pure:
// callers pass in the time, and it does no I/O.
//
// Commits are replication positions: times on the databases' clock up to which a database has applied all commits. A
// commit that is known only as a time on the pooler's clock is stored as such, and converted by the estimated offset
// between the two clocks when it is compared.
package session

import (
	"time"

	"capercove/internal/clockoffset"
)

// Writes records the pending writes and the last commit of each session. Requests without a session have session 0,
// which is not recorded. Use New to create it.
type Writes struct {
	// lastCommits has, for each session, an instant no earlier than its last commit.
	lastCommits map[uint64]clockoffset.Instant
	// pendingWrites counts the pending writes of each session.
	pendingWrites map[uint64]int
	// forgottenCommit is no earlier than any commit that Forget has dropped.
	forgottenCommit clockoffset.Instant
}

// maxRecorded is the number of sessions that are recorded.
const maxRecorded = 1 << 16

// New returns an empty record.
func New() Writes {
	return Writes{lastCommits: map[uint64]clockoffset.Instant{}, pendingWrites: map[uint64]int{}}
}

// Sent records that a write of the session is sent.
func (w *Writes) Sent(session uint64) {
	if session != 0 {
		w.pendingWrites[session]++
	}
}

// Ended records that a write has ended, and whether it may have run. commit is its commit or, if that is not known, the
// present. A write whose answer was lost counts too: it may have been committed, and its session may have read it
// elsewhere.
func (w *Writes) Ended(session uint64, mayHaveRun bool, commit clockoffset.Instant) {
	if session == 0 {
		return
	}
	w.pendingWrites[session]--
	if w.pendingWrites[session] <= 0 {
		delete(w.pendingWrites, session)
	}
	if !mayHaveRun {
		return
	}
	if _, known := w.lastCommits[session]; !known && len(w.lastCommits) >= maxRecorded {
		w.forgetAll()
	}
	w.lastCommits[session] = w.lastCommits[session].Later(commit)
}

// Recorded returns the number of sessions whose last commit is recorded.
func (w *Writes) Recorded() int { return len(w.lastCommits) }

// forgetAll drops all commits. Reads of these sessions must then see the latest of them, which costs little: replicas
// have it as soon as they have caught up.
func (w *Writes) forgetAll() {
	for _, commit := range w.lastCommits {
		w.forgottenCommit = w.forgottenCommit.Later(commit)
	}
	clear(w.lastCommits)
}

// RequiredPosition returns the position that a read of the session must see. While a write of the session is pending,
// that is now, on the router's clock. For a session without a recorded commit, it covers the commits that Forget has
// dropped.
func (w *Writes) RequiredPosition(session uint64, now time.Duration) clockoffset.Instant {
	if w.pendingWrites[session] > 0 {
		return clockoffset.Instant{Own: now}
	}
	if commit, known := w.lastCommits[session]; known {
		return commit
	}
	return w.forgottenCommit
}

// Forget drops the commits from before a time on the router's clock. offset is the least time by which the databases'
// clock may be ahead of it.
func (w *Writes) Forget(before, offset time.Duration) {
	for session, commit := range w.lastCommits {
		if commit.OnDatabaseClock(offset) < before+offset {
			w.forgottenCommit = w.forgottenCommit.Later(commit)
			delete(w.lastCommits, session)
		}
	}
}
