// Package membership implements the state that the poolers of an installation share: which poolers are live, and what
// each of them observes of the databases. It does no I/O, reads no clock and starts no goroutines;
// internal/membership/gossip runs it on a network.
//
// Each pooler publishes facts (Publisher), stores the facts of all poolers (View), and exchanges updates and summaries
// with its peers (Disseminator). A View is a join-semilattice: merging is commutative, associative and idempotent.
// Poolers that have received the same updates, in any order and any number of times, therefore have equal views.
// Advisor derives hints for its own pooler from a view.
package membership

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// ownerState is the state of one pooler in a view, at the pooler's highest known incarnation. A higher incarnation
// supersedes a lower one, and the end of an incarnation supersedes all its facts.
type ownerState struct {
	incarnation uint64
	gone, left  bool
	endedAt     time.Duration // End.At, if gone
	facts       map[Key]Fact
}

// endRecord returns the end of a pooler that is gone.
func (o *ownerState) endRecord(name string) End {
	return End{Owner: name, Incarnation: o.incarnation, At: o.endedAt, Left: o.left}
}

// View is one pooler's knowledge of all poolers. It is not safe for concurrent use.
type View struct {
	Counters ViewCounters

	bounds Bounds
	owners map[string]*ownerState
	digest uint64 // sum of the hashes of all entries, which does not depend on their order
}

// ViewCounters count the facts and ends that a view rejected.
type ViewCounters struct {
	Stale    int64 `json:"Old"`   // older than the retention, or of an ended or superseded incarnation
	Future   int64 `json:"Ahead"` // further in the future than Bounds.ClockSkew
	Invalid  int64 `json:"Large"` // malformed or too large
	Overflow int64 `json:"Crowd"` // above the bound on owners or facts
}

// NewView returns an empty view.
func NewView(bounds Bounds) *View { return &View{bounds: bounds, owners: map[string]*ownerState{}} }

// Digest returns a hash of the whole view. Equal views have equal digests.
func (v *View) Digest() uint64 { return v.digest }

// Merge adds a peer's delta and returns its new entries, which the caller forwards to other peers. The view copies the
// values; the returned facts share theirs with delta.
func (v *View) Merge(now time.Duration, delta Delta) (changed Delta) {
	for _, fact := range delta.Facts {
		if v.mergeFact(now, fact) {
			changed.Facts = append(changed.Facts, fact)
		}
	}
	for _, end := range delta.Ends {
		if v.mergeEnd(now, end) {
			changed.Ends = append(changed.Ends, end)
		}
	}
	return changed
}

// mergeFact adds one fact and reports whether it was new.
func (v *View) mergeFact(now time.Duration, fact Fact) bool {
	switch {
	case !v.bounds.validFact(fact):
		v.Counters.Invalid++
		return false
	case v.bounds.inFuture(now, fact.At, fact.Incarnation): // A fact from a wrong clock would stay the newest forever.
		v.Counters.Future++
		return false
	case fact.At < now-v.bounds.Retention: // It may have expired here already and must not return.
		v.Counters.Stale++
		return false
	}
	owner := v.ensureOwner(fact)
	if owner == nil {
		return false
	}
	current, known := owner.facts[fact.Key]
	switch {
	case !known && len(owner.facts) >= v.bounds.Facts:
		v.Counters.Overflow++
		return false
	case known && !supersedes(fact, current):
		return false
	case known:
		v.digest -= current.hash()
	}
	fact.Value = bytes.Clone(fact.Value)
	owner.facts[fact.Key] = fact
	v.digest += fact.hash()
	return true
}

// ensureOwner returns the state of a fact's owner, in the fact's incarnation. It returns nil and counts the rejection
// if that incarnation has ended or is superseded, or if the bound on owners is reached.
func (v *View) ensureOwner(fact Fact) *ownerState {
	owner := v.owners[fact.Owner]
	switch {
	case owner == nil:
		if !v.mayAddOwner() {
			return nil
		}
		owner = &ownerState{incarnation: fact.Incarnation, facts: map[Key]Fact{}}
		v.owners[fact.Owner] = owner
	case fact.Incarnation < owner.incarnation || fact.Incarnation == owner.incarnation && owner.gone:
		v.Counters.Stale++
		return nil
	case fact.Incarnation > owner.incarnation: // The owner has restarted: its earlier facts and its end are void.
		v.clearOwner(fact.Owner, owner)
		owner.incarnation, owner.gone, owner.left, owner.endedAt = fact.Incarnation, false, false, 0
	}
	return owner
}

// mergeEnd adds the end of an incarnation and reports whether it was new.
func (v *View) mergeEnd(now time.Duration, end End) bool {
	switch {
	case end.Owner == "" || len(end.Owner) > v.bounds.NameBytes:
		v.Counters.Invalid++
		return false
	case v.bounds.inFuture(now, end.At, end.Incarnation):
		v.Counters.Future++
		return false
	case end.At < now-2*v.bounds.Retention:
		v.Counters.Stale++
		return false
	}
	owner := v.owners[end.Owner]
	switch {
	case owner == nil:
		if !v.mayAddOwner() {
			return false
		}
		owner = &ownerState{facts: map[Key]Fact{}}
		v.owners[end.Owner] = owner
	case end.Incarnation < owner.incarnation:
		v.Counters.Stale++
		return false
	case end.Incarnation == owner.incarnation && owner.gone:
		return v.mergeRepeatedEnd(owner, end)
	}
	v.clearOwner(end.Owner, owner)
	owner.incarnation, owner.gone, owner.left, owner.endedAt = end.Incarnation, true, end.Left, end.At
	v.digest += end.hash()
	return true
}

// mergeRepeatedEnd merges another end of an incarnation that has already ended, and reports whether it changed
// anything. The later time wins, and the owner's announcement takes precedence over detection by peers, in any order of
// arrival.
func (v *View) mergeRepeatedEnd(owner *ownerState, end End) bool {
	at, left := max(end.At, owner.endedAt), end.Left || owner.left
	if at == owner.endedAt && left == owner.left {
		return false
	}
	v.digest -= owner.endRecord(end.Owner).hash()
	owner.endedAt, owner.left = at, left
	v.digest += owner.endRecord(end.Owner).hash()
	return true
}

// mayAddOwner reports whether one more owner may be added, and counts an overflow if not. The limit protects against
// invented names.
func (v *View) mayAddOwner() bool {
	if len(v.owners) < v.bounds.Owners {
		return true
	}
	v.Counters.Overflow++
	return false
}

// clearOwner removes all facts of an owner, and removes the facts and the end from the digest.
func (v *View) clearOwner(name string, owner *ownerState) {
	for _, fact := range owner.facts {
		v.digest -= fact.hash()
	}
	if owner.gone {
		v.digest -= owner.endRecord(name).hash()
	}
	clear(owner.facts)
}

// Expire removes facts that their owners no longer republish, and ends of incarnations of which no fact would be
// accepted any more. Removed entries cannot return, because they would be rejected as stale.
func (v *View) Expire(now time.Duration) {
	for name, owner := range v.owners {
		for key, fact := range owner.facts {
			if fact.At < now-v.bounds.Retention {
				v.digest -= fact.hash()
				delete(owner.facts, key)
			}
		}
		if owner.gone && owner.endedAt < now-2*v.bounds.Retention || !owner.gone && len(owner.facts) == 0 {
			v.clearOwner(name, owner)
			delete(v.owners, name)
		}
	}
}

// Live returns the names of the poolers that are not known to have ended, sorted.
func (v *View) Live() []string {
	var names []string
	for name, owner := range v.owners {
		if !owner.gone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Gone returns the known ends, sorted by owner.
func (v *View) Gone() (ends []End) {
	for _, name := range slices.Sorted(maps.Keys(v.owners)) {
		if owner := v.owners[name]; owner.gone {
			ends = append(ends, owner.endRecord(name))
		}
	}
	return ends
}

// FactStats returns the number of facts, and the time at which the oldest of them was published (since the Unix epoch;
// 0 without facts).
func (v *View) FactStats() (facts int, oldest time.Duration) {
	for _, owner := range v.owners {
		for _, fact := range owner.facts {
			if facts++; oldest == 0 || fact.At < oldest {
				oldest = fact.At
			}
		}
	}
	return facts, oldest
}

// Incarnation returns the highest known incarnation of a pooler, and whether it has ended. It returns 0 for an unknown
// name.
func (v *View) Incarnation(name string) (incarnation uint64, gone bool) {
	if owner := v.owners[name]; owner != nil {
		return owner.incarnation, owner.gone
	}
	return 0, false
}

// LatestSequence returns the highest sequence among a pooler's facts; 0 if there are none.
func (v *View) LatestSequence(name string) (sequence uint64) {
	if owner := v.owners[name]; owner != nil {
		for _, fact := range owner.facts {
			sequence = max(sequence, fact.Sequence)
		}
	}
	return sequence
}

// FactsWithKey returns the facts of live poolers with a key, sorted by owner.
func (v *View) FactsWithKey(key Key) []Fact {
	var facts []Fact
	for _, name := range v.Live() {
		if fact, known := v.owners[name].facts[key]; known {
			facts = append(facts, fact)
		}
	}
	return facts
}

// HasLeft reports whether a pooler has ended and announced its end itself.
func (v *View) HasLeft(name string) bool {
	owner := v.owners[name]
	return owner != nil && owner.gone && owner.left
}

// All returns all entries of the view, sorted by owner and key.
func (v *View) All() (delta Delta) {
	for _, name := range slices.Sorted(maps.Keys(v.owners)) {
		owner := v.owners[name]
		if owner.gone {
			delta.Ends = append(delta.Ends, owner.endRecord(name))
		}
		for _, key := range slices.SortedFunc(maps.Keys(owner.facts), compareKeys) {
			delta.Facts = append(delta.Facts, owner.facts[key])
		}
	}
	return delta
}

// Summary returns a hash for each known pooler. A peer compares the hashes with its own to find where the views differ.
func (v *View) Summary() map[string]uint64 {
	sums := make(map[string]uint64, len(v.owners))
	for name, owner := range v.owners {
		sum := uint64(0)
		if owner.gone {
			sum = owner.endRecord(name).hash()
		}
		for _, fact := range owner.facts {
			sum += fact.hash()
		}
		sums[name] = sum
	}
	return sums
}

// Missing returns the entries of all owners that are absent from the summary or have a different hash in it.
func (v *View) Missing(summary map[string]uint64) (delta Delta) {
	all, own := v.All(), v.Summary()
	same := func(name string) bool {
		sum, known := summary[name]
		return known && sum == own[name]
	}
	delta.Facts = slices.DeleteFunc(all.Facts, func(fact Fact) bool { return same(fact.Owner) })
	delta.Ends = slices.DeleteFunc(all.Ends, func(end End) bool { return same(end.Owner) })
	return delta
}
