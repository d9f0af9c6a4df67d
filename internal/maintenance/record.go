package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Keys of the record in the store. The keys that poolers have to follow share a prefix.
const (
	// KeyPrefix is the prefix of all keys of the record.
	KeyPrefix = "works/"
	// FollowedPrefix is the prefix of the keys that all poolers follow.
	FollowedPrefix = "works/now/"

	keyPlan         = FollowedPrefix + "plan"
	keyStepPrefix   = FollowedPrefix + "step/" // followed by the name of a machine
	keyStatusPrefix = "works/said/"            // followed by the name of a pooler
	keyHistory      = "works/history"
)

// maxHistory is how many of the newest history entries are stored.
const maxHistory = 200

// StatusKey returns the key of a pooler's status.
func StatusKey(pooler string) string { return keyStatusPrefix + pooler }

// Plan is a plan that operators have started, as stored in the record.
type Plan struct {
	ID       string    `json:"id"`   // of the request that started it
	Spec     PlanSpec  `json:"wish"` // with the machines in the order of the dry run
	State    PlanState `json:"state"`
	Reason   string    `json:"why,omitempty"` // the reason of the state
	Number   uint64    `json:"number"`        // last fencing number of an attempt or hand-over, across all plans
	HandOver *HandOver `json:"hand_over,omitempty"`
}

// HandOver is a hand-over in progress, to a replica from a primary that is taken next.
type HandOver struct {
	From       string   `json:"from"`
	To         string   `json:"to"`
	Number     uint64   `json:"number"`
	HookCalls  int      `json:"hooks,omitempty"` // how often the hook has been called
	HookCaller Instance `json:"by,omitzero"`     // the last caller; zero: not called yet, or a person hands over
}

// calledBy returns the hand-over after one more call of the hook.
func (h HandOver) calledBy(caller Instance) HandOver {
	h.HookCalls++
	h.HookCaller = caller
	return h
}

// PlanState is the state of a plan.
type PlanState string

// The states of a plan, with their texts in stored records.
const (
	Running  PlanState = "running"
	Paused   PlanState = "paused"   // no machine is taken and no hook begins work; work in progress ends as usual
	Aborting PlanState = "aborting" // machines whose work has not begun return to service
	Finished PlanState = "over"
)

// Active reports whether there is a plan that has not finished.
func (p Plan) Active() bool { return p.ID != "" && p.State != Finished }

// PoolerStatus is what a pooler reports about itself in the record. It is stored until the pooler leaves. Until then, a
// pooler that no longer reports is still known.
type PoolerStatus struct {
	Incarnation uint64            `json:"incarnation"`
	Plan        string            `json:"plan"`              // ID of the last plan that it has read
	LeaseMS     int64             `json:"lease_ms"`          // length of its lease
	Stopped     map[string]uint64 `json:"stopped,omitempty"` // numbers of attempts for which it has stopped, by machine
}

// HistoryEntry is one line of the history.
type HistoryEntry struct {
	At      int64  `json:"at_ms"` // Unix time in ms, on the clock of the author
	By      string `json:"by"`
	Machine string `json:"machine,omitempty"`
	Number  uint64 `json:"number,omitempty"`
	Text    string `json:"what"`
}

// Record is the agreed state of the maintenance, as read at one moment.
type Record struct {
	Plan     Plan
	Steps    map[string]Step
	Statuses map[string]PoolerStatus
	History  []HistoryEntry

	revisions map[string]uint64
}

// Parse decodes a record from its values and their revisions, by key. Other keys are skipped. A value that cannot be
// decoded, such as a value of another version, is an error that names the key. The record retains revisions.
func Parse(values map[string]json.RawMessage, revisions map[string]uint64) (Record, error) {
	record := Record{Steps: map[string]Step{}, Statuses: map[string]PoolerStatus{}, revisions: revisions}
	for key, text := range values {
		if err := record.parseValue(key, text); err != nil {
			return record, fmt.Errorf("%s: %w", key, err)
		}
	}
	return record, nil
}

// parseValue decodes the value of one key.
func (r *Record) parseValue(key string, text json.RawMessage) error {
	if name, found := strings.CutPrefix(key, keyStepPrefix); found {
		return parseInto(r.Steps, name, text)
	}
	if name, found := strings.CutPrefix(key, keyStatusPrefix); found {
		return parseInto(r.Statuses, name, text)
	}
	switch key {
	case keyPlan:
		return json.Unmarshal(text, &r.Plan)
	case keyHistory:
		return json.Unmarshal(text, &r.History)
	}
	return nil
}

// parseInto decodes a value into a map.
func parseInto[T any](values map[string]T, name string, text json.RawMessage) error {
	var value T
	err := json.Unmarshal(text, &value)
	values[name] = value
	return err
}

// PlanSteps returns the steps of the plan, in its order.
func (r Record) PlanSteps() (steps []Step) {
	for _, name := range r.Plan.Spec.Machines {
		steps = append(steps, r.step(name))
	}
	return steps
}

// step returns the step of a machine. A machine without a stored step is waiting.
func (r Record) step(name string) Step {
	step, known := r.Steps[name]
	if !known {
		step = Step{Machine: name}
	}
	return step
}

// States returns the state of each machine of the plan.
func (r Record) States() map[string]State {
	states := map[string]State{}
	for _, step := range r.PlanSteps() {
		states[step.Machine] = step.State
	}
	return states
}
