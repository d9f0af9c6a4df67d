package core

import "capercove/routing"

// What other poolers' words come down to, where poolers talk. None of it is evidence, and nothing waits for it.

// DatabaseStatus is what the router holds of a database by its own evidence.
type DatabaseStatus struct {
	routing.NodeStatus
	Name        string
	Group, Zone int
	MayAsk      bool // a probe may be sent there
}

// Observe lets the figures tell what the router sees.
func (c *Core) Observe() { c.observed, c.asks = true, map[int]int64{} }

// sights are what the router sees now; nil where nobody looks.
func (c *Core) sights() []DatabaseStatus {
	if !c.observed {
		return nil
	}
	seen := c.router.NodeStatuses(nil)
	sights := make([]DatabaseStatus, 0, len(seen))
	for _, s := range seen {
		if m := c.members[s.ID]; m != nil {
			sights = append(sights, DatabaseStatus{NodeStatus: s, Name: m.Name, Group: m.Group, Zone: m.Zone, MayAsk: c.mayAsk(m)})
		}
	}
	return sights
}

func (c *Core) mayAsk(m *Member) bool {
	return c.settings.CanProbe && m.State == routing.Ready && !m.Excluded
}

// SetRouters takes in how many routers share the databases, in place of the number in the settings; 0 is back to that.
func (c *Core) SetRouters(routers int) {
	if routers != c.routers {
		c.routers = routers
		c.retune()
	}
}

// ProbeByName probes a database that other poolers have a word on. What comes back is evidence like any other; nothing is sent to one
// that is gone, draining or banned, or to which a probe is out already.
func (c *Core) ProbeByName(name string) (asked bool) {
	for id, m := range c.members {
		if m.Name != name || !c.mayAsk(m) || c.asking[id] {
			continue
		}
		if c.asking == nil {
			c.asking = map[routing.NodeID]bool{}
		}
		c.asking[id] = true
		c.Count.Probes++
		c.Count.Asked++
		c.prober.Probe(m)
		return true
	}
	return false
}
