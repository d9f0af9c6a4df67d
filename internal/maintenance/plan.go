// Package maintenance decides in what order machines are taken out for work, and takes each through its course. It is pure: no clock,
// goroutine or I/O. What is agreed stands in a record elsewhere; here it is a value that is handed in and returned.
package maintenance

import (
	"fmt"
	"time"
)

// Kind is what a machine is.
type Kind uint8

const (
	Database Kind = iota
	Pooler
)

// Machine is one that may be taken out, as it is seen now by enough poolers.
type Machine struct {
	Name        string  `json:"name"`
	Kind        Kind    `json:"kind"`
	Group       int     `json:"group"` // of a database
	Zone        string  `json:"zone,omitempty"`
	Size        float64 `json:"size"` // what it can do when warm, in the unit of the load
	Up          bool    `json:"up"`   // it is seen well
	Warm        bool    `json:"warm"`
	Fresh       bool    `json:"fresh,omitempty"`   // a replica: near enough to its primary to serve every class, and to take over
	Primary     bool    `json:"primary,omitempty"` // of a database
	Leads       bool    `json:"leads,omitempty"`   // of a pooler: the record's leader
	Unreachable bool    `json:"cut,omitempty"`     // its zone cannot be reached: what is seen of it says nothing
	Incarnation uint64  `json:"life,omitempty"`    // of a pooler: its present incarnation
}

// ready tells whether the machine does all that it is there for.
func (m *Machine) ready() bool {
	return m.Up && m.Warm && !m.Unreachable && (m.Kind == Pooler || m.Primary || m.Fresh)
}

// PlanSpec is what operators hand in.
type PlanSpec struct {
	Machines []string `toml:"machines" json:"machines"` // in the order in which they would have them, all else being equal
	// Most are out at once of each kind, those that died by themselves among them; 0: one.
	PerGroup          int       `toml:"per_group" json:"per_group,omitempty"`
	PerZone           int       `toml:"per_zone" json:"per_zone,omitempty"`
	InAll             int       `toml:"in_all" json:"in_all,omitempty"`
	Margin            float64   `toml:"margin" json:"margin,omitempty"` // share of what is left that must stay free, such as 0.2
	Fresh             int       `toml:"fresh" json:"fresh,omitempty"`   // replicas that keep up and are left in each group, at the least
	Capacity          float64   `toml:"bears" json:"bears,omitempty"`   // requests a second that one database can do; 0: load is not looked at
	Until             time.Time `toml:"until" json:"until,omitzero"`    // nothing further is taken after this; zero: no end
	IgnoreUnreachable bool      `toml:"go_on" json:"go_on,omitempty"`   // without poolers that are not heard, once their lease must have run out
}

// Check finds what is wrong with a wish. Known are the machines that there are; nil: that is not looked at.
func (w PlanSpec) Check(known map[string]*Machine) error {
	seen := map[string]bool{}
	for i, name := range w.Machines {
		if known != nil && known[name] == nil {
			return fmt.Errorf("machines[%d]: nobody is named %q", i, name)
		}
		if seen[name] {
			return fmt.Errorf("machines[%d]: %q is there twice", i, name)
		}
		seen[name] = true
	}
	if len(w.Machines) == 0 {
		return fmt.Errorf("machines: there are none")
	}
	for key, n := range map[string]int{"per_group": w.PerGroup, "per_zone": w.PerZone, "in_all": w.InAll, "fresh": w.Fresh} {
		if n < 0 {
			return fmt.Errorf("%s: %d is under 0", key, n)
		}
	}
	if !(w.Capacity >= 0) {
		return fmt.Errorf("bears: %v is under 0", w.Capacity)
	}
	if !(w.Margin >= 0 && w.Margin < 1) {
		return fmt.Errorf("margin: %v is no share under 1", w.Margin)
	}
	return nil
}

// Snapshot is what is known now.
type Snapshot struct {
	Machines map[string]*Machine `json:"machines"`
	Load     map[int]float64     `json:"load"` // of each group: what is expected for the time of the work, at the least what is asked now
}
