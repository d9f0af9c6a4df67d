package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one request to the record: it is applied whole if all its conditions hold, or not at all.
type Change struct {
	ID     string                     `json:"id,omitempty"`     // of the request: the same again is answered as before, within the window
	If     map[string]uint64          `json:"if,omitempty"`     // revision at which each of these keys was last set; 0: it is not there
	Set    map[string]json.RawMessage `json:"set,omitempty"`    // null has no meaning of its own here
	Delete []string                   `json:"delete,omitempty"` // keys that are missing already are no fault

	// A single value set without condition, as logs of before have it.
	Key   string          `json:"key,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Outcome is the answer to a change.
type Outcome struct {
	Revision uint64   `json:"revision"`         // of the record after it
	Applied  bool     `json:"applied"`          // false: a condition did not hold
	Failed   []string `json:"failed,omitempty"` // keys of those, sorted
	Error    string   `json:"error,omitempty"`  // it is beyond a bound, and nothing was done
}

// Value is what stands under a key.
type Value struct {
	Revision uint64          `json:"revision"` // when it was set
	Value    json.RawMessage `json:"value"`
}

// Bounds of the record.
type recordBounds struct {
	keys   int
	value  int // bytes
	window int // requests whose ids are remembered
}

// record is what the log leads to, the same at every pooler: it is a pure state machine, with no time in it.
type record struct {
	bounds   recordBounds
	revision uint64 // counts changes that were applied
	values   map[string]Value
	answered map[string]Outcome // by request, of the last ones
	order    []string           // of those, the oldest first
	deleted  []deletion         // the last ones, the oldest first
	floor    uint64             // what was deleted up to this revision is not remembered
}

// deletion is of a key that is there no more.
type deletion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Changes are what has become of some keys since a revision.
type Changes struct {
	Revision uint64           `json:"revision"` // of the record: the next watch goes on from here
	Values   map[string]Value `json:"values"`   // set since
	Deleted  []string         `json:"deleted,omitempty"`
	Whole    bool             `json:"whole,omitempty"` // what was deleted since is not remembered any more: Values are all there are
}

func newRecord(b recordBounds) *record {
	return &record{bounds: b, values: map[string]Value{}, answered: map[string]Outcome{}}
}

// Named tells whether a key is the name, or under it where the name ends in "/".
func named(key, name string) bool {
	return key == name || strings.HasSuffix(name, "/") && strings.HasPrefix(key, name)
}

// since returns what has become of the keys of a name since a revision.
func (r *record) since(after uint64, name string) Changes {
	c := Changes{Revision: r.revision, Values: map[string]Value{}, Whole: after < r.floor || after > r.revision} // the latter: of another record
	for key, v := range r.values {
		if named(key, name) && (c.Whole || v.Revision > after) {
			c.Values[key] = v
		}
	}
	for _, d := range r.deleted {
		if _, again := r.values[d.Key]; !again && !c.Whole && d.Revision > after && named(d.Key, name) && !slices.Contains(c.Deleted, d.Key) {
			c.Deleted = append(c.Deleted, d.Key)
		}
	}
	return c
}

// read returns the values of some names, of all keys where none is named.
func (r *record) read(names []string) map[string]Value {
	if len(names) == 0 {
		return maps.Clone(r.values)
	}
	values := map[string]Value{}
	for _, name := range names {
		if v, has := r.values[name]; has {
			values[name] = v
		} else if strings.HasSuffix(name, "/") {
			for key, v := range r.values {
				if named(key, name) {
					values[key] = v
				}
			}
		}
	}
	return values
}

// apply takes in a change. One whose id has been answered within the window is not applied again, whatever it says.
func (r *record) apply(c Change) (o Outcome) {
	if c.ID != "" {
		if had, known := r.answered[c.ID]; known {
			return had
		}
		defer func() {
			r.answered[c.ID] = o
			r.order = append(r.order, c.ID)
			if len(r.order) > r.bounds.window {
				delete(r.answered, r.order[0])
				r.order = slices.Delete(r.order, 0, 1)
			}
		}()
	}
	if c.Key != "" {
		c.Set = map[string]json.RawMessage{c.Key: c.Value}
	}
	if why := r.beyond(c); why != "" {
		return Outcome{Revision: r.revision, Error: why}
	}
	for key, revision := range c.If {
		if r.values[key].Revision != revision {
			o.Failed = append(o.Failed, key)
		}
	}
	if o.Failed != nil {
		slices.Sort(o.Failed)
		o.Revision = r.revision
		return o
	}
	r.revision++
	for key, value := range c.Set {
		r.values[key] = Value{r.revision, value}
	}
	for _, key := range c.Delete {
		if _, has := r.values[key]; has {
			delete(r.values, key)
			r.deleted = append(r.deleted, deletion{key, r.revision})
		}
	}
	if over := len(r.deleted) - r.bounds.window; over > 0 {
		r.floor = r.deleted[over-1].Revision
		r.deleted = slices.Delete(r.deleted, 0, over)
	}
	return Outcome{Revision: r.revision, Applied: true}
}

// beyond tells which bound a change would break. Against keys and values without end.
func (r *record) beyond(c Change) string {
	after := len(r.values)
	for key, value := range c.Set {
		switch {
		case key == "":
			return "a key is empty"
		case strings.HasSuffix(key, "/"): // as that names all keys under it
			return key + ": a key ends in /"
		case len(value) > r.bounds.value:
			return fmt.Sprintf("%s: %d bytes, %d at most", key, len(value), r.bounds.value)
		case slices.Contains(c.Delete, key):
			return key + ": set and deleted"
		}
		if _, known := r.values[key]; !known {
			after++
		}
	}
	for _, key := range c.Delete {
		if _, known := r.values[key]; known {
			after--
		}
	}
	if after > r.bounds.keys {
		return fmt.Sprintf("%d keys, %d at most", after, r.bounds.keys)
	}
	return ""
}

// saved is the record in a snapshot.
type saved struct {
	Revision uint64             `json:"revision"`
	Values   map[string]Value   `json:"values"`
	Answered map[string]Outcome `json:"answered"`
	Order    []string           `json:"order"`
	Deleted  []deletion         `json:"deleted"`
	Floor    *uint64            `json:"floor"` // nil in one of before
}

func (r *record) save() saved {
	floor := r.floor
	return saved{r.revision, maps.Clone(r.values), maps.Clone(r.answered), slices.Clone(r.order), slices.Clone(r.deleted), &floor}
}

// restore takes in a snapshot; one of before held values alone, by key.
func (r *record) restore(text []byte) error {
	var s saved
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Values == nil {
		var old map[string]json.RawMessage
		if err := json.Unmarshal(text, &old); err != nil {
			return err
		}
		s = saved{Revision: 1, Values: map[string]Value{}}
		for key, value := range old {
			s.Values[key] = Value{1, value}
		}
	}
	if s.Answered == nil {
		s.Answered = map[string]Outcome{}
	}
	if s.Floor == nil {
		s.Floor = &s.Revision
	}
	r.revision, r.values, r.answered, r.order, r.deleted, r.floor = s.Revision, s.Values, s.Answered, s.Order, s.Deleted, *s.Floor
	return nil
}
