package core

import (
	"time"

	"capercove/routing"
)

// HealthChecker asks a database for its report; each call ends with Core.Probed.
type HealthChecker interface{ Probe(*Member) }

// ProbeByName probes a database that other poolers have a word on. What comes back is evidence like any other; nothing is sent to one
// that is gone, draining or banned, or to which a probe is out already.
func (c *Core) ProbeByName(name string) (asked bool) {
	for id, m := range c.members {
		if m.Name != name || !c.mayProbe(m) || c.hintedProbes[id] {
			continue
		}
		if c.hintedProbes == nil {
			c.hintedProbes = map[routing.NodeID]bool{}
		}
		c.hintedProbes[id] = true
		c.Count.Probes++
		c.Count.Asked++
		c.healthChecker.Probe(m)
		return true
	}
	return false
}

func (c *Core) mayProbe(m *Member) bool {
	return c.settings.CanProbe && m.State == routing.Ready && !m.Excluded
}

// Probed ends a probe.
func (c *Core) Probed(m *Member, status routing.Status, took time.Duration, report routing.Evidence) {
	if status != routing.OK {
		c.Count.ProbesFailed++
	}
	delete(c.hintedProbes, m.ID)
	c.sampleReport(took, report)
	c.pushEvent(routing.Event{Kind: routing.ProbeDone, Outcome: routing.Outcome{
		Node: m.ID, Status: status, Duration: took,
		Report: report,
	}})
}
