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
	// UnixMilli is the Unix time by the wall clock in milliseconds; if an exclusion is repeated, that of the first
	// command. It identifies the exclusion's entry in the set's file.
	UnixMilli int64 `json:"unix_ms"`
	// Since is the same time by a clock that is never stepped. It is the zero value if it is not known, as for
	// exclusions written by older versions.
	Since clock.Stamp `json:"since"`
	// Issued is the time of the last command, which orders changes. It may be the zero value, too.
	Issued clock.Stamp `json:"said"`
}

// changes holds the last change of each database by its name. Those that ended an exclusion are remembered in order to
// compare them with the changes of other processes.
type changes map[string]change

// after reports whether the change is later than another one. Stamps of the present boot decide. A change without
// such a stamp counts as earlier than any that has one. Among changes without a stamp the wall clock decides, as
// nothing better is known.
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

// excluded returns the content of the set's file: the excluded databases, each with its Unix time in milliseconds.
func (all changes) excluded() map[string]int64 {
	set := map[string]int64{}
	for name, c := range all {
		if c.Excluded {
			set[name] = c.UnixMilli
		}
	}
	return set
}

// bounded drops the oldest changes that ended an exclusion, so that at most a number of them is left.
func (all changes) bounded(most int, boot string) changes {
	var included []string
	for name, c := range all {
		if !c.Excluded {
			included = append(included, name)
		}
	}
	if len(included) <= most {
		return all
	}
	slices.SortFunc(included, func(a, b string) int {
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
	for _, name := range included[:len(included)-most] {
		delete(remaining, name)
	}
	return remaining
}

// combine joins the set's file, which alone decides which databases are excluded, with the file of changes. An
// exclusion that the latter lacks, or holds with another time, was written by an older version and has no stamp.
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

// decode parses a JSON object into a map. Other JSON values, including null, are errors.
func decode[M ~map[string]V, V any](text []byte) (object M, err error) {
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, err
	}
	if object == nil {
		return nil, errors.New("no JSON object")
	}
	return object, nil
}
