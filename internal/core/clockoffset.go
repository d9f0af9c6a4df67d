package core

import (
	"time"

	"capercove/internal/clockoffset"
	"capercove/routing"
)

// The core's clock counts from the wall clock at the start, which may have been wrong. What databases tell of their own
// time, the positions in answers and reports, shows by how much.

// sampleAnswer takes in the position that came with an answer.
func (c *Core) sampleAnswer(attempt *Attempt, status routing.Status, note routing.Evidence) {
	s := clockoffset.Sample{Position: note.Position, Sent: attempt.Request.attempts[0].sentAt, Received: c.clock()}
	switch {
	case status != routing.OK:
	case attempt.Request.isWrite && note.Role != routing.Replica:
		// A repeat may be told the commit of the first attempt: that is what Sent is of.
		s.Kind = clockoffset.Commit
	case note.Role == routing.Primary:
		s.Kind = clockoffset.Primary
	}
	c.addClockSample(s)
}

// sampleReport takes in the position of a report, which is as of some time ago.
func (c *Core) sampleReport(took time.Duration, report routing.Evidence) {
	now := c.clock()
	c.addClockSample(clockoffset.Sample{Position: report.Position, Sent: now - took, Received: now})
}

// addClockSample hands the router the estimate of the offset if it has changed, before the outcome that changed it.
func (c *Core) addClockSample(s clockoffset.Sample) {
	changed := c.offset.Add(s)
	c.Count.ClockDissent = c.offset.Dissent()
	if !changed {
		return
	}
	b := c.offset.Bounds()
	c.Count.ClockMoves++
	c.Count.ClockUnknown = b.Latest == clockoffset.Unknown
	c.Count.ClockAhead = b.Earliest.Milliseconds()
	c.logOffset(b)
	c.pushEvent(routing.Event{Kind: routing.ClockOffset, Clock: b})
}

// logOffset logs the estimate, or that there is none, once in a while.
func (c *Core) logOffset(b clockoffset.Bounds) {
	now := c.clock()
	if c.offsetLogged > 0 && now-c.offsetLogged < c.limits.LogEvery {
		return
	}
	c.offsetLogged = now
	if b.Latest == clockoffset.Unknown {
		c.log.Warn().Msg("the databases' clock is ahead by an unknown time: no replica counts as fresh")
		return
	}
	c.log.Warn().Dur("ahead_at_least_ms", b.Earliest).Dur("ahead_at_most_ms", b.Latest).
		Msg("the databases' clock, estimated anew")
}
