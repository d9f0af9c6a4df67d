// Package peers connects one pooler with the view that poolers share. It publishes the pooler's observations, and
// applies to the pooler the hints that package membership derives from the view. Requests of clients do
// not pass through it.
package peers

import (
	"encoding/json"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/membership"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

const (
	hintsLease    = 3 * time.Second // hints that are not renewed for this long no longer apply
	renewInterval = time.Second

	measureInterval = 10 * time.Second // between measurements of the published load
	notableFactor   = 1.5              // a measurement is published only if it differs from the last by this factor

	reportRetention = time.Minute // an observation is published for this long after it became the default again
)

// Self is what a pooler publishes about itself.
type Self struct {
	Version     string      `json:"version,omitempty"`
	Zone        string      `json:"zone,omitempty"`
	Since       int64       `json:"since_ms"` // Unix ms: start of the process
	Listen      string      `json:"listen"`
	Management  string      `json:"management,omitempty"`
	Settings    string      `json:"settings"`           // digest of the settings
	Load        int         `json:"load"`               // requests per second, approximately
	Connections int         `json:"connections"`        // open ones of clients and to databases, approximately
	Groups      map[int]int `json:"groups,omitempty"`   // Load by group of databases
	Counted     int         `json:"counted,omitempty"`  // number of poolers by which it divides capacity
	Stopping    bool        `json:"stopping,omitempty"` // the pooler is shutting down
}

// Pooler gives access to the pooler. Its functions are called on the event loop, except Do.
type Pooler struct {
	Core        *core.Core
	Do          func(func())         // runs a function on the event loop
	Keep        func(map[string]int) // limits the idle connections by database; nil: no limit
	Connections func() int           // returns the number of open connections
	Log         zerolog.Logger
}

// Peers connects one pooler with the shared view. Period must be called by one goroutine at a time; the other methods
// are safe for concurrent use.
type Peers struct {
	pooler   Pooler
	advisor  *membership.Advisor
	reporter *membership.Reporter

	openConnections atomic.Int64 // as last counted on the event loop
	leaseLost       atomic.Bool  // the lease has expired, or no hints have been applied yet

	mu            sync.Mutex // guards the fields below; never locked on the event loop, which must not wait for Period
	self          Self
	suspected     []string
	hints         membership.Hints // of the last period
	probes        int64            // caused by the hints
	newRouters    int              // number of poolers in settings that Period has not used yet; 0: none
	lastMeasured  time.Duration    // 0: never
	lastRequests  int64            // counted at lastMeasured
	groupRequests map[int]int64    // counted at lastMeasured, by group
	lastRenewed   time.Duration

	lease *timerwheel.Timer // of the applied hints; used only on the event loop
}

// New connects the pooler of this name with the shared view. Self is what it publishes first; routers is the number of
// poolers in the settings.
func New(name string, uses membership.Uses, self Self, routers int, pooler Pooler) *Peers {
	peers := &Peers{
		pooler:   pooler,
		advisor:  membership.NewAdvisor(name, uses, membership.DefaultAdvisorBounds(), routers),
		reporter: membership.NewReporter(reportRetention),
		self:     self,
	}
	peers.leaseLost.Store(true)
	return peers
}

// Configured applies new settings from the next period on: their digest, and the number of poolers in them.
func (p *Peers) Configured(digest string, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Settings, p.newRouters = digest, routers
}

// Stopping publishes from the next period on that the pooler is shutting down.
func (p *Peers) Stopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Stopping = true
}

// Period derives hints from the view, applies them on the event loop, and returns the values that the pooler publishes.
// It must be called once in each gossip period.
func (p *Peers) Period(now time.Duration, view *membership.View) map[membership.Key][]byte {
	figures := p.pooler.Core.Figures()
	local := localObservations(figures.Databases)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newRouters > 0 {
		p.advisor.Configure(p.newRouters)
		p.newRouters = 0
	}
	hints := p.advisor.Step(now, view, local)
	p.suspected, p.probes = p.advisor.Suspected(), p.advisor.Counters.Probes
	if p.mustApply(now, hints) {
		p.lastRenewed = now
		p.leaseLost.Store(false)
		p.pooler.Do(func() { p.apply(hints) })
	}
	p.logHints(hints)
	p.hints = hints
	p.self.Counted = hints.Routers
	if now-p.lastMeasured >= measureInterval {
		p.measure(now, figures)
	}
	values := p.reporter.Report(now, local, p.advisor.Contested)
	values[membership.Key{}] = p.self.encode()
	return values
}

func localObservations(databases []core.DatabaseStatus) []membership.LocalObservation {
	local := make([]membership.LocalObservation, 0, len(databases))
	for _, database := range databases {
		local = append(local, membership.LocalObservation{
			Database:   database.Name,
			State:      stateOf[database.Health],
			WarmingUp:  database.Cold,
			Primary:    database.Primary,
			Position:   database.Position,
			LastAnswer: database.LastHeard,
			MayProbe:   database.MayAsk,
		})
	}
	return local
}

var stateOf = [...]membership.State{
	routing.HealthUnknown: membership.Unknown,
	routing.Healthy:       membership.Healthy,
	routing.Unresponsive:  membership.Unresponsive,
	routing.Failing:       membership.Failing,
	routing.NotListening:  membership.NotListening,
}

// mustApply reports whether hints must be applied now: they have changed, or the lease is lost or must be renewed. The
// caller holds mu.
func (p *Peers) mustApply(now time.Duration, hints membership.Hints) bool {
	changed := hints.Routers != p.hints.Routers || !equalLimits(hints.IdleConnections, p.hints.IdleConnections)
	return changed || len(hints.Probe) > 0 || p.leaseLost.Load() || now-p.lastRenewed >= renewInterval
}

// equalLimits reports whether two limits on idle connections are the same. No limit (nil) differs from an empty one.
func equalLimits(a, b map[string]int) bool { return (a == nil) == (b == nil) && maps.Equal(a, b) }

// logHints logs a changed number of poolers and the hinted probes. The caller holds mu.
func (p *Peers) logHints(hints membership.Hints) {
	if hints.Routers != p.hints.Routers {
		p.pooler.Log.Info().Int("poolers", hints.Routers).Int("before", p.hints.Routers).
			Msg("membership: pooler count changed")
	}
	for _, database := range hints.Probe {
		p.pooler.Log.Info().Str("database", database).Msg("membership: probing database on a peer's report")
	}
}

// measure updates the published load and number of connections. The caller holds mu.
func (p *Peers) measure(now time.Duration, figures core.Figures) {
	requests := int64(0)
	for _, class := range figures.Classes {
		requests += class.Taken
	}
	if p.lastMeasured > 0 {
		seconds := (now - p.lastMeasured).Seconds()
		if load := float64(requests-p.lastRequests) / seconds; isNotable(load, float64(p.self.Load)) {
			p.self.Load = int(math.Round(load))
		}
		p.self.Groups = groupLoads(p.self.Groups, figures.Asks, p.groupRequests, seconds)
	}
	if open := int(p.openConnections.Load()); isNotable(float64(open), float64(p.self.Connections)) {
		p.self.Connections = open
	}
	p.lastMeasured, p.lastRequests, p.groupRequests = now, requests, figures.Asks
}

// groupLoads returns the load of each group to publish, in requests per second. It returns the published loads unless
// one of them differs notably from the load since the counts before.
func groupLoads(published map[int]int, counts, before map[int]int64, seconds float64) map[int]int {
	loads, notable := map[int]int{}, false
	for group, count := range counts {
		load := float64(count-before[group]) / seconds
		loads[group] = int(math.Round(load))
		notable = notable || isNotable(load, float64(published[group]))
	}
	if !notable {
		return published
	}
	return loads
}

// isNotable reports whether a measurement differs enough from the published one to be published. Small changes are not
// sent to all poolers.
func isNotable(measured, published float64) bool {
	return max(measured, published)+1 > notableFactor*(min(measured, published)+1)
}

func (s Self) encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a programming error: all fields can be encoded
	}
	return text
}

// apply applies hints to the pooler, on the event loop. The hints expire with their lease: if Period is no longer
// called, the pooler returns to its settings.
func (p *Peers) apply(hints membership.Hints) {
	p.setLimits(hints)
	for _, database := range hints.Probe {
		p.pooler.Core.ProbeByName(database)
	}
	if p.lease != nil {
		p.lease.Stop()
	}
	p.lease = p.pooler.Core.Wheel.At(p.pooler.Core.Now()+hintsLease, func() {
		p.setLimits(membership.Hints{})
		p.leaseLost.Store(true)
	})
	p.openConnections.Store(int64(p.pooler.Connections()))
}

func (p *Peers) setLimits(hints membership.Hints) {
	p.pooler.Core.SetRouters(hints.Routers)
	p.pooler.Keep(hints.IdleConnections)
}

// Status shows operators how the pooler uses the view.
type Status struct {
	Counted int      `json:"counted"` // poolers by which capacity is divided; 0: the number in the settings
	Doubted []string `json:"doubted"` // databases under suspicion
	Asked   int64    `json:"asked"`   // probes caused by hints
	Lost    bool     `json:"lost"`    // no hints apply: the lease has expired, or none have been applied yet
}

// Status returns how the pooler used the view in the last period.
func (p *Peers) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Counted: p.hints.Routers,
		Doubted: append([]string{}, p.suspected...),
		Asked:   p.probes,
		Lost:    p.leaseLost.Load(),
	}
}
