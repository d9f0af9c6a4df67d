package agent

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"capercove/internal/core"
	"capercove/internal/maintenance"
	"capercove/internal/membership/gossip"
	"capercove/internal/peers"
	"capercove/routing"
)

const (
	maxEvidenceAge = 6 * time.Second  // evidence of a database that is older says nothing
	peakHalfLife   = 10 * time.Minute // a peak of the load counts half after this

	// States of a member in membership's view, as texts.
	memberLive = "live"
	memberGone = "gone"
	memberLeft = "left"
)

// observe returns what a plan is decided by, as this pooler sees it now. Capacity is how many requests a second one
// database can do; 0: the load does not count.
func (a *Agent) observe(capacity float64) maintenance.Observation {
	in := inputs{
		now:      a.pooler.Clock(),
		figures:  a.pooler.Core.Figures(),
		members:  a.pooler.Fleet(),
		leads:    a.pooler.Store != nil && a.pooler.Store.Leads(),
		capacity: capacity,
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.observer.observe(in)
}

// probe requests evidence from databases of their state.
func (a *Agent) probe(databases []string) {
	if len(databases) == 0 {
		return
	}
	a.pooler.Do(func() {
		for _, name := range databases {
			a.pooler.Core.ProbeByName(name)
		}
	})
}

// observer makes observations of what a pooler sees and of membership's view.
type observer struct {
	zones  []string
	maxLag time.Duration   // of a replica that keeps up
	peaks  map[int]float64 // requests a second by group: the highest of late
	at     time.Duration   // when the peaks were last taken; 0: never
}

// newObserver returns the observer of a pooler.
func newObserver(config Config, pooler Pooler) observer {
	maxLag := pooler.Fresh
	if config.FreshMS > 0 {
		maxLag = milliseconds(config.FreshMS)
	}
	return observer{zones: pooler.Zones, maxLag: maxLag, peaks: map[int]float64{}}
}

// inputs are what an observation is made of.
type inputs struct {
	now      time.Duration
	figures  core.Figures
	members  gossip.State
	leads    bool    // this pooler leads the record
	capacity float64 // requests a second that one database can do; 0: the load does not count
}

// observe makes an observation. Loads are in databases.
func (o *observer) observe(in inputs) maintenance.Observation {
	observation := maintenance.Observation{
		Snapshot: maintenance.Snapshot{
			Machines: map[string]*maintenance.Machine{},
			Load:     map[int]float64{},
		},
		Incarnations: map[string]uint64{},
		Left:         map[string]uint64{},
		Heard:        map[string]time.Duration{},
	}
	rates := observePoolers(in, &observation)
	o.expectLoad(in.now, rates, in.capacity, observation.Load)
	o.observeDatabases(in, &observation)
	return observation
}

// observePoolers adds the poolers, and returns the requests a second that they report, by group.
func observePoolers(in inputs, observation *maintenance.Observation) (rates map[int]float64) {
	rates = map[int]float64{}
	for _, member := range in.members.Poolers {
		if member.State == memberLeft {
			observation.Left[member.Name] = member.Incarnation
			continue
		}
		observation.Incarnations[member.Name] = member.Incarnation
		machine := &maintenance.Machine{
			Name:        member.Name,
			Kind:        maintenance.Pooler,
			Size:        1,
			Warm:        true,
			Incarnation: member.Incarnation,
			Leads:       member.Name == in.members.Name && in.leads,
		}
		observation.Machines[member.Name] = machine
		if member.State == memberGone {
			continue
		}
		observation.Live = append(observation.Live, member.Name)
		var report peers.Self
		if json.Unmarshal(member.Says, &report) != nil {
			continue
		}
		machine.Zone = report.Zone
		machine.Up = member.State == memberLive && !report.Stopping
		for group, rate := range report.Groups {
			rates[group] += float64(rate)
		}
	}
	return rates
}

// observeDatabases adds the databases.
func (o *observer) observeDatabases(in inputs, observation *maintenance.Observation) {
	unhealthy, warmingUp := reportedStates(in.members)
	unreachable := unreachableZones(in.figures.Databases)
	livePoolers := len(observation.Live)
	for _, database := range in.figures.Databases {
		name := database.Name
		observation.Heard[name] = database.LastHeard
		heardLately := in.now-database.LastHeard < maxEvidenceAge
		majorityUnhealthy := 2*unhealthy[name] >= max(2, livePoolers)
		observation.Machines[name] = &maintenance.Machine{
			Name:        name,
			Group:       database.Group,
			Zone:        o.zoneName(database.Zone),
			Size:        1,
			Primary:     database.Primary,
			Warm:        !database.WarmingUp && !warmingUp[name],
			Up:          database.Health == routing.Healthy && heardLately && !majorityUnhealthy,
			Fresh:       database.Position > 0 && database.MaxLag <= o.maxLag,
			Unreachable: unreachable[database.Zone],
		}
	}
}

// reportedStates returns how many poolers report each database as unhealthy, and which are reported as warming up.
func reportedStates(members gossip.State) (unhealthy map[string]int, warmingUp map[string]bool) {
	unhealthy, warmingUp = map[string]int{}, map[string]bool{}
	for _, database := range members.Databases {
		for _, reported := range database.Words {
			if reported.State.Bad() {
				unhealthy[database.Name]++
			}
			if reported.Cold {
				warmingUp[database.Name] = true
			}
		}
	}
	return unhealthy, warmingUp
}

// unreachableZones returns the zones that have several databases, all of them unresponsive.
func unreachableZones(databases []core.DatabaseStatus) map[int]bool {
	unresponsive, all := map[int]int{}, map[int]int{}
	for _, database := range databases {
		all[database.Zone]++
		if database.Health == routing.Unresponsive {
			unresponsive[database.Zone]++
		}
	}
	unreachable := map[int]bool{}
	for zone, count := range all {
		unreachable[zone] = count > 1 && unresponsive[zone] == count
	}
	return unreachable
}

// zoneName returns the name of a zone.
func (o *observer) zoneName(number int) string {
	if number < len(o.zones) {
		return o.zones[number]
	}
	return "zone " + strconv.Itoa(number)
}

// expectLoad sets the load to expect of each group, in databases of the given capacity: the present load or the recent
// peak, which decays.
func (o *observer) expectLoad(now time.Duration, rates map[int]float64, capacity float64, load map[int]float64) {
	fade := math.Exp2(-float64(now-o.at) / float64(peakHalfLife))
	if o.at == 0 {
		fade = 0
	}
	o.at = now
	for group := range rates {
		if _, known := o.peaks[group]; !known {
			o.peaks[group] = 0
		}
	}
	for group, peak := range o.peaks {
		o.peaks[group] = max(rates[group], peak*fade)
		if capacity > 0 {
			load[group] = o.peaks[group] / capacity
		}
	}
}
