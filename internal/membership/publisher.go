package membership

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Publisher makes the facts of one pooler.
type Publisher struct {
	name        string
	incarnation uint64
	sequence    uint64
	said        map[Key]Fact
	bounds      Bounds
}

// NewPublisher returns the author of an incarnation, which must be higher than all that were known of the name.
func NewPublisher(name string, incarnation uint64, b Bounds) *Publisher {
	return &Publisher{name: name, incarnation: incarnation, said: map[Key]Fact{}, bounds: b}
}

// Incarnation is the author's.
func (a *Publisher) Incarnation() uint64 { return a.incarnation }

// Publish returns the facts that are to be told on: of these values those that have changed, or are to be said again so
// that nobody forgets them. What is left out of the values is no longer said, and forgotten in time.
func (a *Publisher) Publish(now time.Duration, values map[Key][]byte) (d Delta) {
	maps.DeleteFunc(a.said, func(key Key, _ Fact) bool { _, still := values[key]; return !still })
	keys := slices.SortedFunc(maps.Keys(values), func(x, y Key) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Subject, y.Subject))
	})
	for _, key := range keys[:min(len(keys), a.bounds.Published)] {
		had, said := a.said[key]
		if said && bytes.Equal(had.Value, values[key]) && now-had.At < a.bounds.Between {
			continue
		}
		a.sequence++
		f := Fact{Owner: a.name, Incarnation: a.incarnation, Sequence: a.sequence, Key: key, At: now, Value: bytes.Clone(values[key])}
		a.said[key] = f
		d.Facts = append(d.Facts, f)
	}
	return d
}

// Leave is the author's word that it ends. Nothing is to be said or refuted after it.
func (a *Publisher) Leave(now time.Duration) Delta {
	return Delta{Ends: []End{{Owner: a.name, Incarnation: a.incarnation, At: now, Left: true}}}
}

// Refute takes in what is told of the author's own name. A pooler that is told of its own end while it lives, or that
// somebody with a higher incarnation bears its name, goes on with one that is higher still, and says all again: it
// returns true.
//
// What views turn down as of the future it does not answer: one higher still would be turned down as well, and the pooler would
// never be heard again.
func (a *Publisher) Refute(now time.Duration, d Delta) bool {
	highest, wrong := a.incarnation, false
	for _, e := range d.Ends {
		if e.Owner == a.name && e.Incarnation >= a.incarnation && !a.bounds.ahead(now, e.At, e.Incarnation) {
			highest, wrong = max(highest, e.Incarnation), true
		}
	}
	for _, f := range d.Facts {
		if f.Owner == a.name && f.Incarnation > a.incarnation && !a.bounds.ahead(now, f.At, f.Incarnation) {
			highest, wrong = max(highest, f.Incarnation), true
		}
	}
	if wrong {
		a.incarnation, a.sequence = highest+1, 0
		clear(a.said)
	}
	return wrong
}
