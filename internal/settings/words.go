package settings

import (
	"maps"
	"slices"
	"strings"

	"capercove/routing"
)

// vocabulary maps the words that are valid under a key to their meanings.
type vocabulary[Meaning any] map[string]Meaning

// The vocabularies of the keys whose values are words.
var (
	staleReadWords = vocabulary[routing.StaleReads]{
		"none":   routing.StaleAnswered,
		"bounce": routing.StaleRejected,
		"await":  routing.StaleRejected,
	}
	listHintsRoleWords = vocabulary[bool]{"none": false, "static": true, "trailing": true}
	keepSessionsWords  = vocabulary[bool]{"brought": false, "kept": true}
	listIsPolledWords  = vocabulary[bool]{"pushed": false, "on_request": true}
	readKindWords      = vocabulary[routing.ReadKind]{
		"eventual":  routing.AnyRead,
		"lag_bound": routing.BoundedRead,
		"causal":    routing.SessionRead,
		"strong":    routing.FreshRead,
		"mutate":    routing.Write,
	}
	effectWords = vocabulary[routing.Effect]{
		"safe":   routing.Idempotent,
		"keyed":  routing.Deduplicated,
		"unsafe": routing.NonIdempotent,
	}
	dedupGroupWords = vocabulary[routing.DedupGroup]{
		"all":  routing.DedupAll,
		"zone": routing.DedupZone,
		"cell": routing.DedupReplicaGroup,
	}
)

// parse sets meaning to that of the word under a key. For an unknown word it returns a KeyError with the valid words.
func (v vocabulary[Meaning]) parse(key, word string, meaning *Meaning) error {
	known, found := v[word]
	if !found {
		return keyErrorf(key, "%q is none of %s", word, strings.Join(slices.Sorted(maps.Keys(v)), ", "))
	}
	*meaning = known
	return nil
}
