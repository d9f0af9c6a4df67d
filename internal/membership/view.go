// Package membership holds what the poolers of an installation know together: who lives, and what each observes. This file is the
// pure part: no clock, goroutine or I/O. A View is a join-semilattice: merging is commutative, associative and
// idempotent, so that poolers that have heard the same, in any order and any number of times, hold the same.
package membership

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// owner is what is known of one pooler: of its highest incarnation alone. In order: a higher incarnation is above a lower one,
// and within one its end is above all that it has said.
type owner struct {
	incarnation uint64
	gone, left  bool
	at          time.Duration // of the end
	facts       map[Key]Fact
}

// View is what one pooler knows. It is not safe for concurrent use.
type View struct {
	Count ViewCounters

	bounds Bounds
	owners map[string]*owner
	digest uint64 // the sum of the hashes of all entries, so that it needs no order
}

// ViewCounters count what was turned down.
type ViewCounters struct {
	Old, Ahead, Large, Crowd int64 // too old or of the past; of the future; too large; more than is held
}

// NewView returns a view that knows nothing.
func NewView(b Bounds) *View { return &View{bounds: b, owners: map[string]*owner{}} }

// Digest is equal for views that hold the same; others differ but for a chance of one in 2^64.
func (v *View) Digest() uint64 { return v.digest }

// Merge takes in what another pooler tells, and returns what of it was new: that is to be told on, nothing else.
func (v *View) Merge(now time.Duration, d Delta) (news Delta) {
	for _, f := range d.Facts {
		if v.fact(now, f) {
			news.Facts = append(news.Facts, f)
		}
	}
	for _, e := range d.Ends {
		if v.end(now, e) {
			news.Ends = append(news.Ends, e)
		}
	}
	return news
}

// fact takes in one fact and tells whether it was new.
func (v *View) fact(now time.Duration, f Fact) bool {
	switch {
	case len(f.Value) > v.bounds.Value || len(f.Owner) > v.bounds.Name || len(f.Key.Subject) > v.bounds.Name || f.Owner == "" ||
		(f.Key.Kind == OfDatabase) == (f.Key.Subject == "") || f.Key.Kind > OfDatabase:
		v.Count.Large++
		return false
	case v.bounds.ahead(now, f.At, f.Incarnation): // Against a wrong clock: it would be the newest for ever.
		v.Count.Ahead++
		return false
	case f.At < now-v.bounds.Forget: // Against the return of what has been forgotten since.
		v.Count.Old++
		return false
	}
	o := v.owners[f.Owner]
	switch {
	case o == nil:
		if !v.room() {
			return false
		}
		o = &owner{incarnation: f.Incarnation, facts: map[Key]Fact{}}
		v.owners[f.Owner] = o
	case f.Incarnation < o.incarnation || f.Incarnation == o.incarnation && o.gone:
		v.Count.Old++
		return false
	case f.Incarnation > o.incarnation: // It has restarted: what it said before is void, and so is its end.
		v.clear(f.Owner, o)
		o.incarnation, o.gone, o.left, o.at = f.Incarnation, false, false, 0
	}
	had, known := o.facts[f.Key]
	switch {
	case !known && len(o.facts) >= v.bounds.Facts:
		v.Count.Crowd++
		return false
	case known && !above(f, had):
		return false
	case known:
		v.digest -= had.hash()
	}
	f.Value = bytes.Clone(f.Value)
	o.facts[f.Key] = f
	v.digest += f.hash()
	return true
}

// end takes in the end of an incarnation and tells whether it was new.
func (v *View) end(now time.Duration, e End) bool {
	switch {
	case e.Owner == "" || len(e.Owner) > v.bounds.Name:
		v.Count.Large++
		return false
	case v.bounds.ahead(now, e.At, e.Incarnation):
		v.Count.Ahead++
		return false
	case e.At < now-2*v.bounds.Forget:
		v.Count.Old++
		return false
	}
	o := v.owners[e.Owner]
	if o == nil {
		if !v.room() {
			return false
		}
		o = &owner{facts: map[Key]Fact{}}
		v.owners[e.Owner] = o
	} else if e.Incarnation < o.incarnation {
		v.Count.Old++
		return false
	} else if e.Incarnation == o.incarnation && o.gone {
		// Found twice: it is remembered from the later time on, and its own word goes before others' finding, everywhere.
		at, left := max(e.At, o.at), e.Left || o.left
		if at == o.at && left == o.left {
			return false
		}
		v.digest -= o.endHash(e.Owner)
		o.at, o.left = at, left
		v.digest += o.endHash(e.Owner)
		return true
	}
	v.clear(e.Owner, o)
	o.incarnation, o.gone, o.left, o.at = e.Incarnation, true, e.Left, e.At
	v.digest += o.endHash(e.Owner)
	return true
}

// room tells whether one more owner may be remembered. Against names made up without end.
func (v *View) room() bool {
	if len(v.owners) < v.bounds.Owners {
		return true
	}
	v.Count.Crowd++
	return false
}

// clear forgets all that an owner has said.
func (v *View) clear(name string, o *owner) {
	for _, f := range o.facts {
		v.digest -= f.hash()
	}
	if o.gone {
		v.digest -= o.endHash(name)
	}
	clear(o.facts)
}

// Forget drops what is older than the bounds allow: facts that their owner no longer repeats, and ends for which no fact can
// come any more. What it drops cannot come back: it would be turned down as too old.
func (v *View) Forget(now time.Duration) {
	for name, o := range v.owners {
		for key, f := range o.facts {
			if f.At < now-v.bounds.Forget {
				v.digest -= f.hash()
				delete(o.facts, key)
			}
		}
		if o.gone && o.at < now-2*v.bounds.Forget || !o.gone && len(o.facts) == 0 {
			v.clear(name, o)
			delete(v.owners, name)
		}
	}
}

// Live are the names of the poolers that are there as far as is known, sorted.
func (v *View) Live() []string {
	var names []string
	for name, o := range v.owners {
		if !o.gone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Gone are the ends that are remembered, by name in order.
func (v *View) Gone() (ends []End) {
	for _, name := range slices.Sorted(maps.Keys(v.owners)) {
		if o := v.owners[name]; o.gone {
			ends = append(ends, o.end(name))
		}
	}
	return ends
}

// Extent is how many facts are held, and when the oldest was said.
func (v *View) Extent() (facts int, oldest time.Duration) {
	for _, o := range v.owners {
		for _, f := range o.facts {
			if facts++; oldest == 0 || f.At < oldest {
				oldest = f.At
			}
		}
	}
	return facts, oldest
}

// Incarnation is the highest one known of a pooler, and whether it is gone; 0 where nothing is known.
func (v *View) Incarnation(name string) (incarnation uint64, gone bool) {
	if o := v.owners[name]; o != nil {
		return o.incarnation, o.gone
	}
	return 0, false
}

// Latest is the sequence of a pooler's last word that is held; 0 where there is none.
func (v *View) Latest(name string) (sequence uint64) {
	if o := v.owners[name]; o != nil {
		for _, f := range o.facts {
			sequence = max(sequence, f.Sequence)
		}
	}
	return sequence
}

// FactsUnder returns what live poolers say under a key, by their names in order.
func (v *View) FactsUnder(key Key) []Fact {
	var facts []Fact
	for _, name := range v.Live() {
		if f, said := v.owners[name].facts[key]; said {
			facts = append(facts, f)
		}
	}
	return facts
}

// Left tells whether a pooler is gone by its own word.
func (v *View) Left(name string) bool {
	o := v.owners[name]
	return o != nil && o.gone && o.left
}

// All returns everything, in a fixed order, to be told to one who knows nothing.
func (v *View) All() (d Delta) {
	for _, name := range slices.Sorted(maps.Keys(v.owners)) {
		o := v.owners[name]
		if o.gone {
			d.Ends = append(d.Ends, o.end(name))
		}
		keys := slices.SortedFunc(maps.Keys(o.facts), func(a, b Key) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
		})
		for _, key := range keys {
			d.Facts = append(d.Facts, o.facts[key])
		}
	}
	return d
}

// Summary is a hash for each pooler that is known, so that two views find with little talk where they differ.
func (v *View) Summary() map[string]uint64 {
	sums := make(map[string]uint64, len(v.owners))
	for name, o := range v.owners {
		sum := uint64(0)
		if o.gone {
			sum = o.endHash(name)
		}
		for _, f := range o.facts {
			sum += f.hash()
		}
		sums[name] = sum
	}
	return sums
}

// Missing returns what one with that summary lacks, or has otherwise.
func (v *View) Missing(summary map[string]uint64) (d Delta) {
	all, own := v.All(), v.Summary()
	differs := func(name string) bool {
		sum, known := summary[name]
		return !known || sum != own[name]
	}
	d.Facts = slices.DeleteFunc(all.Facts, func(f Fact) bool { return !differs(f.Owner) })
	d.Ends = slices.DeleteFunc(all.Ends, func(e End) bool { return !differs(e.Owner) })
	return d
}

// end is that of a pooler that is gone.
func (o *owner) end(name string) End {
	return End{Owner: name, Incarnation: o.incarnation, At: o.at, Left: o.left}
}

func (o *owner) endHash(name string) uint64 {
	h := fnv.New64a()
	text := []byte(name + "\x00end")
	if o.left {
		text[len(text)-1]++
	}
	h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(text, o.incarnation), uint64(o.at)))
	return spread(h.Sum64())
}
