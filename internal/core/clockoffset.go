package core

import (
	"time"

	"capercove/internal/clockoffset"
	"capercove/routing"
)

// The core's clock starts from the wall clock at the start of the process, which may have been wrong. Replication
// positions are times on the databases' clock: those in answers and load reports show the offset of the two clocks.

// sampleAnswer adds a sample for the replication position of an answer. A deduplicated retry of a write may be answered
// with the commit of the first attempt; the sample therefore begins when the first attempt was sent.
func (c *Core) sampleAnswer(attempt *Attempt, status routing.Status, evidence routing.Evidence) {
	request := attempt.Request
	sample := clockoffset.Sample{
		Position: evidence.Position,
		Sent:     request.attempts[0].sentAt,
		Received: c.clock(),
	}
	switch {
	case status != routing.OK:
	case request.isWrite && evidence.Role != routing.Replica:
		sample.Kind = clockoffset.Commit
	case evidence.Role == routing.Primary:
		sample.Kind = clockoffset.Primary
	}
	c.addClockSample(sample)
}

// sampleReport adds a sample for the replication position of a load report. took is the duration of the health check.
func (c *Core) sampleReport(took time.Duration, report routing.Evidence) {
	now := c.clock()
	c.addClockSample(clockoffset.Sample{Position: report.Position, Sent: now - took, Received: now})
}

// addClockSample adds a sample, and passes the estimate of the offset to the router if it has changed. Callers must add
// the sample before they push the outcome that it came with: the router evaluates the outcome with the new estimate.
func (c *Core) addClockSample(sample clockoffset.Sample) {
	changed := c.offset.Add(sample)
	c.counters.ClockDissent = c.offset.Contradictions()
	if !changed {
		return
	}
	bounds := c.offset.Bounds()
	c.counters.ClockMoves++
	c.counters.ClockUnknown = bounds.Latest == clockoffset.Unknown
	c.counters.ClockAhead = bounds.Earliest.Milliseconds()
	c.logOffset(bounds)
	c.pushEvent(routing.Event{Kind: routing.ClockOffset, Clock: bounds})
}

// logOffset logs the estimate, or that it is unknown, at most once per LogInterval.
func (c *Core) logOffset(bounds clockoffset.Bounds) {
	if !c.offsetLog.allow(c.clock(), c.limits.LogInterval) {
		return
	}
	if bounds.Latest == clockoffset.Unknown {
		c.log.Warn().Msg("clock offset: unknown, no replica counts as fresh")
		return
	}
	c.log.Warn().Dur("ahead_at_least_ms", bounds.Earliest).Dur("ahead_at_most_ms", bounds.Latest).
		Msg("clock offset: estimate changed")
}
