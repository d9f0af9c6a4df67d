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
	heardLately = 6 * time.Second  // evidence of a database that is older says nothing
	halves      = 10 * time.Minute // a peak of the load counts half after this
)

func (d *Agent) see(bears float64) maintenance.Observation {
	f, s, leads := d.pooler.Core.Figures(), d.pooler.Fleet(), d.pooler.Store != nil && d.pooler.Store.Leads()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.looker.see(d.pooler.Clock(), f, s, leads, bears)
}

func (d *Agent) ask(databases []string) {
	if len(databases) > 0 {
		d.pooler.Do(func() {
			for _, name := range databases {
				d.pooler.Core.ProbeByName(name)
			}
		})
	}
}

// looker makes of what a pooler sees, and of what the fleet's view has, what a plan is decided by.
type looker struct {
	zones []string
	fresh time.Duration
	peaks map[int]float64 // requests a second by group: the highest of late
	at    time.Duration
}

// see looks. The loads are in databases, each of which bears so many requests a second; 0: load is not looked at.
func (l *looker) see(now time.Duration, f core.Figures, s gossip.State, leads bool, bears float64) maintenance.Observation {
	seen := maintenance.Observation{
		Snapshot: maintenance.Snapshot{Machines: map[string]*maintenance.Machine{}, Load: map[int]float64{}}, Incarnations: map[string]uint64{},
		Left: map[string]uint64{}, Heard: map[string]time.Duration{},
	}
	rates := map[int]float64{}
	reached := map[string]int{} // poolers by zone that are there
	for _, p := range s.Poolers {
		if p.State == "left" {
			seen.Left[p.Name] = p.Incarnation
			continue
		}
		seen.Incarnations[p.Name] = p.Incarnation
		m := &maintenance.Machine{Name: p.Name, Kind: maintenance.Pooler, Size: 1, Warm: true, Incarnation: p.Incarnation, Leads: p.Name == s.Name && leads}
		if p.State != "gone" {
			seen.Live = append(seen.Live, p.Name)
			var says peers.Self
			if json.Unmarshal(p.Says, &says) == nil {
				m.Zone = says.Zone
				m.Up = p.State == "live" && !says.Stopping
				for group, rate := range says.Groups {
					rates[group] += float64(rate)
				}
			}
			reached[m.Zone]++
		}
		seen.Machines[p.Name] = m
	}
	l.load(now, rates, bears, seen.Load)
	bad, cold := map[string]int{}, map[string]bool{}
	for _, d := range s.Databases {
		for _, w := range d.Words {
			if w.State.Bad() {
				bad[d.Name]++
			}
			cold[d.Name] = cold[d.Name] || w.Cold
		}
	}
	silent, all := map[int]int{}, map[int]int{} // databases by zone
	for _, d := range f.Databases {
		all[d.Zone]++
		if d.Health == routing.Unresponsive {
			silent[d.Zone]++
		}
	}
	for _, d := range f.Databases {
		seen.Heard[d.Name] = d.LastHeard
		m := &maintenance.Machine{
			Name: d.Name, Group: d.Group, Zone: l.zone(d.Zone), Size: 1, Primary: d.Primary, Warm: !d.Cold && !cold[d.Name],
			Unreachable: all[d.Zone] > 1 && silent[d.Zone] == all[d.Zone],
		}
		m.Up = d.Health == routing.Healthy && now-d.LastHeard < heardLately && 2*bad[d.Name] < max(2, len(seen.Live))
		m.Fresh = d.Position > 0 && d.Behind <= l.fresh
		seen.Machines[d.Name] = m
	}
	return seen
}

func (l *looker) zone(number int) string {
	if number < len(l.zones) {
		return l.zones[number]
	}
	return "zone " + strconv.Itoa(number)
}

// load is what is expected of each group: what is asked now, or the highest of late, which fades.
func (l *looker) load(now time.Duration, rates map[int]float64, bears float64, into map[int]float64) {
	fade := math.Exp2(-float64(now-l.at) / float64(halves))
	if l.at == 0 {
		fade = 0
	}
	l.at = now
	for group := range rates {
		if _, known := l.peaks[group]; !known {
			l.peaks[group] = 0
		}
	}
	for group, peak := range l.peaks {
		l.peaks[group] = max(rates[group], peak*fade)
		if bears > 0 {
			into[group] = l.peaks[group] / bears
		}
	}
}
