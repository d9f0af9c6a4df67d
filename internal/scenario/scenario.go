// Package scenario describes an experiment: the databases, the classes, who asks for what, and what goes wrong when. One
// description serves the fleet on sockets and the model in virtual time.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"capercove/internal/config/tables"
	"capercove/internal/membership"
)

// Scenario is a scenario file. Times are in seconds unless the key says milliseconds.
type Scenario struct {
	Base    string  `toml:"base"` // a file beside this one, whose values stand where this one has none
	Name    string  `toml:"name"`
	For     string  `toml:"for"`   // what it is for
	Shows   string  `toml:"shows"` // what it must show
	Seed    uint64  `toml:"seed"`
	Seconds float64 `toml:"seconds"` // how long load is sent
	Warm    float64 `toml:"warm"`    // of it, at the beginning, that counts for nothing
	Poolers int     `toml:"poolers"`

	Door       bool   `toml:"door"`       // fair queues are on
	Statements string `toml:"statements"` // off, observe or enforce
	Fleet      Fleet  `toml:"fleet"`      // what poolers tell each other; the model's tell nothing

	Server   Server   `toml:"server"`
	Families []Family `toml:"families"`
	Classes  []Class  `toml:"classes"`
	Loads    []Load   `toml:"loads"`
	Faults   []Fault  `toml:"faults"`
	List     List     `toml:"list"`
	Expect   Expect   `toml:"expect"`
}

// Server is what all databases have in common.
type Server struct {
	Cores       int     `toml:"cores"`
	Queue       int     `toml:"queue"`        // requests that wait; beyond it they are turned away
	Thrash      float64 `toml:"thrash"`       // share of its speed that is lost with the queue full
	Connections int     `toml:"connections"`  // open at once; beyond it they are turned away
	HandshakeMS float64 `toml:"handshake_ms"` // work of a new connection
	IdleMS      float64 `toml:"idle_ms"`      // a connection idle for so long is closed
	ProbeMS     float64 `toml:"probe_ms"`     // work of a probe
	ReportMS    float64 `toml:"report_ms"`    // a report is as old as this at the most
	ShipMS      Range   `toml:"ship_ms"`      // until a replica has a commit
	ApplyMS     float64 `toml:"apply_ms"`     // to apply one
	ColdShare   float64 `toml:"cold_share"`   // of its speed that a database starts with
	ColdTime    float64 `toml:"cold_time"`    // until it is warm
	FallOver    float64 `toml:"fall_over"`    // sent this multiple of what it can do for fall_time, a cold one falls over
	FallTime    float64 `toml:"fall_time"`
	GiveUp      Range   `toml:"give_up"`    // until a silent primary is given up
	TakeOver    Range   `toml:"take_over"`  // and until a replica has taken over from then
	HandOver    Range   `toml:"hand_over"`  // until one that drains has handed over
	NetworkMS   Range   `toml:"network_ms"` // one way, in the model; on sockets it is the machine's
}

// Fleet is table [fleet] of the operators' file, as far as a scenario says it.
type Fleet struct {
	Enabled bool    `toml:"enabled"`
	Slower  float64 `toml:"slower"`
	membership.Uses
}

// Range is drawn from evenly.
type Range [2]float64

// Family is a primary and its replicas.
type Family struct {
	Group   int      `toml:"group"`
	Members int      `toml:"members"` // the first one leads
	Zones   []string `toml:"zones"`   // of the members in turn
}

// Class is one class of requests.
type Class struct {
	Name       string  `toml:"name"`
	Kind       string  `toml:"kind"` // any, bounded or write
	WorkMS     Range   `toml:"work_ms"`
	AimMS      float64 `toml:"aim_ms"`
	DeadlineMS float64 `toml:"deadline_ms"`
	MaxAgeMS   float64 `toml:"max_age_ms"` // of a bounded one
	Worth      float64 `toml:"worth"`
	Late       float64 `toml:"late"`   // share of the worth of a late answer
	Blocks     bool    `toml:"blocks"` // while a replica holds one, it applies nothing
}

// Load is requests that come in an open loop: at their times, whatever has been answered.
type Load struct {
	Tenant   string  `toml:"tenant"`
	Class    string  `toml:"class"`
	Rate     float64 `toml:"rate"` // a second
	From, To float64 // seconds; 0: from the beginning, to the end
	Members  int     `toml:"members"` // distinct keys; 0: each request has its own
	Retries  int     `toml:"retries"` // of those refused
	Heed     bool    `toml:"heed"`    // they come back when told, otherwise after retry_ms
	RetryMS  float64 `toml:"retry_ms"`
	Mislabel float64 `toml:"mislabel"`  // share of reads that call a function which writes
	SlowRead bool    `toml:"slow_read"` // the client takes its answers slowly
}

// Fault is something that goes wrong, at a time after the beginning.
type Fault struct {
	At     float64 `toml:"at"`
	For    float64 `toml:"for"`
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"` // a database as g1-0, primary-1 for that group's leader, pooler-0, a zone, or discovery; of links see Link
	Factor float64 `toml:"factor"` // of slow and lag; share of spoil and loss
	Bytes  int     `toml:"bytes"`  // of reset: the connection breaks after so many of an answer
}

// kinds of faults, with what they are done to.
var kinds = map[string]string{
	"crash": "database", "hang": "database", "slow": "database", "drain": "database", "lag": "database",
	"spoil": "database", "reset": "database", "usurp": "database", "cut": "zone", "discovery": "discovery",
	"kill": "pooler", "restart": "pooler", "stop": "pooler", "part": "link", "loss": "link",
}

// List is how the list of databases comes.
type List struct {
	LateMS Range `toml:"late_ms"` // until a change is told
}

// Expect is what a run must show, beyond that no rule is broken.
type Expect struct {
	InTime map[string]float64 `toml:"in_time"` // least share of a class's requests answered within their aim
	Served map[string]float64 `toml:"served"`  // least share served at all
	Tenant map[string]float64 `toml:"tenant"`  // least share of a tenant's in time
}

// Defaults are the values of what a file lacks.
func Defaults() Scenario {
	return Scenario{Seed: 1, Seconds: 20, Warm: 2, Poolers: 1, Statements: "off", Server: Server{Cores: 3, Queue: 200, Thrash: 0.5, Connections: 200,
		HandshakeMS: 1, IdleMS: 15000, ProbeMS: 0.3, ReportMS: 150, ShipMS: Range{3, 15}, ApplyMS: 2, ColdShare: 0.16, ColdTime: 18,
		FallOver: 2.5, FallTime: 2, GiveUp: Range{1, 3}, TakeOver: Range{1, 3.5}, HandOver: Range{0.47, 0.94}, NetworkMS: Range{0.2, 0.4}},
		List: List{LateMS: Range{200, 1500}}}
}

// LoadFile reads a scenario and checks it. Errors name the file, the line and the key.
func LoadFile(path string) (*Scenario, error) {
	w := Defaults()
	text, err := w.load(path, true)
	if err != nil {
		return nil, err
	}
	if err := w.Check(); err != nil {
		var at tables.KeyError
		if errors.As(err, &at) {
			if line := tables.Lines(text)[at.Key]; line > 0 {
				return nil, fmt.Errorf("%s:%d: %w", path, line, at)
			}
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &w, nil
}

// load reads a file over the values that there are. A list that it names takes the place of the one before it.
func (w *Scenario) load(path string, mayBase bool) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var named struct {
		Base     string `toml:"base"`
		Families []any  `toml:"families"`
		Classes  []any  `toml:"classes"`
		Loads    []any  `toml:"loads"`
		Faults   []any  `toml:"faults"`
	}
	if err := toml.Unmarshal(text, &named); err != nil {
		return nil, tables.Located(path, err)
	}
	if named.Base != "" {
		if !mayBase {
			return nil, fmt.Errorf("%s:%d: base: a base has none itself", path, tables.Lines(text)["base"])
		}
		if _, err := w.load(filepath.Join(filepath.Dir(path), named.Base), false); err != nil {
			return nil, err
		}
	}
	for _, list := range []struct {
		named []any
		clear func()
	}{{named.Families, func() { w.Families = nil }}, {named.Classes, func() { w.Classes = nil }},
		{named.Loads, func() { w.Loads = nil }}, {named.Faults, func() { w.Faults = nil }}} {
		if list.named != nil {
			list.clear()
		}
	}
	if _, has := tables.Lines(text)["expect"]; has || strings.Contains(string(text), "[expect") {
		w.Expect = Expect{}
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(w); err != nil {
		return nil, tables.Located(path, err)
	}
	return text, nil
}

// Check tells what is wrong.
func (w *Scenario) Check() error {
	for _, v := range []struct {
		key   string
		value float64
		least float64
		most  float64
	}{{"seconds", w.Seconds, 0.1, 3600}, {"warm", w.Warm, 0, w.Seconds}, {"poolers", float64(w.Poolers), 1, 64},
		{"server.cores", float64(w.Server.Cores), 1, 1024}, {"server.queue", float64(w.Server.Queue), 0, 1e6},
		{"server.thrash", w.Server.Thrash, 0, 0.99}, {"server.connections", float64(w.Server.Connections), 1, 1e6},
		{"server.cold_share", w.Server.ColdShare, 0.01, 1}, {"server.fall_over", w.Server.FallOver, 1, 1000},
		{"server.fall_time", w.Server.FallTime, 0.01, 3600}, {"server.cold_time", w.Server.ColdTime, 0, 3600},
		{"server.apply_ms", w.Server.ApplyMS, 0, 1e4}, {"server.idle_ms", w.Server.IdleMS, 10, 1e9}} {
		if !(v.value >= v.least && v.value <= v.most) {
			return tables.Bad(v.key, "%v is not from %v to %v", v.value, v.least, v.most)
		}
	}
	for _, v := range []struct {
		key string
		r   Range
	}{{"server.ship_ms", w.Server.ShipMS}, {"server.give_up", w.Server.GiveUp}, {"server.take_over", w.Server.TakeOver},
		{"server.hand_over", w.Server.HandOver}, {"server.network_ms", w.Server.NetworkMS}, {"list.late_ms", w.List.LateMS}} {
		if !(v.r[0] >= 0 && v.r[1] >= v.r[0]) {
			return tables.Bad(v.key, "%v is no range", v.r)
		}
	}
	if w.Statements != "off" && w.Statements != "observe" && w.Statements != "enforce" {
		return tables.Bad("statements", "%q is none of off, observe, enforce", w.Statements)
	}
	if len(w.Families) == 0 {
		return tables.Bad("families", "there are none")
	}
	groups := map[int]bool{}
	for i, f := range w.Families {
		key := fmt.Sprintf("families[%d]", i)
		if groups[f.Group] {
			return tables.Bad(key+".group", "%d is another family's", f.Group)
		}
		if groups[f.Group] = true; f.Members < 1 || f.Members > 64 {
			return tables.Bad(key+".members", "%d is not from 1 to 64", f.Members)
		}
	}
	classes := map[string]bool{}
	for i, c := range w.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		switch {
		case c.Name == "" || classes[c.Name]:
			return tables.Bad(key+".name", "%q is empty or not the first of its name", c.Name)
		case c.Kind != "any" && c.Kind != "bounded" && c.Kind != "write":
			return tables.Bad(key+".kind", "%q is none of any, bounded, write", c.Kind)
		case !(c.WorkMS[0] >= 0 && c.WorkMS[1] >= c.WorkMS[0]):
			return tables.Bad(key+".work_ms", "%v is no range", c.WorkMS)
		case !(c.AimMS > 0 && c.DeadlineMS >= c.AimMS):
			return tables.Bad(key+".deadline_ms", "%v is under the aim, %v, or that is not above 0", c.DeadlineMS, c.AimMS)
		case c.Kind == "bounded" && !(c.MaxAgeMS > 0):
			return tables.Bad(key+".max_age_ms", "%v is not above 0", c.MaxAgeMS)
		}
		classes[c.Name] = true
	}
	for i, l := range w.Loads {
		key := fmt.Sprintf("loads[%d]", i)
		switch {
		case !classes[l.Class]:
			return tables.Bad(key+".class", "no class is named %q", l.Class)
		case !(l.Rate > 0 && l.Rate <= 1e5):
			return tables.Bad(key+".rate", "%v is not above 0 and up to 100000", l.Rate)
		case l.From < 0 || l.To != 0 && l.To <= l.From:
			return tables.Bad(key+".to", "%v is not behind %v", l.To, l.From)
		case l.Mislabel < 0 || l.Mislabel > 1:
			return tables.Bad(key+".mislabel", "%v is no share", l.Mislabel)
		}
	}
	for i, f := range w.Faults {
		key := fmt.Sprintf("faults[%d]", i)
		what, known := kinds[f.Kind]
		switch {
		case !known:
			return tables.Bad(key+".kind", "%q is no fault", f.Kind)
		case f.At < 0 || f.For < 0:
			return tables.Bad(key+".at", "%v for %v lies before the beginning", f.At, f.For)
		case what == "database" && w.databases(f.Target) == 0:
			return tables.Bad(key+".target", "%q is no database", f.Target)
		case what == "link" && !w.Fleet.Enabled:
			return tables.Bad(key+".kind", "%q: the poolers do not talk, fleet.enabled is false", f.Kind)
		case what == "link" && w.Links(f.Target) == nil:
			return tables.Bad(key+".target", "%q is neither a pooler nor two, as in \"pooler-0 pooler-1\" or \"pooler-0 > pooler-1\"", f.Target)
		case f.Kind == "loss" && !(f.Factor > 0 && f.Factor <= 1):
			return tables.Bad(key+".factor", "%v is no share above 0", f.Factor)
		case what == "pooler" && !w.pooler(f.Target):
			return tables.Bad(key+".target", "%q is no pooler", f.Target)
		case (f.Kind == "slow" || f.Kind == "lag") && !(f.Factor > 0):
			return tables.Bad(key+".factor", "%v is not above 0", f.Factor)
		}
	}
	for what, shares := range map[string]map[string]float64{"in_time": w.Expect.InTime, "served": w.Expect.Served} {
		for class := range shares {
			if !classes[class] {
				return tables.Bad("expect."+what+"."+class, "no class has this name")
			}
		}
	}
	return nil
}

// DatabaseName is the name of a family's member.
func DatabaseName(group, member int) string { return fmt.Sprintf("g%d-%d", group, member) }

// databases is how many databases a target names.
func (w *Scenario) databases(target string) int {
	for _, f := range w.Families {
		if target == fmt.Sprintf("primary-%d", f.Group) {
			return 1
		}
		for i := range f.Members {
			if target == DatabaseName(f.Group, i) {
				return 1
			}
		}
	}
	return 0
}

func (w *Scenario) pooler(target string) bool {
	for i := range w.Poolers {
		if target == PoolerName(i) {
			return true
		}
	}
	return false
}

// PoolerName is the name of a pooler.
func PoolerName(i int) string { return fmt.Sprintf("pooler-%d", i) }

// Links are the links between poolers that a target names, each one way: between one and all others, between two, or with ">" from
// the one to the other alone. Nil: it names none.
func (w *Scenario) Links(target string) (links [][2]string) {
	one, other, way := strings.Cut(target, ">")
	if !way {
		one, other, _ = strings.Cut(target, " ")
	}
	one, other = strings.TrimSpace(one), strings.TrimSpace(other)
	if !w.pooler(one) || other != "" && (!w.pooler(other) || other == one) || way && other == "" {
		return nil
	}
	for i := range w.Poolers {
		name := PoolerName(i)
		if name == one || other != "" && name != other {
			continue
		}
		if links = append(links, [2]string{one, name}); !way {
			links = append(links, [2]string{name, one})
		}
	}
	return links
}

// Class returns a class by its name.
func (w *Scenario) Class(name string) *Class {
	for i := range w.Classes {
		if w.Classes[i].Name == name {
			return &w.Classes[i]
		}
	}
	return nil
}

// Zones are all zones, in the order in which they are named.
func (w *Scenario) Zones() (zones []string) {
	seen := map[string]bool{}
	for _, f := range w.Families {
		for i := range f.Members {
			if z := f.Zone(i); !seen[z] {
				seen[z] = true
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// Zone is where a member stands.
func (f *Family) Zone(member int) string {
	if len(f.Zones) == 0 {
		return "a"
	}
	return f.Zones[member%len(f.Zones)]
}

// Seconds turns seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis turns milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
