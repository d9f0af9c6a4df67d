package exclusion

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"capercove/internal/clock"
)

// change is the last that an operator said of one database.
type change struct {
	Banned bool `json:"banned"`
	// Unix is the time by the wall clock in milliseconds, of a ban said twice the first one. It ties a ban to its entry
	// in the file of the set.
	Unix int64 `json:"unix_ms"`
	// Since is the same time by a clock that is never stepped; the zero value where it is not known, as with an older
	// program's ban.
	Since clock.Stamp `json:"since"`
	// Said is when it was last said, which orders changes; it may be the zero value, too.
	Said clock.Stamp `json:"said"`
}

// changes are the last changes by the databases' names. One that is not a ban is kept to order it with those of other
// processes.
type changes map[string]change

// after tells whether the change is later than another one. In the present boot the stamps tell; a change with no stamp
// of this boot counts as earlier than any that has one, and among such the wall clock tells, as nothing better is
// known.
func (c change) after(other change, boot string) bool {
	known, otherKnown := boot != "" && c.Said.Boot == boot, boot != "" && other.Said.Boot == boot
	switch {
	case known && otherKnown:
		return c.Said.SinceBoot > other.Said.SinceBoot
	case known != otherKnown:
		return known
	default:
		return c.Unix > other.Unix
	}
}

// merge returns the later change of each database.
func merge(all, more changes, boot string) changes {
	merged := maps.Clone(all)
	for name, c := range more {
		if known, ok := merged[name]; !ok || c.after(known, boot) {
			merged[name] = c
		}
	}
	return merged
}

// banned returns the databases that are kept out as the file of the set tells them: each with its time by the wall
// clock.
func (all changes) banned() map[string]int64 {
	set := map[string]int64{}
	for name, c := range all {
		if c.Banned {
			set[name] = c.Unix
		}
	}
	return set
}

// bounded drops the oldest of the changes that are no bans, down to a number of them.
func (all changes) bounded(most int, boot string) changes {
	var lifted []string
	for name, c := range all {
		if !c.Banned {
			lifted = append(lifted, name)
		}
	}
	if len(lifted) <= most {
		return all
	}
	slices.SortFunc(lifted, func(a, b string) int {
		switch {
		case all[a].after(all[b], boot):
			return 1
		case all[b].after(all[a], boot):
			return -1
		default:
			return cmp.Compare(a, b)
		}
	})
	kept := maps.Clone(all)
	for _, name := range lifted[:len(lifted)-most] {
		delete(kept, name)
	}
	return kept
}

// join puts the set, which alone tells who is banned, together with what the file beside it tells of the changes. A ban
// that this file knows nothing of, or tells with another time, was made by an older program and has no stamp.
func join(set map[string]int64, beside changes) changes {
	all := changes{}
	for name, c := range beside {
		if !c.Banned {
			all[name] = c
		}
	}
	for name, unix := range set {
		c := beside[name]
		if !c.Banned || c.Unix != unix {
			c = change{Banned: true, Unix: unix}
		}
		all[name] = c
	}
	return all
}

// decode reads a JSON object into a map, and takes nothing else for one.
func decode[M ~map[string]V, V any](text []byte) (m M, err error) {
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	if m == nil {
		return nil, fmt.Errorf("no object")
	}
	return m, nil
}
