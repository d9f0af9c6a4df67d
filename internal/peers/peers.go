// Package peers stands between what poolers know together and one pooler: it says what the pooler sees, and hands the pooler what
// the view comes down to. What is decided is in package fleet; nothing here is on a request's path.
package peers

import (
	"encoding/json"
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
	lease = 3 * time.Second  // without word from the fleet's part for so long, the pooler is as if there were none
	renew = time.Second      // it is renewed this often
	anew  = 10 * time.Second // what changes all the time is said anew this often at the most
	apart = 1.5              // ... and only if it differs by this factor
)

// Self is what a pooler says of itself.
type Self struct {
	Version     string      `json:"version,omitempty"`
	Zone        string      `json:"zone,omitempty"`
	Since       int64       `json:"since_ms"` // Unix
	Listen      string      `json:"listen"`
	Management  string      `json:"management,omitempty"`
	Settings    string      `json:"settings"`           // a digest: equal where the settings are
	Load        int         `json:"load"`               // requests a second, roughly
	Connections int         `json:"connections"`        // clients' and databases', roughly
	Groups      map[int]int `json:"groups,omitempty"`   // of the load, by group of databases
	Counted     int         `json:"counted,omitempty"`  // poolers that it reckons with
	Stopping    bool        `json:"stopping,omitempty"` // it has been told to end
}

// Pooler is what is told and asked here. All but Figures is called on the event loop only.
type Pooler struct {
	Core        *core.Core
	Do          func(func())         // runs on the event loop, soon
	Keep        func(map[string]int) // bounds idle connections by database
	Connections func() int           // that are open
	Log         zerolog.Logger
}

// Peers is one pooler's. Period is called by the fleet's goroutine alone.
type Peers struct {
	pooler   Pooler
	advisor  *membership.Advisor
	reporter *membership.Reporter

	open atomic.Int64 // connections, as last counted
	lost atomic.Bool  // the lease ran out, or nothing came yet

	mu      sync.Mutex // guards all below; never held on the event loop, which must not wait for the fleet's part
	self    Self
	doubted []string
	advice  membership.Hints
	asked   int64
	routers int // of new settings; 0: none have come

	// The fleet's goroutine's.
	taken   int64         // requests, when the load was last told
	asks    map[int]int64 // ... by group
	told    time.Duration
	renewed time.Duration

	lease *timerwheel.Timer // the event loop's
}

// New returns the peers of a pooler that says this of itself, where the settings say that there are so many routers.
func New(name string, u membership.Uses, self Self, routers int, p Pooler) *Peers {
	peers := &Peers{pooler: p, advisor: membership.NewAdvisor(name, u, membership.DefaultAdvisorBounds(), routers), self: self,
		reporter: membership.NewReporter(time.Minute)}
	peers.lost.Store(true)
	return peers
}

// Configured takes in new settings.
func (p *Peers) Configured(digest string, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Settings, p.routers = digest, routers
}

// Stopping says that the pooler has been told to end.
func (p *Peers) Stopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Stopping = true
}

// Period takes in the view and returns what the pooler says.
func (p *Peers) Period(now time.Duration, v *membership.View) map[membership.Key][]byte {
	f := p.pooler.Core.Figures()
	sights := make([]membership.LocalObservation, 0, len(f.Databases))
	for _, s := range f.Databases {
		sights = append(sights, membership.LocalObservation{Database: s.Name, State: state(s.Health), WarmingUp: s.Cold, Primary: s.Primary,
			Position: s.Position, LastAnswer: s.LastHeard, MayProbe: s.MayAsk})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers > 0 {
		p.advisor.Configure(p.routers)
		p.routers = 0
	}
	advice := p.advisor.Step(now, v, sights)
	changed := advice.Routers != p.advice.Routers || !same(advice.IdleConnections, p.advice.IdleConnections)
	p.doubted, p.asked = p.advisor.Suspected(), p.advisor.Counters.Probes
	if changed || len(advice.Probe) > 0 || p.lost.Load() || now-p.renewed >= renew {
		p.renewed = now
		p.lost.Store(false)
		p.pooler.Do(func() { p.apply(advice) })
	}
	if advice.Routers != p.advice.Routers {
		p.pooler.Log.Info().Int("poolers", advice.Routers).Int("before", p.advice.Routers).Msg("fleet: counted")
	}
	for _, database := range advice.Probe {
		p.pooler.Log.Info().Str("database", database).Msg("fleet: asked, as others doubt it or say that it leads")
	}
	p.advice = advice
	p.self.Counted = advice.Routers
	if now-p.told >= anew {
		taken := int64(0)
		for _, c := range f.Classes {
			taken += c.Taken
		}
		load := float64(taken-p.taken) / (now - p.told).Seconds()
		if p.told > 0 && differs(load, float64(p.self.Load)) {
			p.self.Load = int(math.Round(load))
		}
		if open := int(p.open.Load()); differs(float64(open), float64(p.self.Connections)) {
			p.self.Connections = open
		}
		if p.told > 0 {
			p.self.Groups = groups(p.self.Groups, f.Asks, p.asks, (now - p.told).Seconds())
		}
		p.told, p.taken, p.asks = now, taken, f.Asks
	}
	text, err := json.Marshal(p.self)
	if err != nil {
		panic(err) // a fault of this program: there is nothing in it that cannot be written
	}
	values := p.reporter.Report(now, sights, p.advisor.Contested)
	values[membership.Key{}] = text
	return values
}

// groups are the loads of groups of databases: said anew where one differs from what was said.
func groups(said map[int]int, asks, before map[int]int64, seconds float64) map[int]int {
	rates, anew := map[int]int{}, false
	for group, n := range asks {
		rate := float64(n-before[group]) / seconds
		rates[group] = int(math.Round(rate))
		anew = anew || differs(rate, float64(said[group]))
	}
	if !anew {
		return said
	}
	return rates
}

// differs tells whether a number is so far from the one that was said that it is to be said anew. Against facts that never rest.
func differs(x, said float64) bool { return max(x, said)+1 > apart*(min(x, said)+1) }

func same(a, b map[string]int) bool {
	if len(a) != len(b) || (a == nil) != (b == nil) {
		return false
	}
	for name, n := range a {
		if m, has := b[name]; !has || m != n {
			return false
		}
	}
	return true
}

func state(h routing.Health) membership.State {
	return [...]membership.State{routing.HealthUnknown: membership.Unknown, routing.Healthy: membership.Healthy, routing.Unresponsive: membership.Unresponsive,
		routing.Failing: membership.Failing, routing.NotListening: membership.NotListening}[h]
}

// apply hands advice to the pooler, on the event loop. It holds for the lease: against a fleet's part that stands still.
func (p *Peers) apply(a membership.Hints) {
	c := p.pooler.Core
	p.hold(a)
	for _, database := range a.Probe {
		c.ProbeByName(database)
	}
	if p.lease != nil {
		p.lease.Stop()
	}
	p.lease = c.Wheel.At(c.Now()+lease, func() {
		p.hold(membership.Hints{})
		p.lost.Store(true)
	})
	p.open.Store(int64(p.pooler.Connections()))
}

func (p *Peers) hold(a membership.Hints) {
	p.pooler.Core.SetRouters(a.Routers)
	p.pooler.Keep(a.IdleConnections)
}

// Status is what operators see of what is done with the view.
type Status struct {
	Counted int      `json:"counted"` // poolers that are reckoned with; 0: as many as the settings say
	Doubted []string `json:"doubted"` // databases of which others say what this pooler has not seen
	Asked   int64    `json:"asked"`   // probes on others' word
	Lost    bool     `json:"lost"`    // the fleet's part has not been heard from: all is as without it
}

func (p *Peers) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Counted: p.advice.Routers, Doubted: append([]string{}, p.doubted...), Asked: p.asked, Lost: p.lost.Load()}
}
