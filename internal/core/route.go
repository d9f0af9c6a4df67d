package core

import (
	"time"

	"capercove/routing"
)

// Route tells how a request is routed where what it does is not what its class says. Its class's aim, deadline and worth
// stay, and so does what it is counted as.
type Route uint8

const (
	AsLabelled Route = iota
	AsWrite          // by the primary only, and never again once it may have run
	AsRead           // by whoever has all that was committed before it came, and again if need be
	routeCount
)

func (r Route) String() string { return [...]string{"", " as a write", " as a read"}[r] }

// CostObserver is told what the attempts of a request take.
type CostObserver interface {
	// ObserveCost tells what one took, beside so many others at its database.
	ObserveCost(took time.Duration, others int)
}

// EnableStatementRouting lets requests be routed otherwise than their classes say. Off, the router knows the classes alone.
func (c *Core) EnableStatementRouting(on bool) {
	if on == c.statementRouting {
		return
	}
	c.statementRouting = on
	c.pushSettings()
}

// routerClass is the router's number for the class of a request.
func (c *Core) routerClass(request *Request) int {
	if !c.statementRouting {
		return request.Class
	}
	return request.Class + int(request.Route)*len(c.settings.Classes)
}

// routesAsWrite tells whether a request goes to the primary alone, for what it may change there.
func (c *Core) routesAsWrite(request *Request) bool {
	if c.statementRouting && request.Route != AsLabelled {
		return request.Route == AsWrite
	}
	return c.settings.Classes[request.Class].Read == routing.Write
}

// observeCost tells what an attempt took, if it was answered well.
func (c *Core) observeCost(attempt *Attempt, status routing.Status, took time.Duration) {
	if n := c.costObserved[attempt.Member.ID] - 1; n > 0 {
		c.costObserved[attempt.Member.ID] = n
	} else {
		delete(c.costObserved, attempt.Member.ID)
	}
	if status == routing.OK {
		attempt.Request.CostObserver.ObserveCost(took, attempt.othersInFlight)
	}
}
