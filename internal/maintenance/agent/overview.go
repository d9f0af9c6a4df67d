package agent

import (
	"capercove/internal/maintenance"
)

// Overview is what operators see of a pooler's part.
type Overview struct {
	Name     string               `json:"name"`
	Leads    bool                 `json:"leads"`            // the record
	Record   []string             `json:"record"`           // where it is called
	Revision uint64               `json:"revision"`         // of what this pooler has read
	Lapses   int64                `json:"lapses_ms"`        // until the lease runs out; under 0: it has
	Broken   string               `json:"broken,omitempty"` // why the record cannot be read
	Off      []string             `json:"off,omitempty"`    // databases to which it sends nothing new
	Out      map[string]int       `json:"out,omitempty"`    // requests that are out where it is to stop
	Blind    int64                `json:"blind"`            // requests sent to what could be at work, as nothing else was left
	Plan     maintenance.Plan     `json:"plan"`             // as this pooler has it, as the next
	Steps    []maintenance.Step   `json:"steps"`
	Look     maintenance.Snapshot `json:"look"`
}

// Overview is what this pooler sees and has read. It asks databases of which nothing has been heard of late, so that a later look has
// more to see.
func (d *Agent) Overview(bears float64) Overview {
	seen := d.see(bears)
	now := d.pooler.Clock()
	var ask []string
	for name, at := range seen.Heard {
		if now-at > heardLately/3 {
			ask = append(ask, name)
		}
	}
	d.ask(ask)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shown
	s.Name, s.Leads, s.Record = d.pooler.Name, d.pooler.Store != nil && d.pooler.Store.Leads(), d.pooler.Client.At()
	s.Revision, s.Lapses, s.Broken, s.Blind = d.at, (d.reader.LeaseEnd() - now).Milliseconds(), d.broken, d.pooler.Core.Figures().Blind
	s.Plan, s.Steps, s.Look = d.record.Plan, d.record.PlanSteps(), seen.Snapshot
	return s
}
