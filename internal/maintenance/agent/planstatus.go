package agent

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"capercove/internal/maintenance"
)

// Status is the output of the command status: the plan as a majority has stored it. If the record cannot be read, it is
// the plan as the queried pooler has read it last.
type Status struct {
	Agreed bool               `json:"agreed"`        // a majority has returned the record
	Why    string             `json:"why,omitempty"` // why the record could not be read
	Plan   maintenance.Plan   `json:"plan"`
	Steps  []maintenance.Step `json:"steps"`
	// WaitReasons holds why each waiting machine waits.
	WaitReasons map[string]string `json:"waits"`
	// MissingReports lists the poolers that have not reported that they stopped sending to a draining machine.
	MissingReports []string `json:"missed,omitempty"`
	Pooler         Overview `json:"pooler"`
}

// readStatus reads the present state of the plan.
func (o *operator) readStatus() Status {
	record, err := o.readRecord()
	status := Status{Agreed: err == nil, Plan: record.Plan, Steps: record.PlanSteps(), Pooler: o.overview}
	if err != nil {
		status.Why, status.Plan, status.Steps = err.Error(), o.overview.Plan, o.overview.Steps
	}
	states := map[string]maintenance.State{}
	for _, step := range status.Steps {
		states[step.Machine] = step.State
	}
	status.MissingReports = missingReports(status.Steps, record.Statuses)
	decision := maintenance.Decide(status.Plan.Spec, states, o.overview.Snapshot)
	status.WaitReasons = decision.Reasons
	if decision.PutBack != "" {
		status.WaitReasons[decision.PutBack] = "put back, as its group has become too small"
	}
	return status
}

// missingReports returns the poolers that have not reported that they stopped sending to a draining machine.
func missingReports(steps []maintenance.Step, statuses map[string]maintenance.PoolerStatus) (missed []string) {
	for _, step := range steps {
		if step.State != maintenance.Draining {
			continue
		}
		for name, status := range statuses {
			if step.Stopped[name] < status.Incarnation && !slices.Contains(missed, name) {
				missed = append(missed, name)
			}
		}
	}
	slices.Sort(missed)
	return missed
}

// status prints the state of the plan. With watch, it prints each change until the plan has finished. It returns the
// exit status: 1 if the plan makes no progress, because it is paused or no majority answers, and 0 otherwise.
func (o *operator) status(asJSON, watch bool) int {
	for last := ""; ; time.Sleep(watchInterval) {
		status := o.readStatus()
		if text := status.text(asJSON); text != last {
			o.print(text)
			last = text
		}
		over := !status.Plan.Active() && status.Agreed
		if !watch || over {
			if status.Agreed && status.Plan.State != maintenance.Paused {
				return exitSuccess
			}
			return exitNotPossible
		}
		if err := o.readOverview(status.Plan.Spec.Capacity); err != nil {
			o.println(err)
		}
	}
}

// text returns the status as JSON, or as text for people.
func (s Status) text(asJSON bool) string {
	var text strings.Builder
	if asJSON {
		_ = json.NewEncoder(&text).Encode(s) // an error leaves the text empty
	} else {
		s.print(&text)
	}
	return text.String()
}
