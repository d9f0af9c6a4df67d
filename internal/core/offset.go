package core

import (
	"time"

	"capercove/choice"
	"capercove/internal/clockoffset"
)

// The core's clock counts from the wall clock at the start, which may have been wrong. What databases tell of their own time, the
// positions in answers and reports, shows by how much.

// answered takes in the position that came with an answer.
func (c *Core) answered(a *Attempt, status choice.Status, note choice.Evidence) {
	s := clockoffset.Sample{Position: note.Position, Sent: a.Request.attempts[0].sent, Received: c.clock()}
	switch {
	case status != choice.OK:
	case a.Request.writes && note.Role != choice.Replica: // a repeat is told the commit of the first attempt, hence Sent
		s.Kind = clockoffset.Commit
	case note.Role == choice.Primary:
		s.Kind = clockoffset.Primary
	}
	c.sample(s)
}

// reported takes in the position of a report, which is as of some time ago.
func (c *Core) reported(took time.Duration, report choice.Evidence) {
	now := c.clock()
	c.sample(clockoffset.Sample{Position: report.Position, Sent: now - took, Received: now})
}

// sample hands the router the estimate of the offset if it has changed, before the outcome that changed it.
func (c *Core) sample(s clockoffset.Sample) {
	changed := c.offset.Add(s)
	c.Count.ClockDissent = c.offset.Dissent()
	if !changed {
		return
	}
	b := c.offset.Bounds()
	c.Count.ClockMoves++
	c.Count.ClockAhead = b.Latest.Milliseconds()
	if now := c.clock(); c.offsetLogged == 0 || now-c.offsetLogged >= c.limits.LogEvery {
		c.offsetLogged = now
		c.log.Warn().Dur("at_least_ms", b.Earliest).Dur("at_most_ms", b.Latest).Msg("the databases' clock is ahead of this process's")
	}
	c.push(choice.Event{Kind: choice.ClockOffset, Clock: b})
}
