package scenario

import "strings"

// Fault is a fault that is injected at a time after the beginning.
type Fault struct {
	At   float64   `toml:"at"`
	For  float64   `toml:"for"` // duration; 0: a fault of a database or zone does not end
	Kind FaultKind `toml:"kind"`
	// Target is a database as g1-0, primary-1 for the primary of that group, pooler-0, a zone, discovery, or links
	// between poolers in a form of Scenario.Links.
	Target string  `toml:"target"`
	Factor float64 `toml:"factor"` // of slow and lag: the slowdown; of spoil and loss: a share
	Bytes  int     `toml:"bytes"`  // of reset: the connection breaks after so many bytes of an answer
}

// FaultKind is what a fault does to its target.
type FaultKind string

// The kinds of faults.
const (
	FaultCrash     FaultKind = "crash"     // the database's process dies
	FaultHang      FaultKind = "hang"      // the database's process stands still
	FaultSlow      FaultKind = "slow"      // the database works more slowly
	FaultDrain     FaultKind = "drain"     // the database drains, and is then replaced by a cold start
	FaultLag       FaultKind = "lag"       // the database applies commits more slowly
	FaultSpoil     FaultKind = "spoil"     // the database corrupts answers
	FaultReset     FaultKind = "reset"     // the database breaks connections in the middle of an answer
	FaultUsurp     FaultKind = "usurp"     // the database takes itself for the primary
	FaultCut       FaultKind = "cut"       // the zone cannot reach other zones
	FaultDiscovery FaultKind = "discovery" // discovery fails
	FaultKill      FaultKind = "kill"      // the pooler gets SIGKILL, and is started again
	FaultRestart   FaultKind = "restart"   // the pooler gets SIGTERM, and is started again
	FaultStop      FaultKind = "stop"      // the pooler gets SIGSTOP, and SIGCONT later
	FaultPartition FaultKind = "part"      // the links between poolers carry nothing
	FaultLoss      FaultKind = "loss"      // the links between poolers lose datagrams
)

// targetKind is what a kind of fault is injected into.
type targetKind uint8

const (
	targetDatabase targetKind = iota
	targetZone
	targetDiscovery
	targetPooler
	targetLink
)

// String returns the word for messages.
func (kind targetKind) String() string {
	return [...]string{"database", "zone", "discovery", "pooler", "link"}[kind]
}

// targetKinds has an entry for each kind of fault.
var targetKinds = map[FaultKind]targetKind{
	FaultCrash:     targetDatabase,
	FaultHang:      targetDatabase,
	FaultSlow:      targetDatabase,
	FaultDrain:     targetDatabase,
	FaultLag:       targetDatabase,
	FaultSpoil:     targetDatabase,
	FaultReset:     targetDatabase,
	FaultUsurp:     targetDatabase,
	FaultCut:       targetZone,
	FaultDiscovery: targetDiscovery,
	FaultKill:      targetPooler,
	FaultRestart:   targetPooler,
	FaultStop:      targetPooler,
	FaultPartition: targetLink,
	FaultLoss:      targetLink,
}

// Link is one direction between two poolers, by their names.
type Link struct{ From, To string }

// oneWay separates the poolers of a target that names one direction.
const oneWay = ">"

// Links returns the links that a target names: with "A" those between pooler A and all others, with "A B" both
// directions between two, and with "A > B" the direction from A to B alone. It returns nil if the target has none of
// these forms.
func (scenario *Scenario) Links(target string) (links []Link) {
	from, to, isOneWay := strings.Cut(target, oneWay)
	if !isOneWay {
		from, to, _ = strings.Cut(target, " ")
	}
	from, to = strings.TrimSpace(from), strings.TrimSpace(to)
	toAll := to == ""
	switch {
	case !scenario.hasPooler(from):
		return nil
	case toAll && isOneWay:
		return nil
	case !toAll && (!scenario.hasPooler(to) || to == from):
		return nil
	}
	for i := range scenario.Poolers {
		other := PoolerName(i)
		if other == from || !toAll && other != to {
			continue
		}
		links = append(links, Link{From: from, To: other})
		if !isOneWay {
			links = append(links, Link{From: other, To: from})
		}
	}
	return links
}

// hasDatabase reports whether a target is the name of a database, or stands for a primary.
func (scenario *Scenario) hasDatabase(target string) bool {
	for _, family := range scenario.Families {
		if target == PrimaryName(family.Group) {
			return true
		}
		for i := range family.Members {
			if target == DatabaseName(family.Group, i) {
				return true
			}
		}
	}
	return false
}

// hasPooler reports whether a target is the name of a pooler.
func (scenario *Scenario) hasPooler(target string) bool {
	for i := range scenario.Poolers {
		if target == PoolerName(i) {
			return true
		}
	}
	return false
}
