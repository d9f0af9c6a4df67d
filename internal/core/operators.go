package core

import (
	"maps"
	"time"

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

// Figures returns the figures as they were a moment ago, to any goroutine.
func (c *Core) Figures() Figures {
	if f := c.figures.Load(); f != nil {
		return *f
	}
	return Figures{}
}

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
			f.Classes[name] = f.Classes[name].plus(*a)
		}
	}
	f.Admission, f.Databases, f.Asks, f.Blind = c.Admission(), c.sights(), maps.Clone(c.asks), c.Count.Blind
	now := c.clock()
	if c.ready != nil && !c.stopping && (now >= c.readyBy || c.listed && f.Members > 0 && c.router.HasPrimaries()) {
		c.ready()
		c.ready = nil
	}
	f.Ready = c.ready == nil && f.Members > 0 && !c.stopping
	c.figures.Store(&f)
	c.Wheel.At(now+c.limits.Figures, c.publish)
}

func (a Answers) plus(b Answers) Answers {
	return Answers{
		Taken: a.Taken + b.Taken, Served: a.Served + b.Served, Refused: a.Refused + b.Refused,
		Failed: a.Failed + b.Failed, Gone: a.Gone + b.Gone,
	}
}

// answers are the counts of a front and class.
func (c *Core) answers(front, class string) *Answers {
	classes := c.Count.Fronts[front]
	if classes == nil {
		classes = map[string]*Answers{}
		c.Count.Fronts[front] = classes
	}
	if classes[class] == nil {
		classes[class] = &Answers{}
	}
	return classes[class]
}

// Stopping tells that this process is about to end: it is ready no more.
func (c *Core) Stopping() { c.stopping = true }

// Reconfigure takes in new settings. What was submitted before keeps its class.
func (c *Core) Reconfigure(s Settings) {
	c.Count.Reloads++
	c.settings = &s
	c.retune()
}

// ReloadRejected counts a configuration that was not taken.
func (c *Core) ReloadRejected() { c.Count.ReloadErrors++ }

// HasMember tells whether any list has named the database.
func (c *Core) HasMember(id routing.NodeID) bool { return c.members[id] != nil }

// Exclude takes in which databases the operators keep out, each since when. It holds when this returns: what was decided
// before and is not on its way yet is taken back by the backends.
func (c *Core) Exclude(bans map[routing.NodeID]time.Duration) {
	c.banned = bans
	c.keepOut()
}
