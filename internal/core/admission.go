package core

import (
	"time"

	"capercove/internal/admission"
	"capercove/internal/limits"
	"capercove/routing"
)

// admissionControl has the admission controller, which queues requests before the router sees them, and the events
// for its next Step.
type admissionControl struct {
	controller  *admission.Controller
	config      admission.Config
	limits      limits.Admission
	events      []admission.Event  // collected for the next Step
	spareEvents []admission.Event  // the slice of the last batch, to be reused
	actions     []admission.Action // the result of the last Step; the slice is reused
}

// admissionState is the state of a request in admission control.
type admissionState uint8

const (
	notInAdmission admissionState = iota // admission control is off, or no longer tracks the request
	queuedForAdmission
	admitted // and counted against a concurrency limit
)

// EnableAdmission puts an admission controller before the router. It must be called before the first Submit.
func (c *Core) EnableAdmission(config admission.Config, bounds limits.Admission, seed uint64) {
	c.admission = &admissionControl{
		config:     config,
		limits:     bounds,
		controller: admission.New(c.admissionSettings(config, bounds), seed),
	}
}

// ReconfigureAdmission replaces the tenants, weights and limits in one step. Queued requests stay queued. It does
// nothing if admission control is off.
func (c *Core) ReconfigureAdmission(config admission.Config) {
	if c.admission == nil {
		return
	}
	c.admission.config = config
	settings := c.admissionSettings(config, c.admission.limits)
	c.pushAdmission(admission.Event{Kind: admission.SettingsChanged, Settings: &settings})
}

// admissionSettings combines the operators' settings with the router's classes and this process's bounds.
func (c *Core) admissionSettings(config admission.Config, bounds limits.Admission) admission.Settings {
	routed := c.routerSettings()
	names := c.settings.Names
	classes := make([]admission.Class, len(routed.Classes))
	for i, class := range routed.Classes {
		classes[i] = admission.Class{
			Name:             names[i%len(names)] + Route(i/len(names)).classSuffix(),
			LatencyObjective: class.LatencyObjective,
			Primary:          class.Read == routing.Write || class.Read == routing.FreshRead,
		}
	}
	return config.Settings(classes, admission.Settings{
		MaxRetryAfter: c.settings.MaxRetryAfter,
		Bounds: admission.Bounds{
			MaxWaiting:     bounds.MaxQueued,
			MaxQueues:      bounds.MaxQueues,
			MaxRetries:     bounds.MaxRetryAfter,
			MinConcurrency: float64(bounds.MinConcurrency),
			MaxConcurrency: float64(bounds.MaxConcurrency),
		},
	})
}

// pushAdmission queues an event for the admission controller's next Step and requests a Flush.
func (c *Core) pushAdmission(event admission.Event) {
	c.admission.events = append(c.admission.events, event)
	c.requestFlush()
}

// offerForAdmission queues a request for admission.
func (c *Core) offerForAdmission(request *Request, timeLeft time.Duration) {
	request.admission = queuedForAdmission
	c.pushAdmission(admission.Event{Kind: admission.Offered, Request: uint64(request.id), Offer: admission.Offer{
		Tenant:  request.Tenant,
		Class:   request.routerClass,
		Group:   request.Group,
		Client:  request.Caller,
		Work:    request.ExpectedWork,
		Expires: timeLeft,
	}})
}

// leaveAdmission notifies the admission controller that a request is over or no longer occupies a database.
func (c *Core) leaveAdmission(request *Request) {
	event := admission.Event{Request: uint64(request.id)}
	switch request.admission {
	case queuedForAdmission:
		event.Kind = admission.Disconnected
		c.pushAdmission(event)
	case admitted:
		event.Kind = admission.Ended
		event.Outcome = admission.Outcome{Ran: request.mayHaveRun, Took: request.lastDuration}
		c.pushAdmission(event)
	}
	request.admission = notInAdmission
}

// recordAttemptEnd reports the end of an attempt to the admission controller and to the request's CostObserver.
func (c *Core) recordAttemptEnd(attempt *Attempt, outcome *routing.Outcome) {
	request, status := attempt.Request, outcome.Status
	if request.CostObserver != nil {
		c.observeCost(attempt, status, outcome.Duration)
	}
	request.mayHaveRun = request.mayHaveRun || !outcome.NeverRan()
	if request.admission != admitted {
		return
	}
	if status == routing.OK || status == routing.TimedOut {
		request.lastDuration = outcome.Duration
	}
	if status == routing.NodeOverloaded {
		c.pushAdmission(admission.Event{Kind: admission.Overloaded, Request: uint64(request.id)})
	}
}

// reportNoCapacity notifies the admission controller that the databases had no capacity for a request, if the request
// is given up within ShedWindow after its admission and was never sent.
func (c *Core) reportNoCapacity(request *Request) {
	neverSent := len(request.attempts) == 0
	if request.admission != admitted || !neverSent {
		return
	}
	justAdmitted := c.clock()-request.admittedAt <= c.admission.limits.ShedWindow
	if justAdmitted {
		c.pushAdmission(admission.Event{Kind: admission.Overloaded, Request: uint64(request.id)})
	}
}

// retryAfter returns the Retry-After time for a request that the router rejects. It is at least minimum, and longer if
// the admission controller expects to admit the request only later.
func (c *Core) retryAfter(request *Request, minimum time.Duration) time.Duration {
	if c.admission == nil || request.admission != admitted {
		return minimum
	}
	return c.admission.controller.RetryAfter(c.clock(), uint64(request.id), minimum)
}

// stepAdmission passes the collected events to the admission controller and performs its actions. The router receives
// the admitted requests in the same Flush.
func (c *Core) stepAdmission() {
	control := c.admission
	if len(control.events) == 0 {
		return
	}
	events := control.events
	control.events = control.spareEvents[:0]
	now := c.clock()
	control.actions = control.controller.Step(now, events, control.actions[:0])
	clear(events) // releases the settings that they point to
	control.spareEvents = events
	for _, action := range control.actions {
		c.performAdmission(action, now)
	}
}

// performAdmission performs one action of the admission controller. now is the time of its Step.
func (c *Core) performAdmission(action admission.Action, now time.Duration) {
	if action.Kind == admission.Wake {
		c.Wheel.Schedule(now+action.After, func() { c.pushAdmission(admission.Event{Kind: admission.Woken}) })
		return
	}
	request := c.requests[routing.RequestID(action.Request)]
	if request == nil || request.admission != queuedForAdmission {
		return // the client left in the same batch
	}
	if action.Kind == admission.Admit {
		request.admission = admitted
		request.routerClass = action.Class
		request.admittedAt = now
		c.forwardToRouter(request, request.deadline-now)
		return
	}
	request.admission = notInAdmission
	c.reject(request, action.After)
}
