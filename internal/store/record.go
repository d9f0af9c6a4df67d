package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is an atomic, conditional change of the replicated record: it is applied completely if all its conditions
// hold, otherwise not at all.
type Change struct {
	// ID identifies the request. A repeated request whose ID is still remembered is not applied again, and gets the
	// outcome of the first one.
	ID string `json:"id,omitempty"`
	// If holds the conditions: the revision at which each of these keys was last set, 0 for a key that does not exist.
	If map[string]uint64 `json:"if,omitempty"`
	// Set holds the values to be set, by key. null is a value and does not delete the key.
	Set map[string]json.RawMessage `json:"set,omitempty"`
	// Delete holds the keys to be deleted. Keys that do not exist are ignored.
	Delete []string `json:"delete,omitempty"`

	// Key is the key of a single value to be set unconditionally. Older versions wrote this form to the log.
	Key string `json:"key,omitempty"`
	// Value is the value of Key.
	Value json.RawMessage `json:"value,omitempty"`
}

// Outcome is the result of a Change.
type Outcome struct {
	// Revision is the revision of the record after the change.
	Revision uint64 `json:"revision"`
	// Applied is false if a condition did not hold or there is an Error.
	Applied bool `json:"applied"`
	// Failed holds the keys whose condition did not hold, sorted.
	Failed []string `json:"failed,omitempty"`
	// Error tells why the change is invalid, such as a bound that it would exceed. It was not applied then.
	Error string `json:"error,omitempty"`
}

// Value is the value of a key.
type Value struct {
	// Revision is the revision of the record at which the value was set.
	Revision uint64 `json:"revision"`
	// Value is the value as JSON.
	Value json.RawMessage `json:"value"`
}

// recordBounds bounds the size of a record.
type recordBounds struct {
	keys   int // maximum number of keys
	value  int // maximum size of a value in bytes
	window int // number of request IDs, and of deletions, that are remembered
}

// record is the state machine that raft replicates. It is deterministic and reads no clock: applying the log gives the
// same record at every pooler.
type record struct {
	bounds   recordBounds
	revision uint64 // number of changes that were applied
	values   map[string]Value
	answered map[string]Outcome // outcomes of the latest requests, by ID
	order    []string           // IDs of these requests, the oldest first
	deleted  []deletion         // the latest deletions, the oldest first
	floor    uint64             // deletions up to this revision are forgotten
}

// deletion is the deletion of a key at a revision.
type deletion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Changes are the changes of some keys since a revision.
type Changes struct {
	// Revision is the revision of the record. The next watch continues from it.
	Revision uint64 `json:"revision"`
	// Values holds the values that were set since, by key.
	Values map[string]Value `json:"values"`
	// Deleted holds the keys that were deleted since.
	Deleted []string `json:"deleted,omitempty"`
	// Complete means that Values holds all present values, not only the changes. This happens if the deletions since
	// are no longer remembered or the given revision is from another record.
	Complete bool `json:"whole,omitempty"`
}

// newRecord returns an empty record.
func newRecord(bounds recordBounds) *record {
	return &record{bounds: bounds, values: map[string]Value{}, answered: map[string]Outcome{}}
}

// matches reports whether a key is the name or, if the name ends in "/", begins with it.
func matches(key, name string) bool {
	return key == name || strings.HasSuffix(name, "/") && strings.HasPrefix(key, name)
}

// since returns the changes of the keys that match a name, after a revision. A revision above the present one is from
// another record.
func (r *record) since(after uint64, name string) Changes {
	complete := after < r.floor || after > r.revision
	changes := Changes{Revision: r.revision, Values: map[string]Value{}, Complete: complete}
	for key, value := range r.values {
		if matches(key, name) && (complete || value.Revision > after) {
			changes.Values[key] = value
		}
	}
	if complete {
		return changes
	}
	for _, deleted := range r.deleted {
		if deleted.Revision <= after || !matches(deleted.Key, name) || slices.Contains(changes.Deleted, deleted.Key) {
			continue
		}
		if _, setAgain := r.values[deleted.Key]; !setAgain {
			changes.Deleted = append(changes.Deleted, deleted.Key)
		}
	}
	return changes
}

// read returns the values of the keys that match any of the names, or of all keys if there are no names.
func (r *record) read(names []string) map[string]Value {
	if len(names) == 0 {
		return maps.Clone(r.values)
	}
	values := map[string]Value{}
	for _, name := range names {
		if value, exists := r.values[name]; exists {
			values[name] = value
			continue
		}
		if !strings.HasSuffix(name, "/") {
			continue
		}
		for key, value := range r.values {
			if matches(key, name) {
				values[key] = value
			}
		}
	}
	return values
}

// apply applies a change. A request whose ID is remembered is not applied again, even if its content differs.
func (r *record) apply(request Change) Outcome {
	if request.ID == "" {
		return r.applyOnce(request)
	}
	if previous, answered := r.answered[request.ID]; answered {
		return previous
	}
	outcome := r.applyOnce(request)
	r.remember(request.ID, outcome)
	return outcome
}

// remember stores the outcome of a request for its repetitions. It forgets the oldest outcome beyond the window.
func (r *record) remember(id string, outcome Outcome) {
	r.answered[id] = outcome
	r.order = append(r.order, id)
	if len(r.order) > r.bounds.window {
		delete(r.answered, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
}

// applyOnce applies a change without looking for an earlier outcome.
func (r *record) applyOnce(request Change) Outcome {
	if request.Key != "" {
		request.Set = map[string]json.RawMessage{request.Key: request.Value}
	}
	if reason := r.checkBounds(request); reason != "" {
		return Outcome{Revision: r.revision, Error: reason}
	}
	if failed := r.failedConditions(request.If); failed != nil {
		return Outcome{Revision: r.revision, Failed: failed}
	}
	r.revision++
	for key, value := range request.Set {
		r.values[key] = Value{r.revision, value}
	}
	for _, key := range request.Delete {
		if _, exists := r.values[key]; exists {
			delete(r.values, key)
			r.deleted = append(r.deleted, deletion{key, r.revision})
		}
	}
	if excess := len(r.deleted) - r.bounds.window; excess > 0 {
		r.floor = r.deleted[excess-1].Revision
		r.deleted = slices.Delete(r.deleted, 0, excess)
	}
	return Outcome{Revision: r.revision, Applied: true}
}

// failedConditions returns the keys whose condition does not hold, sorted; nil if there are none.
func (r *record) failedConditions(conditions map[string]uint64) (failed []string) {
	for key, revision := range conditions {
		if r.values[key].Revision != revision {
			failed = append(failed, key)
		}
	}
	slices.Sort(failed)
	return failed
}

// checkBounds returns why a change is invalid, such as the bound that it would exceed, empty if it is valid.
func (r *record) checkBounds(request Change) string {
	keys := len(r.values)
	for key, value := range request.Set {
		switch {
		case key == "":
			return "a key is empty"
		case strings.HasSuffix(key, "/"): // a name that ends in / means all keys that begin with it
			return key + ": a key ends in /"
		case len(value) > r.bounds.value:
			return fmt.Sprintf("%s: %d bytes, %d at most", key, len(value), r.bounds.value)
		case slices.Contains(request.Delete, key):
			return key + ": set and deleted"
		}
		if _, exists := r.values[key]; !exists {
			keys++
		}
	}
	for _, key := range request.Delete {
		if _, exists := r.values[key]; exists {
			keys--
		}
	}
	if keys > r.bounds.keys {
		return fmt.Sprintf("%d keys, %d at most", keys, r.bounds.keys)
	}
	return ""
}

// snapshotData is the form of the record in raft's snapshots, as JSON.
type snapshotData struct {
	Revision uint64             `json:"revision"`
	Values   map[string]Value   `json:"values"`
	Answered map[string]Outcome `json:"answered"`
	Order    []string           `json:"order"`
	Deleted  []deletion         `json:"deleted"`
	Floor    *uint64            `json:"floor"` // nil in older snapshots
}

// snapshot returns a copy of the record.
func (r *record) snapshot() snapshotData {
	floor := r.floor
	return snapshotData{
		Revision: r.revision,
		Values:   maps.Clone(r.values),
		Answered: maps.Clone(r.answered),
		Order:    slices.Clone(r.order),
		Deleted:  slices.Clone(r.deleted),
		Floor:    &floor,
	}
}

// restore replaces the content of the record by that of a snapshot.
func (r *record) restore(text []byte) error {
	data, err := decodeSnapshot(text)
	if err != nil {
		return err
	}
	r.revision, r.values = data.Revision, data.Values
	r.answered, r.order = data.Answered, data.Order
	r.deleted, r.floor = data.Deleted, *data.Floor
	return nil
}

// decodeSnapshot parses a snapshot of the present or an older format. The oldest format is a map of values by key.
func decodeSnapshot(text []byte) (data snapshotData, err error) {
	if err := json.Unmarshal(text, &data); err != nil {
		return data, err
	}
	if data.Values == nil {
		var values map[string]json.RawMessage
		if err := json.Unmarshal(text, &values); err != nil {
			return data, err
		}
		data = snapshotData{Revision: 1, Values: map[string]Value{}}
		for key, value := range values {
			data.Values[key] = Value{1, value}
		}
	}
	if data.Answered == nil {
		data.Answered = map[string]Outcome{}
	}
	if data.Floor == nil {
		data.Floor = &data.Revision
	}
	return data, nil
}
