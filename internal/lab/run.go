// Package lab runs scenarios, with real poolers on loopback addresses or in the model. It writes results as tables
// and charts, and compares two builds or two settings by paired runs.
package lab

import (
	"time"

	"capercove/internal/emulator"
	"capercove/internal/load"
	"capercove/internal/model"
	"capercove/internal/scenario"
)

// Kind is how a scenario was run.
type Kind uint8

// The kinds of runs.
const (
	RealRun  Kind = iota // with processes and sockets
	ModelRun             // in virtual time
)

// String returns the word that reports have for the kind.
func (kind Kind) String() string { return [...]string{"real", "model"}[kind] }

// Run is the result of running a scenario once.
type Run struct {
	Scenario *scenario.Scenario
	Kind     Kind
	Result   load.Result
	Ledger   *emulator.Ledger
	Events   []emulator.Event
	Unmet    []string      // expectations that were not met and rules that were broken
	Invalid  string        // why the run says nothing about the pooler; empty if it is valid
	Usage    []Usage       // by pooler; of real runs only
	Duration time.Duration // in real time
}

// Usage is what a pooler has used of the machine.
type Usage struct {
	CPU      time.Duration // of all its processes
	MemoryMB float64       // of the latest process, at the end
}

// Model runs a scenario in virtual time.
func Model(described *scenario.Scenario) (*Run, error) {
	start := time.Now()
	driver, fleet, err := model.Run(described)
	if err != nil {
		return nil, err
	}
	return &Run{
		Scenario: described,
		Kind:     ModelRun,
		Result:   driver.Result,
		Ledger:   fleet.Ledger,
		Events:   fleet.Events,
		Unmet:    driver.Result.Unmet(described, fleet.Ledger),
		Duration: time.Since(start),
	}, nil
}
