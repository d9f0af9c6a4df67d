package core

import "time"

// minWriteRate is how fast a statement is taken to reach the operating system at least, in bytes per second.
const minWriteRate = 1 << 20

// TimeTold is the time that is left of an attempt, as its database is told it.
type TimeTold struct {
	Left  time.Duration // what the database is told
	Until time.Duration // on the core's clock: the whole statement must be written by then, or Left is too much
}

// TellTime returns what the database of an attempt is told with a statement of so many bytes that is written now. The
// database counts from the statement's arrival: the time that a long one needs is subtracted.
func (c *Core) TellTime(attempt *Attempt, size int) TimeTold {
	now := c.clock()
	toWrite := time.Duration(size) * time.Second / minWriteRate
	return TimeTold{Left: attempt.Deadline - now - toWrite, Until: now + toWrite + c.limits.MaxToldAge}
}

// MaySendAs reports whether an attempt may be written now, and its database was not told too much; see CheckWrite.
func (c *Core) MaySendAs(attempt *Attempt, told TimeTold) bool {
	return c.clock() < told.Until && c.MaySend(attempt)
}
