// Package scenario describes an experiment: the databases, the request classes, the load, and the faults with their
// times. One description serves the emulated fleet on sockets and the model in virtual time.
package scenario

import (
	"fmt"

	"capercove/internal/membership"
)

// Scenario is a scenario file. Times are in seconds unless the key or the field says milliseconds.
type Scenario struct {
	Base            string  `toml:"base"` // a file in the same folder whose values are the defaults of this one
	Name            string  `toml:"name"`
	Purpose         string  `toml:"for"`
	ExpectedOutcome string  `toml:"shows"` // what a run has to show, in words
	Seed            uint64  `toml:"seed"`
	Seconds         float64 `toml:"seconds"` // how long load is sent
	Warmup          float64 `toml:"warm"`    // the first part of Seconds, which does not count
	Poolers         int     `toml:"poolers"`

	Admission  bool          `toml:"door"` // admission control is on
	Statements StatementMode `toml:"statements"`
	Fleet      Fleet         `toml:"fleet"`

	Server   Server       `toml:"server"`
	Families []Family     `toml:"families"`
	Classes  []Class      `toml:"classes"`
	Loads    []Load       `toml:"loads"`
	Faults   []Fault      `toml:"faults"`
	List     List         `toml:"list"`
	Expect   Expectations `toml:"expect"`
}

// StatementMode is what poolers do with what they find in statements.
type StatementMode string

// The statement modes.
const (
	StatementsOff     StatementMode = "off"
	StatementsObserve StatementMode = "observe" // analyse and count only
	StatementsEnforce StatementMode = "enforce" // route by the analysis
)

// Server holds the properties that all databases share.
type Server struct {
	Cores       int     `toml:"cores"`
	Queue       int     `toml:"queue"`        // maximum number of waiting requests; more are rejected
	Thrash      float64 `toml:"thrash"`       // share of its speed that a database with a full queue loses
	Connections int     `toml:"connections"`  // maximum number of open connections; more are rejected
	HandshakeMS float64 `toml:"handshake_ms"` // work of a new connection
	IdleMS      float64 `toml:"idle_ms"`      // idle timeout of a connection
	ProbeMS     float64 `toml:"probe_ms"`     // work of a health check
	ReportMS    float64 `toml:"report_ms"`    // maximum age of a load report
	ShipMS      Range   `toml:"ship_ms"`      // delay until a replica has received a commit
	ApplyMS     float64 `toml:"apply_ms"`     // work of applying a commit
	ColdShare   float64 `toml:"cold_share"`   // share of its speed that a database starts with
	ColdTime    float64 `toml:"cold_time"`    // duration of the warm-up
	FallOver    float64 `toml:"fall_over"`    // multiple of its capacity that, for FallTime, crashes one that warms up
	FallTime    float64 `toml:"fall_time"`
	GiveUp      Range   `toml:"give_up"`   // delay until a silent primary is considered dead
	TakeOver    Range   `toml:"take_over"` // delay from then until a replica is the primary
	HandOver    Range   `toml:"hand_over"` // delay until a draining primary has handed over

	NetworkDelayMS Range `toml:"network_ms"` // one way; used by the model only, since sockets have their own
}

// Fleet is the part of table [fleet] of the operators' file that a scenario sets. The model ignores it: its poolers
// do not exchange anything.
type Fleet struct {
	Enabled bool    `toml:"enabled"`
	Slower  float64 `toml:"slower"` // factor on the times of the exchange
	membership.Uses
}

// Range is an interval, [least, most], whose values are drawn with equal probability.
type Range [2]float64

// valid reports whether the range is one of values from 0.
func (r Range) valid() bool { return r[0] >= 0 && r[1] >= r[0] }

// Greatest returns the greatest value.
func (r Range) Greatest() float64 { return r[1] }

// Interpolate returns the value at a share, from 0 for the least value to 1 for the greatest.
func (r Range) Interpolate(share float64) float64 { return r[0] + (r[1]-r[0])*share }

// Family is a primary with its replicas.
type Family struct {
	Group   int      `toml:"group"`
	Members int      `toml:"members"` // the first one starts as the primary
	Zones   []string `toml:"zones"`   // assigned to the members round-robin
}

// defaultZone is the zone of the members of a family that names none.
const defaultZone = "a"

// Zone returns the zone of a member, which is numbered from 0.
func (family *Family) Zone(member int) string {
	if len(family.Zones) == 0 {
		return defaultZone
	}
	return family.Zones[member%len(family.Zones)]
}

// Class is a class of requests.
type Class struct {
	Name       string    `toml:"name"`
	Kind       ClassKind `toml:"kind"`
	WorkMS     Range     `toml:"work_ms"`
	AimMS      float64   `toml:"aim_ms"` // latency objective
	DeadlineMS float64   `toml:"deadline_ms"`
	MaxAgeMS   float64   `toml:"max_age_ms"` // of the data that a bounded read may return
	Weight     float64   `toml:"worth"`
	LateWeight float64   `toml:"late"`   // share of Weight that an answer after the objective earns
	Blocks     bool      `toml:"blocks"` // a replica applies nothing while it works on such a request
}

// ClassKind is what the requests of a class need from the database.
type ClassKind string

// The kinds of classes.
const (
	ReadAny     ClassKind = "any"     // any database may answer, however old its data
	ReadBounded ClassKind = "bounded" // its data may be as old as MaxAgeMS
	Write       ClassKind = "write"
)

// Load is a stream of requests in an open loop: they are sent at their times, whether or not earlier ones were
// answered.
type Load struct {
	Tenant          string  `toml:"tenant"`
	Class           string  `toml:"class"`
	Rate            float64 `toml:"rate"`      // requests per second
	From            float64 `toml:"from"`      // seconds after the beginning
	To              float64 `toml:"to"`        // seconds after the beginning; 0: the end
	Keys            int     `toml:"members"`   // number of distinct keys; 0: each request has its own
	Retries         int     `toml:"retries"`   // of rejected requests
	HonorRetryAfter bool    `toml:"heed"`      // clients wait as long as the rejection's Retry-After tells, if it does
	RetryMS         float64 `toml:"retry_ms"`  // how long they wait otherwise
	Mislabel        float64 `toml:"mislabel"`  // share of reads that call a function which writes
	SlowRead        bool    `toml:"slow_read"` // clients read their answers slowly
}

// List describes how poolers learn of changes to the list of databases.
type List struct {
	LateMS Range `toml:"late_ms"` // delay of a change
}

// Expectations are the least shares, from 0 to 1, that a run has to reach. That no rule is broken is always expected.
type Expectations struct {
	InTime       map[string]float64 `toml:"in_time"` // requests of a class answered within the latency objective
	Served       map[string]float64 `toml:"served"`  // requests of a class answered at all
	TenantInTime map[string]float64 `toml:"tenant"`  // requests of a tenant answered within their latency objectives
}

// Defaults returns the values of the keys that a file lacks.
func Defaults() Scenario {
	return Scenario{
		Seed:       1,
		Seconds:    20,
		Warmup:     2,
		Poolers:    1,
		Statements: StatementsOff,
		Server: Server{
			Cores:          3,
			Queue:          200,
			Thrash:         0.5,
			Connections:    200,
			HandshakeMS:    1,
			IdleMS:         15000,
			ProbeMS:        0.3,
			ReportMS:       150,
			ShipMS:         Range{3, 15},
			ApplyMS:        2,
			ColdShare:      0.16,
			ColdTime:       18,
			FallOver:       2.5,
			FallTime:       2,
			GiveUp:         Range{1, 3},
			TakeOver:       Range{1, 3.5},
			HandOver:       Range{0.47, 0.94},
			NetworkDelayMS: Range{0.2, 0.4},
		},
		List: List{LateMS: Range{200, 1500}},
	}
}

// Class returns the class of a name, nil if there is none.
func (scenario *Scenario) Class(name string) *Class {
	for i := range scenario.Classes {
		if scenario.Classes[i].Name == name {
			return &scenario.Classes[i]
		}
	}
	return nil
}

// Zones returns the zones of all databases, each once, in the order in which the file names them.
func (scenario *Scenario) Zones() (zones []string) {
	seen := map[string]bool{}
	for _, family := range scenario.Families {
		for i := range family.Members {
			if zone := family.Zone(i); !seen[zone] {
				seen[zone] = true
				zones = append(zones, zone)
			}
		}
	}
	return zones
}

// DatabaseName returns the name of a member, numbered from 0, of the family of a group.
func DatabaseName(group, member int) string { return fmt.Sprintf("g%d-%d", group, member) }

// PrimaryName returns the name that stands for whichever database of a group is the primary.
func PrimaryName(group int) string { return fmt.Sprintf("primary-%d", group) }

// PoolerName returns the name of a pooler, numbered from 0.
func PoolerName(number int) string { return fmt.Sprintf("pooler-%d", number) }
