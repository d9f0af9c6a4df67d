// Package maintenance decides the order in which machines are taken out of service for maintenance, and moves each
// machine through the states of its maintenance. It is pure: no clock, goroutine or I/O. The agreed state is stored in
// a replicated record. Callers pass in the record as a value and write the changes that the package proposes.
package maintenance

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of a machine.
type Kind uint8

// The kinds of machines.
const (
	Database Kind = iota
	Pooler
)

// Machine is the state of a machine that may be taken out of service, as enough poolers see it now.
type Machine struct {
	Name        string  `json:"name"`
	Kind        Kind    `json:"kind"`
	Group       int     `json:"group"` // of a database
	Zone        string  `json:"zone,omitempty"`
	Size        float64 `json:"size"` // capacity when warm, in the unit of the load
	Up          bool    `json:"up"`   // seen healthy
	Warm        bool    `json:"warm"`
	Fresh       bool    `json:"fresh,omitempty"`   // a replica that keeps up: it can serve all classes and take over
	Primary     bool    `json:"primary,omitempty"` // a database that is the primary of its group
	Leads       bool    `json:"leads,omitempty"`   // a pooler that is the record's leader
	Unreachable bool    `json:"cut,omitempty"`     // its zone cannot be reached: observations of it mean nothing
	Incarnation uint64  `json:"life,omitempty"`    // of a pooler: its present incarnation
}

// ready reports whether the machine is up, reachable and warm and, if it is a replica, keeps up.
func (m *Machine) ready() bool {
	return m.Up && m.Warm && !m.Unreachable && (m.Kind == Pooler || m.Primary || m.Fresh)
}

// PlanSpec is the specification of a plan, as operators write it.
type PlanSpec struct {
	// Machines are in the operators' order, which decides only between machines that no other rule orders.
	Machines []string `toml:"machines" json:"machines"`
	// PerGroup, PerZone and InAll limit how many machines of one kind are out of service at once, including machines
	// that failed; 0: one.
	PerGroup int `toml:"per_group" json:"per_group,omitempty"`
	PerZone  int `toml:"per_zone" json:"per_zone,omitempty"`
	InAll    int `toml:"in_all" json:"in_all,omitempty"`
	// Margin is the share of the remaining capacity that must stay free, such as 0.2.
	Margin float64 `toml:"margin" json:"margin,omitempty"`
	// Fresh is the minimum number of replicas that keep up in each group while a machine is out.
	Fresh int `toml:"fresh" json:"fresh,omitempty"`
	// Capacity is how many requests per second one database can serve; 0: the load is ignored.
	Capacity float64 `toml:"bears" json:"bears,omitempty"`
	// Until is the time after which no further machine is taken; zero: no end.
	Until time.Time `toml:"until" json:"until,omitzero"`
	// IgnoreUnreachable lets the plan continue without poolers that do not report, once their lease must have expired.
	IgnoreUnreachable bool `toml:"go_on" json:"go_on,omitempty"`
}

// Check validates a specification; the error names the key. known has the machines that exist; nil: names are not
// checked.
func (s PlanSpec) Check(known map[string]*Machine) error {
	if err := s.checkMachines(known); err != nil {
		return err
	}
	for _, count := range []struct {
		key   string
		value int
	}{
		{"per_group", s.PerGroup},
		{"per_zone", s.PerZone},
		{"in_all", s.InAll},
		{"fresh", s.Fresh},
	} {
		if count.value < 0 {
			return fmt.Errorf("%s: %d is under 0", count.key, count.value)
		}
	}
	if !(s.Capacity >= 0) { // negated, so that NaN fails too
		return fmt.Errorf("bears: %v is under 0", s.Capacity)
	}
	if !(s.Margin >= 0 && s.Margin < 1) {
		return fmt.Errorf("margin: %v is no share under 1", s.Margin)
	}
	return nil
}

// checkMachines rejects an empty list, and machines that are unknown or listed twice.
func (s PlanSpec) checkMachines(known map[string]*Machine) error {
	listed := map[string]bool{}
	for i, name := range s.Machines {
		if known != nil && known[name] == nil {
			return fmt.Errorf("machines[%d]: nobody is named %q", i, name)
		}
		if listed[name] {
			return fmt.Errorf("machines[%d]: %q is there twice", i, name)
		}
		listed[name] = true
	}
	if len(s.Machines) == 0 {
		return errors.New("machines: there are none")
	}
	return nil
}

// Snapshot is the observed state of all machines at one moment.
type Snapshot struct {
	Machines map[string]*Machine `json:"machines"`
	// Load is the expected load of each group during the maintenance. It is not less than the present load.
	Load map[int]float64 `json:"load"`
}
