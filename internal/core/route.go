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
	routes
)

func (r Route) String() string { return [...]string{"", " as a write", " as a read"}[r] }

// CostObserver is told what the attempts of a request take.
type CostObserver interface {
	// ObserveCost tells what one took, beside so many others at its database.
	ObserveCost(took time.Duration, others int)
}

// EnableStatementRouting lets requests be routed otherwise than their classes say. Off, the router knows the classes alone.
func (c *Core) EnableStatementRouting(on bool) {
	if on == c.routes {
		return
	}
	c.routes = on
	c.retune()
}

// route is the router's number for the class of a request.
func (c *Core) route(q *Request) int {
	if !c.routes {
		return q.Class
	}
	return q.Class + int(q.Route)*len(c.settings.Classes)
}

// routesAsWrite tells whether a request goes to the primary alone, for what it may change there.
func (c *Core) routesAsWrite(q *Request) bool {
	if c.routes && q.Route != AsLabelled {
		return q.Route == AsWrite
	}
	return c.settings.Classes[q.Class].Read == routing.Write
}

// teach tells what an attempt took, if it was answered well.
func (c *Core) teach(a *Attempt, status routing.Status, took time.Duration) {
	if n := c.out[a.Member.ID] - 1; n > 0 {
		c.out[a.Member.ID] = n
	} else {
		delete(c.out, a.Member.ID)
	}
	if status == routing.OK {
		a.Request.CostObserver.ObserveCost(took, a.others)
	}
}
