package core

import "capercove/routing"

// Route determines how a request is routed if its statement does not match its class, such as a write that is labelled
// with a class of reads. The class's latency objective, deadline and weight still apply, and the request is counted
// under that class.
type Route uint8

// The routes of requests.
const (
	AsLabelled Route = iota // as its class specifies
	AsWrite                 // to the primary only; never retried once it may have run
	AsRead                  // to any database with all commits made before the request arrived; may be retried
	routeCount
)

// String returns the name of the route.
func (r Route) String() string { return [routeCount]string{"as labelled", "as write", "as read"}[r] }

// classSuffix returns the suffix that admission control appends to the class name for requests on this route.
func (r Route) classSuffix() string { return [routeCount]string{"", " as a write", " as a read"}[r] }

// apply returns the settings of a class for requests on this route.
func (r Route) apply(class routing.Class) routing.Class {
	switch r {
	case AsWrite:
		class.Read, class.Effect = routing.Write, routing.NonIdempotent
	case AsRead:
		class.Read, class.Effect = routing.FreshRead, routing.Idempotent
	}
	return class
}

// EnableStatementRouting sets whether Request.Route applies. While it is off, requests are routed as their classes
// specify, and the router has only the classes of the settings.
func (c *Core) EnableStatementRouting(on bool) {
	if on == c.statementRouting {
		return
	}
	c.statementRouting = on
	c.pushSettings()
}

// routerClass returns the router's number for the class of a request on its route.
func (c *Core) routerClass(request *Request) int {
	if !c.statementRouting {
		return request.Class
	}
	return request.Class + int(request.Route)*len(c.settings.Classes)
}

// routesAsWrite reports whether a request is routed as a write, to the primary only.
func (c *Core) routesAsWrite(request *Request) bool {
	if c.statementRouting && request.Route != AsLabelled {
		return request.Route == AsWrite
	}
	return c.settings.Classes[request.Class].Read == routing.Write
}
