package core

import "capercove/routing"

// WriteRefusal is why an attempt may not be written any more.
type WriteRefusal uint8

// The reasons for refusals.
const (
	WriteAllowed    WriteRefusal = iota // not refused
	RequestEnded                        // the request has its answer, its client has left, or the attempt was cancelled
	DeadlinePassed                      // the client waits no longer
	NotProvenFresh                      // the data of the database may be too old for the read by now
	NotRepeatable                       // the databases may execute the repeat of a write again
	DatabaseLeaving                     // the database has been draining for too long, is gone or is blocked

	writeRefusalCount
)

// String returns the name of the refusal.
func (refusal WriteRefusal) String() string {
	return [writeRefusalCount]string{
		"allowed", "request ended", "deadline passed", "not proven fresh", "not repeatable", "database leaving",
	}[refusal]
}

// refusals has the refusal for each condition that has ceased to hold.
var refusals = map[routing.WriteCondition]WriteRefusal{
	routing.DeadlineLeft: DeadlinePassed,
	routing.ProvenFresh:  NotProvenFresh,
	routing.Repeatable:   NotRepeatable,
}

// WriteRefusals count attempts that were refused directly before they were written, by the reason. See Counters for the
// names of the fields.
type WriteRefusals struct {
	Ended, Deadline, Freshness, Repeat, Database int64
}

// count counts a refusal.
func (counts *WriteRefusals) count(refusal WriteRefusal) {
	switch refusal {
	case RequestEnded:
		counts.Ended++
	case DeadlinePassed:
		counts.Deadline++
	case NotProvenFresh:
		counts.Freshness++
	case NotRepeatable:
		counts.Repeat++
	case DatabaseLeaving:
		counts.Database++
	}
}

// CheckWrite reports whether an attempt may be written now, and otherwise counts and returns why not. A backend must
// call it directly before it writes the statement, since the attempt may have waited for a connection: what was true
// when the attempt was decided must be true when its bytes leave. While a part of the statement still waits for room in
// the socket, the backend must ask again.
func (c *Core) CheckWrite(attempt *Attempt) WriteRefusal {
	refusal := c.writeRefusal(attempt)
	c.counters.Refusals.count(refusal)
	return refusal
}

// MaySend reports whether an attempt may be written now; see CheckWrite.
func (c *Core) MaySend(attempt *Attempt) bool { return c.CheckWrite(attempt) == WriteAllowed }

// writeRefusal returns why an attempt may not be written now.
func (c *Core) writeRefusal(attempt *Attempt) WriteRefusal {
	c.detectClientGone(attempt.Request)
	switch {
	case attempt.done || attempt.Request.done:
		return RequestEnded
	case !attempt.WriteLimit.Allows(c.clock()):
		return refusals[attempt.WriteLimit.Condition]
	case !c.acceptsAttempts(attempt.Member):
		return DatabaseLeaving
	}
	return WriteAllowed
}
