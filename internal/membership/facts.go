package membership

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"
)

// Kind is the type of subject that a fact describes. Its values are part of the wire format.
type Kind uint8

const (
	// KindPooler marks a fact about its owner. Its key has no subject.
	KindPooler Kind = iota
	// KindDatabase marks an encoded Observation of the database that the key's subject names.
	KindDatabase
)

// String returns the kind's name for logs and test failures.
func (k Kind) String() string {
	switch k {
	case KindPooler:
		return "pooler"
	case KindDatabase:
		return "database"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key identifies a fact among the facts of its owner.
type Key struct {
	Kind    Kind
	Subject string // id of a database; empty for KindPooler
}

// compareKeys orders keys by kind, then by subject.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// Fact is one value published by its owner. Only the owner creates its facts, each with a higher sequence than all
// earlier facts of the same incarnation. The field names are part of the wire format.
type Fact struct {
	Owner       string // name of the pooler that published it
	Incarnation uint64 // of the owner: begins as its start time in Unix ms, which is later after each restart
	Sequence    uint64
	Key         Key
	At          time.Duration // time of publication on the owner's clock, since the Unix epoch
	Value       []byte        // opaque to the view
}

// End records that an incarnation of a pooler and all its earlier incarnations have ended. The field names are part of
// the wire format.
type End struct {
	Owner       string
	Incarnation uint64
	At          time.Duration // time of detection on the clock of the pooler that detected it, since the Unix epoch
	Left        bool          // true: the owner announced its end; false: it stopped responding
}

// Delta is a set of facts and ends that one pooler sends to another.
type Delta struct {
	Facts []Fact
	Ends  []End
}

// Empty reports whether the delta has neither facts nor ends.
func (d Delta) Empty() bool { return len(d.Facts)+len(d.Ends) == 0 }

// Bounds limit the entries of a view and the facts of a publisher.
type Bounds struct {
	Owners            int           // known poolers, including ended ones
	Published         int           // facts of one publisher at one time
	Facts             int           // facts of one owner in a view; above Published, because databases come and go
	ValueBytes        int           // length of a value
	NameBytes         int           // length of the name of an owner or subject
	Retention         time.Duration // older facts are rejected; ends are stored for twice as long
	ClockSkew         time.Duration // facts and ends further in the future are rejected
	RepublishInterval time.Duration // interval at which unchanged facts are published again; a fraction of Retention
}

// DefaultBounds returns bounds for some 300 poolers and 120 databases.
func DefaultBounds() Bounds {
	return Bounds{
		Owners:            1024,
		Published:         256,
		Facts:             1024,
		ValueBytes:        512,
		NameBytes:         128,
		Retention:         10 * time.Minute,
		ClockSkew:         time.Minute,
		RepublishInterval: 2 * time.Minute,
	}
}

// validFact reports whether the fact's names and value are well-formed and within the bounds.
func (b Bounds) validFact(fact Fact) bool {
	switch {
	case fact.Owner == "" || len(fact.Owner) > b.NameBytes:
		return false
	case len(fact.Key.Subject) > b.NameBytes || len(fact.Value) > b.ValueBytes:
		return false
	case fact.Key.Kind == KindPooler:
		return fact.Key.Subject == ""
	case fact.Key.Kind == KindDatabase:
		return fact.Key.Subject != ""
	}
	return false
}

// inFuture reports whether the time or the incarnation of a fact or end is further in the future than the permitted
// clock skew. Incarnations have twice the margin, because refuting an end raises an incarnation a little above its
// start time.
func (b Bounds) inFuture(now, at time.Duration, incarnation uint64) bool {
	return at > now+b.ClockSkew || incarnation > uint64((now+2*b.ClockSkew).Milliseconds())
}

// supersedes reports whether a fact replaces the current one of the same owner, incarnation and key. An owner publishes
// each sequence only once, but two processes may run under the same name. At equal sequences, the
// later time wins, then the greater value, which makes all poolers choose the same fact.
func supersedes(fact, current Fact) bool {
	return cmp.Or(
		cmp.Compare(fact.Sequence, current.Sequence),
		cmp.Compare(fact.At, current.At),
		bytes.Compare(fact.Value, current.Value),
	) > 0
}

// Approximate encoded size of a fact or end without its names and value, in bytes.
const (
	factWireOverhead = 32
	endWireOverhead  = 24
)

// size returns the approximate encoded size in bytes.
func (f Fact) size() int { return len(f.Owner) + len(f.Key.Subject) + len(f.Value) + factWireOverhead }

// size returns the approximate encoded size in bytes.
func (e End) size() int { return len(e.Owner) + endWireOverhead }

// hash returns the hash of the fact. It is part of the wire format: digests and summaries are sums of hashes.
func (f Fact) hash() uint64 {
	h := fnv.New64a() // its writes return no errors
	_, _ = fmt.Fprintf(h, "%q %d %d %d %q %d ",
		f.Owner, f.Incarnation, f.Sequence, uint8(f.Key.Kind), f.Key.Subject, f.At)
	_, _ = h.Write(f.Value)
	return mixHash(h.Sum64())
}

// hash returns the hash of the end. It is part of the wire format, like the hash of a fact. The hashed text of an
// announced end differs from that of a detected one in one byte.
func (e End) hash() uint64 {
	text := []byte(e.Owner + "\x00end")
	if e.Left {
		text[len(text)-1]++
	}
	text = binary.BigEndian.AppendUint64(text, e.Incarnation)
	text = binary.BigEndian.AppendUint64(text, uint64(e.At))
	h := fnv.New64a()
	_, _ = h.Write(text)
	return mixHash(h.Sum64())
}

// mixHash is the finalizer of SplitMix64. The last bytes written to FNV-1a change only its low bits, and sums of such
// hashes would collide without the finalizer.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
