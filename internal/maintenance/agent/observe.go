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
	maxEvidenceAge = 6 * time.Second  // a database with older evidence does not count as up
	peakHalfLife   = 10 * time.Minute // time in which a recent peak of the load decays to a half

	// Texts of the states of a member in membership's view.
	memberLive = "live"
	memberGone = "gone"
	memberLeft = "left"
)

// observe returns the state of all machines as this pooler sees it now. capacity is how many requests per second one
// database can serve; 0: the load is ignored.
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

// probe probes databases, by name, for new evidence of their state.
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

// observer combines the figures of a pooler and membership's view into observations.
type observer struct {
	zones   []string
	maxLag  time.Duration   // of a replica that keeps up
	peaks   map[int]float64 // recent peak by group, in requests per second; it decays
	peaksAt time.Duration   // when the peaks were last updated; 0: never
}

// newObserver returns the observer of a pooler that has no peaks yet.
func newObserver(config Config, pooler Pooler) observer {
	maxLag := pooler.Fresh
	if config.FreshMS > 0 {
		maxLag = milliseconds(config.FreshMS)
	}
	return observer{zones: pooler.Zones, maxLag: maxLag, peaks: map[int]float64{}}
}

// inputs holds the inputs of one observation.
type inputs struct {
	now      time.Duration
	figures  core.Figures
	members  gossip.State
	leads    bool    // this pooler leads the record
	capacity float64 // requests per second that one database can serve; 0: the load is ignored
}

// observe returns an observation, and updates the peaks. The unit of its loads is the capacity of one database.
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

// observePoolers adds the poolers, and returns the requests per second that they report, summed by group.
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
			Warm:        !database.Cold && !warmingUp[name],
			Up:          database.Health == routing.Healthy && heardLately && !majorityUnhealthy,
			Fresh:       database.Position > 0 && database.Behind <= o.maxLag,
			Unreachable: unreachable[database.Zone],
		}
	}
}

// reportedStates returns how many poolers report each database as unhealthy, and which databases are reported as
// warming up, both by name.
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

// unreachableZones returns the zones in which two or more databases are known, and all are unresponsive.
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

// zoneName returns the name of a zone. A zone without a configured name is named by its number.
func (o *observer) zoneName(number int) string {
	if number < len(o.zones) {
		return o.zones[number]
	}
	return "zone " + strconv.Itoa(number)
}

// expectLoad sets the expected load of each group: the present load or the decayed recent peak, whichever is higher.
// The unit is the capacity of one database. Without a capacity, it only updates the peaks.
func (o *observer) expectLoad(now time.Duration, rates map[int]float64, capacity float64, load map[int]float64) {
	decay := math.Exp2(-float64(now-o.peaksAt) / float64(peakHalfLife))
	if o.peaksAt == 0 {
		decay = 0
	}
	o.peaksAt = now
	for group := range rates {
		if _, known := o.peaks[group]; !known {
			o.peaks[group] = 0
		}
	}
	for group, peak := range o.peaks {
		o.peaks[group] = max(rates[group], peak*decay)
		if capacity > 0 {
			load[group] = o.peaks[group] / capacity
		}
	}
}
