package agent

import (
	"time"

	"capercove/internal/maintenance"
)

// Overview is one pooler's view of the maintenance, for operators.
type Overview struct {
	Name  string `json:"name"`
	Leads bool   `json:"leads"` // the pooler leads the record
	// Record holds the API addresses of the poolers that store the record.
	Record []string `json:"record"`
	// Revision is the revision of the record that this pooler has read.
	Revision uint64 `json:"revision"`
	// LeaseLeftMS is the time until the lease expires; below 0: it has expired.
	LeaseLeftMS int64 `json:"lapses_ms"`
	// DecodeError is why the record cannot be decoded; empty: it can.
	DecodeError string `json:"broken,omitempty"`
	// Blocked lists the databases that are blocked.
	Blocked []string `json:"off,omitempty"`
	// InFlight holds the number of requests in flight to each draining database.
	InFlight map[string]int `json:"out,omitempty"`
	// Blind counts the requests sent to databases that could be in maintenance, because no other database was left.
	Blind int64 `json:"blind"`
	// Plan and Steps are the values that this pooler has read last.
	Plan     maintenance.Plan     `json:"plan"`
	Steps    []maintenance.Step   `json:"steps"`
	Snapshot maintenance.Snapshot `json:"look"`
}

// Overview returns this pooler's view of the maintenance. capacity is how many requests per second one database can
// serve; 0: the load is ignored. Overview also probes databases without recent evidence, for later overviews.
func (a *Agent) Overview(capacity float64) Overview {
	observation := a.observe(capacity)
	now := a.pooler.Clock()
	a.probeSilent(observation, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	overview := a.overview
	overview.Name = a.pooler.Name
	overview.Leads = a.pooler.Store != nil && a.pooler.Store.Leads()
	overview.Record = a.pooler.Client.At()
	overview.Revision = a.revision
	overview.LeaseLeftMS = (a.follower.LeaseEnd() - now).Milliseconds()
	overview.DecodeError = a.decodeError
	overview.Blind = a.pooler.Core.Figures().Blind
	overview.Plan = a.record.Plan
	overview.Steps = a.record.PlanSteps()
	overview.Snapshot = observation.Snapshot
	return overview
}

// probeSilent probes the databases whose evidence will soon be too old.
func (a *Agent) probeSilent(observation maintenance.Observation, now time.Duration) {
	var silent []string
	for name, heardAt := range observation.Heard {
		if now-heardAt > maxEvidenceAge/3 {
			silent = append(silent, name)
		}
	}
	a.probe(silent)
}
