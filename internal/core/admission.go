package core

import (
	"time"

	"capercove/internal/admission"
	"capercove/routing"
)

// admissionControl is the door, where requests wait for their turn before the router sees them, and what is on its way to it.
type admissionControl struct {
	controller *admission.Controller
	config     admission.Config
	events     []admission.Event
	spare      []admission.Event
	actions    []admission.Action
}

// admissionState tells where a request is, as the door sees it.
type admissionState uint8

const (
	notInAdmission admissionState = iota // there is no door, or it is past it for good
	queuedForAdmission
	admitted
)

// EnableAdmission puts a door before the router. It comes before the first request.
func (c *Core) EnableAdmission(cfg admission.Config, seed uint64) {
	c.admission = &admissionControl{config: cfg, controller: admission.New(c.admissionSettings(cfg), seed)}
}

// ReconfigureAdmission takes in other tenants, weights and limits, all at once. What is queued stays.
func (c *Core) ReconfigureAdmission(cfg admission.Config) {
	if c.admission == nil {
		return
	}
	c.admission.config = cfg
	s := c.admissionSettings(cfg)
	c.pushAdmission(admission.Event{Kind: admission.Retuned, Settings: &s})
}

func (c *Core) admissionSettings(cfg admission.Config) admission.Settings {
	routed := c.routerSettings()
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

// pushAdmission notes an event for the door.
func (c *Core) pushAdmission(e admission.Event) {
	c.admission.events = append(c.admission.events, e)
	c.requestFlush()
}

// offerForAdmission brings a request to the door.
func (c *Core) offerForAdmission(request *Request, expires time.Duration) {
	request.admission = queuedForAdmission
	c.pushAdmission(admission.Event{Kind: admission.Offered, Request: uint64(request.id), Offer: admission.Offer{
		Tenant: request.Tenant, Class: request.routerClass,
		Group: request.Group, Client: request.Caller, Work: request.ExpectedWork, Expires: expires,
	}})
}

// leaveAdmission tells the door that a request is over, or that it holds no database up any more.
func (c *Core) leaveAdmission(request *Request) {
	switch request.admission {
	case queuedForAdmission:
		c.pushAdmission(admission.Event{Kind: admission.Left, Request: uint64(request.id)})
	case admitted:
		c.pushAdmission(admission.Event{Kind: admission.Ended, Request: uint64(request.id), Outcome: admission.Outcome{Ran: request.mayHaveRun, Took: request.lastDuration}})
	}
	request.admission = notInAdmission
}

// noteAttemptEnded notes for the door, and for who learns what statements take, how an attempt ended.
func (c *Core) noteAttemptEnded(attempt *Attempt, status routing.Status, took time.Duration) {
	request := attempt.Request
	if request.CostObserver != nil {
		c.observeCost(attempt, status, took)
	}
	if request.admission != admitted {
		return
	}
	if status == routing.OK || status == routing.TimedOut {
		request.lastDuration = took
	}
	if status == routing.NodeOverloaded {
		c.pushAdmission(admission.Event{Kind: admission.Full, Request: uint64(request.id)})
	}
	request.mayHaveRun = request.mayHaveRun || !status.NeverRan()
}

// noteShedByRouter tells the door that the router has refused a request as soon as it came: there was no room behind the door.
func (c *Core) noteShedByRouter(request *Request) {
	if request.admission == admitted && len(request.attempts) == 0 && c.clock()-request.admittedAt <= c.limits.ShedWithin {
		c.pushAdmission(admission.Event{Kind: admission.Full, Request: uint64(request.id)})
	}
}

// retryAfter is the time to come back for a request that the router refuses: at least what the router says, and such that the
// door can keep it.
func (c *Core) retryAfter(request *Request, least time.Duration) time.Duration {
	if c.admission == nil || request.admission != admitted {
		return least
	}
	return c.admission.controller.RetryAfter(c.clock(), uint64(request.id), least)
}

// stepAdmission hands the door what has come, and lets in or refuses what it says. Those let in are with the router in the
// same Flush.
func (c *Core) stepAdmission() {
	f := c.admission
	if len(f.events) == 0 {
		return
	}
	events := f.events
	f.events = f.spare[:0]
	now := c.clock()
	f.actions = f.controller.Step(now, events, f.actions[:0])
	clear(events) // they may hold settings
	f.spare = events
	for _, action := range f.actions {
		if action.Kind == admission.Wake {
			c.Wheel.At(now+action.After, func() { c.pushAdmission(admission.Event{Kind: admission.Woken}) })
			continue
		}
		request := c.requests[routing.RequestID(action.Request)]
		if request == nil || request.admission != queuedForAdmission { // its client left in the same batch
			continue
		}
		if action.Kind == admission.Admit {
			request.admission, request.routerClass, request.admittedAt = admitted, action.Class, now
			c.forwardToRouter(request, request.deadline-now)
			continue
		}
		request.admission = notInAdmission
		c.finish(request)
		request.answers.Refused++
		request.Client.Rejected(action.After)
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
	if c.admission == nil {
		return nil
	}
	d := c.admission.controller
	f := &AdmissionFigures{
		Count: d.Count, Queued: d.Queued(), Tenants: d.Tenants(), Lanes: d.Queues(),
		Sojourn: map[string]float64{},
	}
	f.Tenants = f.Tenants[:min(len(f.Tenants), c.limits.DoorShown)]
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		f.Sojourn[name] = float64(d.Sojourn.ValueAtQuantile(quantile)) / 1000
	}
	return f
}
