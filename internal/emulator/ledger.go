package emulator

import (
	"fmt"
	"strings"
	"time"

	"capercove/internal/scenario"
)

const (
	// timingTolerance is added to each limit in time, since on sockets a pooler sees events later.
	timingTolerance = 50 * time.Millisecond
	// drainGrace is how long a pooler may still send to a database after it was notified that it drains or is gone.
	drainGrace = 2 * time.Second
)

// Ledger records what happens to each request and detects violations of rules: which database executed it and how
// often, how many attempts were in flight, and which response the client got. All calls are made on the loop.
type Ledger struct {
	start      time.Duration
	requests   map[string]*requestHistory       // by ID
	notServing map[databaseNotice]time.Duration // since when

	// DisconnectsAllowed is set when a pooler was killed or restarted: connections may end without a response.
	DisconnectsAllowed bool

	Violations      []Violation // the first maxViolations
	ViolationCount  int         // of all violations
	Executions      int64
	WriteExecutions int64
	LostWrites      int64 // executions of writes by false primaries
}

// databaseNotice is what a pooler was notified of: that a database drains or is gone.
type databaseNotice struct{ pooler, database string }

// requestHistory is what happened to one request.
type requestHistory struct {
	submitted       bool // by the client
	isWrite         bool
	inFlight        int  // attempts at databases that have not ended
	executed        bool // by any database
	writeExecutions int
	responses       int // to the client
	rejected        bool
}

func newLedger(start time.Duration) *Ledger {
	return &Ledger{
		start:      start,
		requests:   map[string]*requestHistory{},
		notServing: map[databaseNotice]time.Duration{},
	}
}

// history returns the history of a request.
func (l *Ledger) history(requestID string) *requestHistory {
	existing := l.requests[requestID]
	if existing == nil {
		existing = &requestHistory{}
		l.requests[requestID] = existing
	}
	return existing
}

// RequestSubmitted records that a client has sent a request.
func (l *Ledger) RequestSubmitted(requestID string) { l.history(requestID).submitted = true }

// attemptArrived records that a complete attempt has arrived at a database.
func (l *Ledger) attemptArrived(now time.Duration, member *Member, job *Job) {
	history := l.history(job.RequestID)
	history.isWrite = history.isWrite || job.Write
	history.inFlight++
	if history.inFlight > 1 {
		l.recordViolation(now, ConcurrentAttempts, job.RequestID, member.Name)
	}
	since, notified := l.notServing[databaseNotice{job.Pooler, member.Name}]
	if notified && now > since+drainGrace+timingTolerance {
		l.recordViolation(now, WorkAfterDrain, job.RequestID, member.Name)
	}
	if job.Class.Kind == scenario.ReadBounded && !job.Write && !member.IsPrimary() {
		l.checkDataAge(now, member, job)
	}
}

// checkDataAge checks that a replica's data are as recent as the class of a read demands.
func (l *Ledger) checkDataAge(now time.Duration, member *Member, job *Job) {
	age := now - member.Position()
	if age > scenario.Millis(job.Class.MaxAgeMS)+timingTolerance {
		party := fmt.Sprintf("%s, %d ms old", member.Name, age.Milliseconds())
		l.recordViolation(now, StaleRead, job.RequestID, party)
	}
}

// attemptExecuted records that a database has executed an attempt.
func (l *Ledger) attemptExecuted(now time.Duration, member *Member, job *Job) {
	l.Executions++
	history := l.history(job.RequestID)
	history.executed = true
	if !job.Write {
		return
	}
	l.WriteExecutions++
	if member.falsePrimary {
		l.LostWrites++
	}
	history.writeExecutions++
	if history.writeExecutions > 1 {
		l.recordViolation(now, DuplicateWrite, job.RequestID, member.Name)
	}
	if history.rejected {
		l.recordViolation(now, RejectedButExecuted, job.RequestID, member.Name)
	}
}

// attemptEnded records that an attempt has ended: the database has answered it or died, or the pooler has canceled it.
func (l *Ledger) attemptEnded(requestID string) {
	if history := l.history(requestID); history.inFlight > 0 {
		history.inFlight--
	}
}

// ClientOutcome is how a request ended for its client.
type ClientOutcome uint8

// The outcomes for a client.
const (
	Served       ClientOutcome = iota
	Rejected                   // and not executed
	Failed                     // it may have been executed
	Unanswered                 // by the time that the client gave up
	Disconnected               // the connection ended without a response
)

// RequestFinished records how a request ended for its client. The value is what it was served with, which starts with
// the request's ID.
func (l *Ledger) RequestFinished(now time.Duration, requestID string, outcome ClientOutcome, value string) {
	history := l.history(requestID)
	history.responses++
	if history.responses > 1 {
		l.recordViolation(now, DuplicateResponse, requestID, clientParty)
	}
	switch outcome {
	case Served:
		if !history.executed || !strings.HasPrefix(value, requestID) {
			l.recordViolation(now, WrongResponse, requestID, fmt.Sprintf("%.40q", value))
		}
	case Disconnected:
		if !l.DisconnectsAllowed {
			l.recordViolation(now, MissingResponse, requestID, "client, whose connection ended")
		}
	case Rejected:
		history.rejected = true
		if history.writeExecutions > 0 && history.isWrite {
			l.recordViolation(now, RejectedButExecuted, requestID, clientParty)
		}
	}
}

// UnexpectedResponse records that a pooler has sent more than the one response to a request, or data that is none.
func (l *Ledger) UnexpectedResponse(now time.Duration, requestID string) {
	l.recordViolation(now, DuplicateResponse, requestID, clientParty)
}

// CheckUnanswered is called at the end of a run: a request that was submitted and neither answered nor given up by
// its client is a violation.
func (l *Ledger) CheckUnanswered(now time.Duration) {
	for requestID, history := range l.requests {
		if history.submitted && history.responses == 0 {
			l.recordViolation(now, MissingResponse, requestID, clientParty)
		}
	}
}

// PoolerNotified records that a pooler was notified of a database's state.
func (l *Ledger) PoolerNotified(now time.Duration, pooler, database string, serving bool) {
	notice := databaseNotice{pooler, database}
	if serving {
		delete(l.notServing, notice)
		return
	}
	if _, already := l.notServing[notice]; !already {
		l.notServing[notice] = now
	}
}
