package membership

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// Publisher creates the facts of one pooler. It is not safe for concurrent use.
type Publisher struct {
	name        string
	incarnation uint64
	sequence    uint64
	published   map[Key]Fact
	bounds      Bounds
}

// NewPublisher returns the publisher of the named pooler. The incarnation must be higher than all earlier ones of that
// name.
func NewPublisher(name string, incarnation uint64, bounds Bounds) *Publisher {
	return &Publisher{name: name, incarnation: incarnation, published: map[Key]Fact{}, bounds: bounds}
}

// Incarnation returns the current incarnation. Refute raises it.
func (p *Publisher) Incarnation() uint64 { return p.incarnation }

// Publish returns new facts for the values that have changed, and for those whose facts are so old that peers would
// soon expire them. A key that is absent from the values is no longer published, and peers expire its fact. The values
// are copied.
func (p *Publisher) Publish(now time.Duration, values map[Key][]byte) (delta Delta) {
	maps.DeleteFunc(p.published, func(key Key, _ Fact) bool {
		_, present := values[key]
		return !present
	})
	keys := slices.SortedFunc(maps.Keys(values), compareKeys)
	for _, key := range keys[:min(len(keys), p.bounds.Published)] {
		last, known := p.published[key]
		if known && bytes.Equal(last.Value, values[key]) && now-last.At < p.bounds.RepublishInterval {
			continue
		}
		p.sequence++
		fact := Fact{
			Owner: p.name, Incarnation: p.incarnation, Sequence: p.sequence,
			Key: key, At: now, Value: bytes.Clone(values[key]),
		}
		p.published[key] = fact
		delta.Facts = append(delta.Facts, fact)
	}
	return delta
}

// Leave returns the announcement that this pooler leaves. Publish and Refute must not be called after it.
func (p *Publisher) Leave(now time.Duration) Delta {
	return Delta{Ends: []End{{Owner: p.name, Incarnation: p.incarnation, At: now, Left: true}}}
}

// Refute checks the entries of a peer's delta about this pooler's own name. If one of them ends the current incarnation
// or belongs to a higher one, the publisher changes to an incarnation above those of all these entries, and the next
// Publish returns facts for all values. Refute reports whether the incarnation changed.
//
// Facts and ends that views reject as being in the future are not refuted. The next incarnation would be rejected as
// well, and the pooler would be excluded permanently.
func (p *Publisher) Refute(now time.Duration, delta Delta) bool {
	highest, refuted := p.incarnation, false
	for _, end := range delta.Ends {
		if end.Owner == p.name && end.Incarnation >= p.incarnation && !p.bounds.inFuture(now, end.At, end.Incarnation) {
			highest, refuted = max(highest, end.Incarnation), true
		}
	}
	for _, fact := range delta.Facts {
		if fact.Owner == p.name && fact.Incarnation > p.incarnation &&
			!p.bounds.inFuture(now, fact.At, fact.Incarnation) {
			highest, refuted = max(highest, fact.Incarnation), true
		}
	}
	if refuted {
		p.incarnation, p.sequence = highest+1, 0
		clear(p.published)
	}
	return refuted
}
