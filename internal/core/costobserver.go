package core

import (
	"time"

	"capercove/routing"
)

// CostObserver receives the duration of each answered attempt of a request.
type CostObserver interface {
	// ObserveCost reports the duration of an answered attempt, and how many other attempts were in flight at its
	// database when it was sent. The others include only attempts of requests with a CostObserver.
	ObserveCost(took time.Duration, others int)
}

// beginCostObservation counts an attempt of a request with a CostObserver as in flight at its database, until
// observeCost is called for it.
func (c *Core) beginCostObservation(attempt *Attempt) {
	database := attempt.Member.ID
	attempt.othersInFlight = c.costObserved[database]
	c.costObserved[database]++
}

// observeCost counts an attempt as no longer in flight, and reports its duration to the request's observer if it was
// answered.
func (c *Core) observeCost(attempt *Attempt, status routing.Status, took time.Duration) {
	database := attempt.Member.ID
	c.costObserved[database]--
	if c.costObserved[database] <= 0 {
		delete(c.costObserved, database)
	}
	if status == routing.OK {
		attempt.Request.CostObserver.ObserveCost(took, attempt.othersInFlight)
	}
}
