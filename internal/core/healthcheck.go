package core

import (
	"time"

	"capercove/routing"
)

// HealthChecker requests a database's load report. Each call of Probe must end with a call of Core.Probed.
type HealthChecker interface{ Probe(*Member) }

// ProbeByName probes a database about which another pooler has published an observation, and reports whether it did.
// The result is evidence like that of any other probe. A database is not probed if it is gone, draining or excluded, or
// if it already has such a probe in flight.
func (c *Core) ProbeByName(name string) (probed bool) {
	for id, member := range c.members {
		alreadyProbed := c.hintedProbes[id]
		if member.Name != name || !c.mayProbe(member) || alreadyProbed {
			continue
		}
		if c.hintedProbes == nil {
			c.hintedProbes = map[routing.NodeID]bool{}
		}
		c.hintedProbes[id] = true
		c.counters.Probes++
		c.counters.Asked++
		c.healthChecker.Probe(member)
		return true
	}
	return false
}

// mayProbe reports whether another pooler's hint may cause a probe of a database.
func (c *Core) mayProbe(member *Member) bool {
	return c.settings.CanProbe && member.State == routing.Ready && !member.Excluded
}

// Probed reports the result of a probe and how long it took. The load report is valid only with status OK.
func (c *Core) Probed(member *Member, status routing.Status, took time.Duration, report routing.Evidence) {
	if status != routing.OK {
		c.counters.ProbesFailed++
	}
	delete(c.hintedProbes, member.ID)
	c.sampleReport(took, report)
	c.pushEvent(routing.Event{Kind: routing.ProbeDone, Outcome: routing.Outcome{
		Node:         member.ID,
		Status:       status,
		Duration:     took,
		HealthReport: report,
	}})
}
