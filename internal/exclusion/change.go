package exclusion

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"capercove/internal/clock"
)

// change is the last command of an operator for one database.
type change struct {
	Excluded bool `json:"banned"`
	// UnixMilli is the wall-clock time of the command in Unix milliseconds. A repeated exclusion has the time of the
	// first command. The time identifies the exclusion's entry in the set's file.
	UnixMilli int64 `json:"unix_ms"`
	// Since is the same time by a clock that is never stepped. It is the zero value if the time is unknown, for
	// example in exclusions written by older versions.
	Since clock.Stamp `json:"since"`
	// Issued is the time of the last command, which orders changes. It is the zero value if the time is unknown.
	Issued clock.Stamp `json:"said"`
}

// changes holds the last change of each database, keyed by its name. It includes changes that ended an exclusion, which
// must be compared with the changes of other processes.
type changes map[string]change

// after reports whether the change is later than other. Stamps of the present boot decide. A change without such a
// stamp counts as earlier than any change with one. Two changes without such a stamp are ordered by the wall clock,
// because no better time is known.
func (c change) after(other change, boot string) bool {
	known := boot != "" && c.Issued.Boot == boot
	otherKnown := boot != "" && other.Issued.Boot == boot
	switch {
	case known && otherKnown:
		return c.Issued.SinceBoot > other.Issued.SinceBoot
	case known != otherKnown:
		return known
	default:
		return c.UnixMilli > other.UnixMilli
	}
}

// merge returns a new map with the later change of each database.
func merge(all, more changes, boot string) changes {
	merged := maps.Clone(all)
	for name, c := range more {
		if known, ok := merged[name]; !ok || c.after(known, boot) {
			merged[name] = c
		}
	}
	return merged
}

// excluded returns the content of the set's file: the excluded databases, each with its time in Unix milliseconds.
func (all changes) excluded() map[string]int64 {
	set := map[string]int64{}
	for name, c := range all {
		if c.Excluded {
			set[name] = c.UnixMilli
		}
	}
	return set
}

// bounded returns the changes with at most maxEnded changes that ended an exclusion: it drops the oldest of these. The
// result may be the same map.
func (all changes) bounded(maxEnded int, boot string) changes {
	var ended []string
	for name, c := range all {
		if !c.Excluded {
			ended = append(ended, name)
		}
	}
	if len(ended) <= maxEnded {
		return all
	}
	slices.SortFunc(ended, func(a, b string) int {
		switch {
		case all[a].after(all[b], boot):
			return 1
		case all[b].after(all[a], boot):
			return -1
		default:
			return cmp.Compare(a, b)
		}
	})
	remaining := maps.Clone(all)
	for _, name := range ended[:len(ended)-maxEnded] {
		delete(remaining, name)
	}
	return remaining
}

// combine merges the content of the set's file with that of the file of changes. The set's file alone decides which
// databases are excluded. An exclusion that the file of changes lacks, or has with another time, was written by an
// older version and has no stamp.
func combine(set map[string]int64, stored changes) changes {
	all := changes{}
	for name, c := range stored {
		if !c.Excluded {
			all[name] = c
		}
	}
	for name, unixMilli := range set {
		c := stored[name]
		if !c.Excluded || c.UnixMilli != unixMilli {
			c = change{Excluded: true, UnixMilli: unixMilli}
		}
		all[name] = c
	}
	return all
}

// decode parses a JSON object into a map. Any other JSON value, including null, is an error.
func decode[M ~map[string]V, V any](text []byte) (object M, err error) {
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, err
	}
	if object == nil {
		return nil, errors.New("not a JSON object")
	}
	return object, nil
}
