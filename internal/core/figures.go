package core

import (
	"maps"

	"capercove/routing"
)

// Figures are what operators are shown. A published one never changes.
type Figures struct {
	Ready                 bool
	Classes               map[string]Answers // over all fronts
	Written               int64
	Pending               int
	Members, Unavailable  int
	Reloads, ReloadErrors int64
	Admission             *AdmissionFigures // nil: there is none
	Databases             []DatabaseStatus  // nil: not observed, as with the next
	Asks                  map[int]int64
	Blind                 int64 // attempts sent to databases that could be at work, as nothing else was left
}

// DatabaseStatus is what the router holds of a database by its own evidence.
type DatabaseStatus struct {
	routing.NodeStatus
	Name        string
	Group, Zone int
	MayAsk      bool // a probe may be sent there
}

// Figures returns the figures as they were a moment ago, to any goroutine.
func (c *Core) Figures() Figures {
	if f := c.figures.Load(); f != nil {
		return *f
	}
	return Figures{}
}

// Observe lets the figures tell what the router sees.
func (c *Core) Observe() { c.observing, c.requestsByGroup = true, map[int]int64{} }

// publish shows the figures, again and again.
func (c *Core) publish() {
	f := Figures{
		Classes: map[string]Answers{}, Written: c.Count.Written, Pending: c.Open(), Members: len(c.Members()),
		Unavailable: c.router.Unavailable(), Reloads: c.Count.Reloads, ReloadErrors: c.Count.ReloadErrors,
	}
	for _, name := range c.settings.Names {
		f.Classes[name] = Answers{}
	}
	for _, classes := range c.Count.Fronts {
		for name, a := range classes {
			f.Classes[name] = f.Classes[name].add(*a)
		}
	}
	f.Admission, f.Databases, f.Asks, f.Blind = c.Admission(), c.databaseStatuses(), maps.Clone(c.requestsByGroup), c.Count.Blind
	now := c.clock()
	if c.ready != nil && !c.stopping && (now >= c.readyBy || c.listReceived && f.Members > 0 && c.router.HasPrimaries()) {
		c.ready()
		c.ready = nil
	}
	f.Ready = c.ready == nil && f.Members > 0 && !c.stopping
	c.figures.Store(&f)
	c.Wheel.At(now+c.limits.Figures, c.publish)
}

// databaseStatuses are what the router sees now; nil where nobody looks.
func (c *Core) databaseStatuses() []DatabaseStatus {
	if !c.observing {
		return nil
	}
	seen := c.router.NodeStatuses(nil)
	sights := make([]DatabaseStatus, 0, len(seen))
	for _, s := range seen {
		if m := c.members[s.ID]; m != nil {
			sights = append(sights, DatabaseStatus{NodeStatus: s, Name: m.Name, Group: m.Group, Zone: m.Zone, MayAsk: c.mayProbe(m)})
		}
	}
	return sights
}

// Stopping tells that this process is about to end: it is ready no more.
func (c *Core) Stopping() { c.stopping = true }
