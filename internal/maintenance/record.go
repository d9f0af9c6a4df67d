package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Keys of the record. What poolers have to follow stands under one name.
const (
	FollowedPrefix = "works/now/" // all that poolers follow
	KeyPrefix      = "works/"
	keyPlan        = FollowedPrefix + "plan"
	keyStep        = FollowedPrefix + "step/" // of each machine
	keyStatus      = "works/said/"            // of each pooler
	keyHistory     = "works/history"

	machinesMost = 400 // of a plan: the record has room for so many steps
	historyMost  = 200 // entries that are kept
)

// StatusKey is where a pooler's word stands.
func StatusKey(pooler string) string { return keyStatus + pooler }

// Plan is what operators have handed in, as it stands in the record.
type Plan struct {
	ID       string    `json:"id"`   // of the request that handed it in
	Spec     PlanSpec  `json:"wish"` // its machines in the order of the dry run
	State    PlanState `json:"state"`
	Why      string    `json:"why,omitempty"` // of the state
	Number   uint64    `json:"number"`        // the last that was given to a try, or to a hand-over, over all plans
	HandOver *HandOver `json:"hand_over,omitempty"`
}

// HandOver is one from a primary that is next to a replica, under way.
type HandOver struct {
	From       string   `json:"from"`
	To         string   `json:"to"`
	Number     uint64   `json:"number"`
	HookCalls  int      `json:"hooks,omitempty"` // how often the hook has been called
	HookCaller Instance `json:"by,omitzero"`     // who called it last; the zero value: nobody yet, or a person does it
}

// calledBy returns the hand-over after one more call of the hook.
func (h HandOver) calledBy(caller Instance) HandOver {
	h.HookCalls++
	h.HookCaller = caller
	return h
}

// PlanState is how far a plan is.
type PlanState string

const (
	Running  PlanState = "running"
	Paused   PlanState = "paused"   // nothing further is taken; what is out comes back
	Aborting PlanState = "aborting" // what is not at work yet is put back
	Finished PlanState = "over"
)

// Active tells whether there is a plan that is not over.
func (p Plan) Active() bool { return p.ID != "" && p.State != Finished }

// PoolerStatus is what a pooler says of itself in the record. It stands there until the pooler leaves: one that is not heard is known by it.
type PoolerStatus struct {
	Incarnation uint64            `json:"incarnation"`
	Plan        string            `json:"plan"`     // the last that it has read
	LeaseMS     int64             `json:"lease_ms"` // its own
	Stopped     map[string]uint64 `json:"stopped,omitempty"`
}

// HistoryEntry is a line of the history.
type HistoryEntry struct {
	At      int64  `json:"at_ms"` // Unix, on the clock of who wrote it
	By      string `json:"by"`
	Machine string `json:"machine,omitempty"`
	Number  uint64 `json:"number,omitempty"`
	Text    string `json:"what"`
}

// Record is what is agreed, as read at one moment.
type Record struct {
	Plan     Plan
	Steps    map[string]Step
	Statuses map[string]PoolerStatus
	History  []HistoryEntry

	revisions map[string]uint64
}

// Parse reads values of the record: the plan and its steps, and what else of the works is among them. A value that cannot be read
// is an error, as of another version.
func Parse(values map[string]json.RawMessage, revisions map[string]uint64) (r Record, err error) {
	r = Record{Steps: map[string]Step{}, Statuses: map[string]PoolerStatus{}, revisions: revisions}
	for key, text := range values {
		var e error
		switch {
		case key == keyPlan:
			e = json.Unmarshal(text, &r.Plan)
		case key == keyHistory:
			e = json.Unmarshal(text, &r.History)
		case strings.HasPrefix(key, keyStep):
			var s Step
			e = json.Unmarshal(text, &s)
			r.Steps[strings.TrimPrefix(key, keyStep)] = s
		case strings.HasPrefix(key, keyStatus):
			var w PoolerStatus
			e = json.Unmarshal(text, &w)
			r.Statuses[strings.TrimPrefix(key, keyStatus)] = w
		}
		if e != nil {
			return r, fmt.Errorf("%s: %w", key, e)
		}
	}
	return r, nil
}

// PlanSteps are the steps of the plan, in its order.
func (r Record) PlanSteps() (steps []Step) {
	for _, name := range r.Plan.Spec.Machines {
		steps = append(steps, r.step(name))
	}
	return steps
}

func (r Record) step(name string) Step {
	s, known := r.Steps[name]
	if !known {
		s = Step{Machine: name}
	}
	return s
}

// States is how far each machine is.
func (r Record) States() map[string]State {
	at := map[string]State{}
	for _, s := range r.PlanSteps() {
		at[s.Machine] = s.State
	}
	return at
}
