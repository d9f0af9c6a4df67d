package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Proposal is a change of the record, which applies only if the record has not changed since it was read, and the
// actions to take after the change is agreed on.
type Proposal struct {
	Plan             *Plan           // new value; nil: unchanged
	Steps            map[string]Step // changed steps, by machine
	DeleteSteps      []string        // machines whose steps of an earlier plan are deleted
	DeleteStatuses   []string        // poolers whose statuses are deleted: they left, or operators removed them
	History          []HistoryEntry  // new entries
	Calls            []Call          // hooks to call
	Resign           bool            // this pooler is the next to be taken: another pooler has to lead the record
	DatabasesToProbe []string        // databases without recent evidence, to be probed
}

// Change returns the change of the record: the revisions that keys must still have, the values to set and the keys to
// delete. All are nil if nothing changes. The plan's revision is always a condition, which serializes the changes of
// operators and leaders.
func (p *Proposal) Change(record Record) (
	revisions map[string]uint64, set map[string]json.RawMessage, deleted []string,
) {
	if p.Plan == nil && len(p.Steps)+len(p.DeleteSteps)+len(p.DeleteStatuses) == 0 {
		return nil, nil, nil
	}
	revisions = map[string]uint64{keyPlan: record.revisions[keyPlan]}
	set = map[string]json.RawMessage{}
	put := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err) // a bug: all values of the record can be encoded
		}
		revisions[key], set[key] = record.revisions[key], text
	}
	remove := func(key string) {
		revisions[key] = record.revisions[key]
		deleted = append(deleted, key)
	}
	if p.Plan != nil {
		put(keyPlan, p.Plan)
	}
	for name, step := range p.Steps {
		put(keyStepPrefix+name, step)
	}
	for _, name := range p.DeleteSteps {
		remove(keyStepPrefix + name)
	}
	for _, name := range p.DeleteStatuses {
		remove(StatusKey(name))
	}
	if len(p.History) > 0 {
		history := slices.Concat(record.History, p.History)
		put(keyHistory, history[max(0, len(history)-maxHistory):])
	}
	return revisions, set, deleted
}

// addHistory adds a history entry. wall is the Unix time.
func (p *Proposal) addHistory(
	author string, wall time.Duration, machine string, number uint64, format string, args ...any,
) {
	p.History = append(p.History, HistoryEntry{
		At:      wall.Milliseconds(),
		By:      author,
		Machine: machine,
		Number:  number,
		Text:    fmt.Sprintf(format, args...),
	})
}

// putStep adds a changed step, with a history entry if its state differs from the state before.
func (p *Proposal) putStep(author string, wall time.Duration, before State, step Step, reason string) {
	if p.Steps == nil {
		p.Steps = map[string]Step{}
	}
	step.Since = wall
	p.Steps[step.Machine] = step
	if step.State == before {
		return
	}
	if reason != "" {
		reason = ": " + reason
	}
	p.addHistory(author, wall, step.Machine, step.Number, "%s%s", step.State, reason)
}
