package core

import (
	"time"

	"capercove/internal/admission"
	"capercove/routing"
)

// fair is the door, where requests wait for their turn before the router sees them, and what is on its way to it.
type fair struct {
	door    *admission.Controller
	config  admission.Config
	events  []admission.Event
	spare   []admission.Event
	actions []admission.Action
}

// doorState tells where a request is, as the door sees it.
type doorState uint8

const (
	doorNone doorState = iota // there is no door, or it is past it for good
	doorQueued
	doorInside
)

// EnableAdmission puts a door before the router. It comes before the first request.
func (c *Core) EnableAdmission(cfg admission.Config, seed uint64) {
	c.door = &fair{config: cfg, door: admission.New(c.doorSettings(cfg), seed)}
}

// ReconfigureAdmission takes in other tenants, weights and limits, all at once. What is queued stays.
func (c *Core) ReconfigureAdmission(cfg admission.Config) {
	if c.door == nil {
		return
	}
	c.door.config = cfg
	s := c.doorSettings(cfg)
	c.tell(admission.Event{Kind: admission.Retuned, Settings: &s})
}

func (c *Core) doorSettings(cfg admission.Config) admission.Settings {
	routed := c.routed()
	classes := make([]admission.Class, len(routed.Classes))
	for i, class := range routed.Classes {
		n := len(c.settings.Names)
		classes[i] = admission.Class{
			Name: c.settings.Names[i%n] + Route(i/n).String(), Aim: class.LatencyObjective,
			Primary: class.Read == routing.Write || class.Read == routing.FreshRead,
		}
	}
	return cfg.Settings(classes, admission.Settings{MaxRetryAfter: c.settings.MaxRetryAfter, Bounds: admission.Bounds{
		Queue: c.limits.DoorQueue,
		Lanes: c.limits.DoorLanes, Promises: c.limits.DoorPromises, LimitMin: float64(c.limits.DoorLeast),
		LimitMax: float64(c.limits.DoorMost),
	}})
}

// tell notes an event for the door.
func (c *Core) tell(e admission.Event) {
	c.door.events = append(c.door.events, e)
	c.rouse()
}

// offer brings a request to the door.
func (c *Core) offer(q *Request, expires time.Duration) {
	q.door = doorQueued
	c.tell(admission.Event{Kind: admission.Offered, Request: uint64(q.id), Offer: admission.Offer{
		Tenant: q.Tenant, Class: q.routed,
		Group: q.Group, Client: q.Caller, Work: q.ExpectedWork, Expires: expires,
	}})
}

// outside tells the door that a request is over, or that it holds no database up any more.
func (c *Core) outside(q *Request) {
	switch q.door {
	case doorQueued:
		c.tell(admission.Event{Kind: admission.Left, Request: uint64(q.id)})
	case doorInside:
		c.tell(admission.Event{Kind: admission.Ended, Request: uint64(q.id), Outcome: admission.Outcome{Ran: q.ran, Took: q.took}})
	}
	q.door = doorNone
}

// learn notes for the door, and for who learns what statements take, how an attempt ended.
func (c *Core) learn(a *Attempt, status routing.Status, took time.Duration) {
	q := a.Request
	if q.CostObserver != nil {
		c.teach(a, status, took)
	}
	if q.door != doorInside {
		return
	}
	if status == routing.OK || status == routing.TimedOut {
		q.took = took
	}
	if status == routing.NodeOverloaded {
		c.tell(admission.Event{Kind: admission.Full, Request: uint64(q.id)})
	}
	q.ran = q.ran || !status.NeverRan()
}

// shed tells the door that the router has refused a request as soon as it came: there was no room behind the door.
func (c *Core) shed(q *Request) {
	if q.door == doorInside && len(q.attempts) == 0 && c.clock()-q.entered <= c.limits.ShedWithin {
		c.tell(admission.Event{Kind: admission.Full, Request: uint64(q.id)})
	}
}

// advise is the time to come back for a request that the router refuses: at least what the router says, and such that the
// door can keep it.
func (c *Core) advise(q *Request, least time.Duration) time.Duration {
	if c.door == nil || q.door != doorInside {
		return least
	}
	return c.door.door.RetryAfter(c.clock(), uint64(q.id), least)
}

// enter hands the door what has come, and lets in or refuses what it says. Those let in are with the router in the
// same Flush.
func (c *Core) enter() {
	f := c.door
	if len(f.events) == 0 {
		return
	}
	events := f.events
	f.events = f.spare[:0]
	now := c.clock()
	f.actions = f.door.Step(now, events, f.actions[:0])
	clear(events) // they may hold settings
	f.spare = events
	for _, a := range f.actions {
		if a.Kind == admission.Wake {
			c.Wheel.At(now+a.After, func() { c.tell(admission.Event{Kind: admission.Woken}) })
			continue
		}
		q := c.requests[routing.RequestID(a.Request)]
		if q == nil || q.door != doorQueued { // its client left in the same batch
			continue
		}
		if a.Kind == admission.Admit {
			q.door, q.routed, q.entered = doorInside, a.Class, now
			c.arrive(q, q.deadline-now)
			continue
		}
		q.door = doorNone
		c.finish(q)
		q.count.Refused++
		q.Client.Rejected(a.After)
	}
}

// AdmissionFigures are what operators are shown of the door.
type AdmissionFigures struct {
	Count   admission.Count
	Queued  int
	Sojourn map[string]float64 // quantiles in milliseconds of those who waited and were let in
	Tenants []admission.TenantFigures
	Lanes   []admission.QueueFigures
}

// Admission returns the figures of the door, nil if there is none.
func (c *Core) Admission() *AdmissionFigures {
	if c.door == nil {
		return nil
	}
	d := c.door.door
	f := &AdmissionFigures{
		Count: d.Count, Queued: d.Queued(), Tenants: d.Tenants(), Lanes: d.Queues(),
		Sojourn: map[string]float64{},
	}
	f.Tenants = f.Tenants[:min(len(f.Tenants), c.limits.DoorShown)]
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		f.Sojourn[name] = float64(d.Sojourn.ValueAtQuantile(q)) / 1000
	}
	return f
}
