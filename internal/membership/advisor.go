package membership

import (
	"cmp"
	"slices"
	"time"
)

// Uses selects the purposes for which a pooler uses the view. They are independent of each other, and none of them
// overrides the pooler's own evidence. The zero value selects none.
type Uses struct {
	Count       bool `toml:"count"`       // divide capacity by the live poolers, not by the configured number
	Suspicion   bool `toml:"doubt"`       // probe databases that peers report as bad or as a primary
	Connections int  `toml:"connections"` // limit of all poolers' idle connections to one database; 0: no limit
}

// AdvisorBounds are the delays and limits of an Advisor.
type AdvisorBounds struct {
	StableFor     time.Duration // how long a lower count of poolers must be stable before it is used
	TurnInterval  time.Duration // interval between the first probes of a suspected database by successive poolers
	AllTurns      time.Duration // time for the first probes of all poolers; shortens TurnInterval if they are many
	RetryInterval time.Duration // pause of a pooler after every second probe of a suspected database
	ProbesPerStep int           // databases probed in one step at most
	MinSuspecting int           // peers that must report a database as bad; a single peer may be cut off itself
}

// DefaultAdvisorBounds returns bounds for gossip periods of 200 ms.
func DefaultAdvisorBounds() AdvisorBounds {
	return AdvisorBounds{
		StableFor:     10 * time.Second,
		TurnInterval:  50 * time.Millisecond,
		AllTurns:      time.Second,
		RetryInterval: 2 * time.Second,
		ProbesPerStep: 4,
		MinSuspecting: 2,
	}
}

// Hints are an advisor's recommendations for one period. The zero value changes nothing.
type Hints struct {
	Poolers         int            // poolers among which to divide capacity; 0: the configured number
	Probe           []string       // databases to probe now
	IdleConnections map[string]int // limit of this pooler's idle connections, by database; nil: no limit
}

// AdvisorCounters count an advisor's decisions.
type AdvisorCounters struct {
	Probes     int64 // requested probes
	Suspicions int64 // times that a database became suspected
}

// Advisor derives hints for its own pooler from the view. It is a deterministic state machine: callers pass the time,
// the view and the pooler's own observations. It is not safe for concurrent use.
type Advisor struct {
	Counters AdvisorCounters

	name         string
	uses         Uses
	bounds       AdvisorBounds
	configured   int // number of poolers in the settings
	countInUse   int // 0: all known poolers
	lowerCount   int // highest count below countInUse, observed since lowerSince; 0: none
	lowerSince   time.Duration
	suspicions   map[string]*suspicion
	observations map[string][]PeerObservation // by database, as of the last step
}

// NewAdvisor returns the advisor of the named pooler. Configured is the number of poolers in the settings.
func NewAdvisor(name string, uses Uses, bounds AdvisorBounds, configured int) *Advisor {
	return &Advisor{name: name, uses: uses, bounds: bounds, configured: configured, suspicions: map[string]*suspicion{}}
}

// SetConfiguredPoolers sets the configured number of poolers and discards the counts observed so far.
func (a *Advisor) SetConfiguredPoolers(configured int) {
	a.configured, a.countInUse, a.lowerCount = configured, 0, 0
}

// Step returns the hints for one period. Now is the time since the Unix epoch.
func (a *Advisor) Step(now time.Duration, view *View, local []LocalObservation) (hints Hints) {
	live := view.Live()
	a.observations = view.Observations()
	if !slices.Contains(live, a.name) { // This pooler has published nothing yet.
		return Hints{}
	}
	if a.uses.Count {
		known := len(live)
		for _, end := range view.Gone() {
			if !end.Left {
				known++
			}
		}
		hints.Poolers = a.countPoolers(now, len(live), max(known, a.configured))
	}
	if a.uses.Connections > 0 {
		poolers := max(len(live), cmp.Or(hints.Poolers, a.configured), 1)
		hints.IdleConnections = a.idleQuotas(poolers, live, local)
	}
	if a.uses.Suspicion {
		hints.Probe = a.databasesToProbe(now, live, local)
	}
	return hints
}

// countPoolers returns the number of poolers among which to divide capacity. Live is the number of live poolers in the
// view. Known is the configured number or, if it is higher, the number of live and failed poolers in the view.
//
// Too low a count overloads the databases; too high a count only leaves capacity unused. A higher count is therefore
// used at once. A lower count is used after it has been stable for StableFor, and only while more than half of the
// known poolers are live. At most one side of a network partition has that majority. The other side divides capacity
// among all known poolers.
//
// With K known poolers, this bounds the capacity that all live poolers use together:
//   - With any views, they use less than twice the total, because each uses at most 1/m of it, for a count
//     m > K/2.
//   - In a partition into sides of n > K/2 and K-n poolers, where the views on each side are equal, they use
//     n/n + (K-n)/K of the total, less than one and a half.
//   - With equal views of n live poolers, they use exactly the total.
func (a *Advisor) countPoolers(now time.Duration, live, known int) int {
	switch {
	case live >= known:
		a.countInUse, a.lowerCount = live, 0
		return live
	case 2*live <= known: // Minority side of a partition, or settings of another installation.
		a.countInUse, a.lowerCount = 0, 0
		return known
	}
	countInUse := cmp.Or(a.countInUse, known)
	switch {
	case live >= countInUse:
		a.countInUse, a.lowerCount = live, 0
	case a.lowerCount == 0 || live > a.lowerCount: // Use the highest count since it fell below countInUse.
		a.lowerCount, a.lowerSince = live, now
	case now-a.lowerSince >= a.bounds.StableFor:
		a.countInUse, a.lowerCount = a.lowerCount, 0
	}
	return cmp.Or(a.countInUse, known)
}

// idleQuotas divides the idle connections to each database among the poolers. If all poolers are live, the remainder of
// the division goes to the first poolers in rendezvous order, which differs for each database.
func (a *Advisor) idleQuotas(poolers int, live []string, local []LocalObservation) map[string]int {
	quotas := make(map[string]int, len(local))
	share, remainder := a.uses.Connections/poolers, a.uses.Connections%poolers
	for _, own := range local {
		quotas[own.Database] = share
		if poolers == len(live) && rendezvousRank(own.Database, a.name, live) < remainder {
			quotas[own.Database]++
		}
	}
	return quotas
}
