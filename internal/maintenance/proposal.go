package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Proposal are what is to be agreed on, if the record is still as it was read, and to be done once it is.
type Proposal struct {
	Plan    *Plan           // changed
	Steps   map[string]Step // changed
	Drop    []string        // machines whose steps are of a plan before
	Forget  []string        // poolers that left, or that operators know to be gone for good
	History []HistoryEntry
	Calls   []Call   // hooks
	Resign  bool     // another is to lead the record, as this pooler is next
	Probe   []string // databases of which nothing has been heard of late
}

// Change is the change of the record: what is set, what is deleted, and at which revisions the keys must still be. Nothing is to be
// changed where set and deleted are empty. The plan is always a condition: operators and leaders change it one after the other.
func (o *Proposal) Change(r Record) (on map[string]uint64, set map[string]json.RawMessage, deleted []string) {
	if o.Plan == nil && len(o.Steps)+len(o.Drop)+len(o.Forget) == 0 {
		return nil, nil, nil
	}
	on, set = map[string]uint64{keyPlan: r.revisions[keyPlan]}, map[string]json.RawMessage{}
	put := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err) // a fault of this program: there is nothing in it that cannot be written
		}
		on[key], set[key] = r.revisions[key], text
	}
	if o.Plan != nil {
		put(keyPlan, o.Plan)
	}
	for name, s := range o.Steps {
		put(keyStep+name, s)
	}
	for _, name := range o.Drop {
		on[keyStep+name] = r.revisions[keyStep+name]
		deleted = append(deleted, keyStep+name)
	}
	for _, name := range o.Forget {
		on[StatusKey(name)] = r.revisions[StatusKey(name)]
		deleted = append(deleted, StatusKey(name))
	}
	if len(o.History) > 0 {
		history := slices.Concat(r.History, o.History)
		put(keyHistory, history[max(0, len(history)-historyMost):])
	}
	return on, set, deleted
}

func (o *Proposal) addHistory(by string, wall time.Duration, machine string, number uint64, text string, a ...any) {
	o.History = append(o.History, HistoryEntry{At: wall.Milliseconds(), By: by, Machine: machine, Number: number, Text: fmt.Sprintf(text, a...)})
}

// putStep adds a changed step, with an entry if its state has changed.
func (o *Proposal) putStep(by string, wall time.Duration, before State, s Step, why string) {
	if o.Steps == nil {
		o.Steps = map[string]Step{}
	}
	s.Since = wall
	o.Steps[s.Machine] = s
	if s.State != before {
		if why != "" {
			why = ": " + why
		}
		o.addHistory(by, wall, s.Machine, s.Number, "%s%s", s.State, why)
	}
}
