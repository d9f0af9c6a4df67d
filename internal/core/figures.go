package core

import (
	"maps"
	"time"

	"capercove/internal/admission"
	"capercove/routing"
)

// Figures are the state and the counters that operators see. Published figures are never modified.
type Figures struct {
	Ready                 bool
	Classes               map[string]Answers // by class, summed over all fronts
	Written               int64              // attempts whose last byte was written to a database
	OpenRequests          int                // requests without a final answer
	Members, Unavailable  int                // listed databases; those that the router does not use
	Reloads, ReloadErrors int64              // configurations applied; rejected
	RejectedReloadAge     time.Duration      // since a newer configuration was first rejected; 0: the newest is running
	Admission             *AdmissionFigures  // nil: admission control is off
	Databases             []DatabaseStatus   // nil unless Observe was called
	RequestsByGroup       map[int]int64      // requests by group; nil unless Observe was called
	Blind                 int64              // attempts sent to databases that may be in maintenance; see Blocklist
}

// AdmissionFigures are the state and the counters of admission control that operators see. Logs contain the names of
// the fields.
type AdmissionFigures struct {
	Count   admission.Counters
	Queued  int
	Sojourn map[string]float64 // percentiles of the queuing time of admitted requests, in milliseconds, by name
	Tenants []admission.TenantFigures
	Lanes   []admission.QueueFigures
}

// sojournPercentiles maps the keys of AdmissionFigures.Sojourn to percentiles.
var sojournPercentiles = map[string]float64{"p50": 50, "p99": 99, "max": 100}

const microsecondsPerMillisecond = 1000

// DatabaseStatus is the router's view of a database, from its own attempts and probes.
type DatabaseStatus struct {
	routing.NodeStatus
	Name        string
	Group, Zone int
	MayProbe    bool // another pooler's hint may cause a probe of it; see Core.ProbeByName
}

// Figures returns the figures that were published last. It is safe for concurrent use.
func (c *Core) Figures() Figures {
	if published := c.figures.Load(); published != nil {
		return *published
	}
	return Figures{}
}

// Observe adds the router's view of each database and the requests by group to the figures.
func (c *Core) Observe() {
	c.observing = true
	c.requestsByGroup = map[int]int64{}
}

// Stopping marks this process as about to exit: from now on it is not ready.
func (c *Core) Stopping() { c.stopping = true }

// publish replaces the figures, checks readiness, and schedules its next call after FiguresInterval.
func (c *Core) publish() {
	figures := c.collectFigures()
	now := c.clock()
	c.checkReady(now, figures.Members)
	figures.Ready = c.ready == nil && figures.Members > 0 && !c.stopping
	c.figures.Store(&figures)
	c.Wheel.Schedule(now+c.limits.FiguresInterval, c.publish)
}

// checkReady calls ready, once, if the core can serve or ReadyTimeout has passed.
func (c *Core) checkReady(now time.Duration, members int) {
	if c.ready == nil || c.stopping {
		return
	}
	canServe := c.listReceived && members > 0 && c.router.HasPrimaries()
	if now >= c.readyBy || canServe {
		c.ready()
		c.ready = nil
	}
}

// collectFigures returns the current figures, without Ready.
func (c *Core) collectFigures() Figures {
	return Figures{
		Classes:           c.answersByClass(),
		Written:           c.counters.Written,
		OpenRequests:      c.OpenRequests(),
		Members:           len(c.MemberNames()),
		Unavailable:       c.router.UnavailableNodes(),
		Reloads:           c.counters.Reloads,
		ReloadErrors:      c.counters.ReloadErrors,
		RejectedReloadAge: c.rejectedReloadAge(),
		Admission:         c.AdmissionFigures(),
		Databases:         c.databaseStatuses(),
		RequestsByGroup:   maps.Clone(c.requestsByGroup),
		Blind:             c.counters.Blind,
	}
}

// answersByClass sums up the answers of all fronts. It has an entry for each class of the settings, even without
// requests.
func (c *Core) answersByClass() map[string]Answers {
	sums := map[string]Answers{}
	for _, name := range c.settings.Names {
		sums[name] = Answers{}
	}
	for _, classes := range c.counters.Fronts {
		for name, answers := range classes {
			sums[name] = sums[name].add(*answers)
		}
	}
	return sums
}

// databaseStatuses returns the router's view of each member. It is nil unless Observe was called.
func (c *Core) databaseStatuses() []DatabaseStatus {
	if !c.observing {
		return nil
	}
	nodes := c.router.NodeStatuses(nil)
	statuses := make([]DatabaseStatus, 0, len(nodes))
	for _, node := range nodes {
		member := c.members[node.ID]
		if member == nil {
			continue
		}
		statuses = append(statuses, DatabaseStatus{
			NodeStatus: node,
			Name:       member.Name,
			Group:      member.Group,
			Zone:       member.Zone,
			MayProbe:   c.mayProbe(member),
		})
	}
	return statuses
}

// AdmissionFigures returns the current figures of admission control. They are nil if it is off.
func (c *Core) AdmissionFigures() *AdmissionFigures {
	if c.admission == nil {
		return nil
	}
	controller := c.admission.controller
	tenants := controller.Tenants()
	figures := &AdmissionFigures{
		Count:   controller.Counters(),
		Queued:  controller.Queued(),
		Sojourn: map[string]float64{},
		Tenants: tenants[:min(len(tenants), c.admission.limits.MaxListedTenants)],
		Lanes:   controller.Queues(),
	}
	for name, percentile := range sojournPercentiles {
		figures.Sojourn[name] = float64(controller.Sojourn.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
	}
	return figures
}
