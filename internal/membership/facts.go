package membership

import (
	"bytes"
	"cmp"
	"fmt"
	"hash/fnv"
	"time"
)

// Kind tells what a fact is of.
type Kind uint8

const (
	OfPooler   Kind = iota // of its owner; it has no subject
	OfDatabase             // what its owner observes of the database that is the subject
)

// Key names a fact among its owner's.
type Key struct {
	Kind    Kind
	Subject string // a database's id
}

// Fact is one thing that its owner says. The owner alone makes facts of its own, each with a higher sequence than all before it
// in the same incarnation.
type Fact struct {
	Owner       string // a pooler's name
	Incarnation uint64 // of the owner: higher after each restart, as it begins with the Unix time in milliseconds
	Sequence    uint64
	Key         Key
	At          time.Duration // since the Unix epoch, on the owner's clock
	Value       []byte        // opaque here
}

// End says that an incarnation of a pooler, and all before it, are gone.
type End struct {
	Owner       string
	Incarnation uint64
	At          time.Duration // when it was found, on the clock of who found it
	Left        bool          // it said so itself; otherwise it was found not to answer
}

// Delta is what one pooler tells another.
type Delta struct {
	Facts []Fact
	Ends  []End
}

// Empty tells whether there is nothing in it.
func (d Delta) Empty() bool { return len(d.Facts)+len(d.Ends) == 0 }

// Bounds are what a view holds and takes in.
type Bounds struct {
	Owners    int           // poolers that are remembered, gone ones included
	Published int           // facts that an author says at once
	Facts     int           // of one owner that are held: as databases come and go, more than it says at once
	Value     int           // bytes
	Name      int           // bytes of an owner's or a subject's name
	Forget    time.Duration // facts older than this are not taken in, and an end is remembered for twice as long
	Ahead     time.Duration // nor are those further in the future
	Between   time.Duration // an owner says each fact again this often at the latest; a fraction of Forget
}

// DefaultBounds are for some 300 poolers and 120 databases.
func DefaultBounds() Bounds {
	return Bounds{Owners: 1024, Published: 256, Facts: 1024, Value: 512, Name: 128, Forget: 10 * time.Minute, Ahead: time.Minute,
		Between: 2 * time.Minute}
}

// ahead tells whether what was said at a time by an incarnation is of the future. A refuted end makes an incarnation a little
// higher than its start.
func (b Bounds) ahead(now, at time.Duration, incarnation uint64) bool {
	return at > now+b.Ahead || incarnation > uint64((now+2*b.Ahead).Milliseconds())
}

// above orders facts of one owner, incarnation and key. An owner makes no two with one sequence; if one does, as when two
// processes bear its name, the larger text stands, at every pooler alike.
func above(f, had Fact) bool {
	return cmp.Or(cmp.Compare(f.Sequence, had.Sequence), cmp.Compare(f.At, had.At), bytes.Compare(f.Value, had.Value)) > 0
}

func (f Fact) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %d %d %d %q %d ", f.Owner, f.Incarnation, f.Sequence, f.Key.Kind, f.Key.Subject, f.At)
	h.Write(f.Value)
	return spread(h.Sum64())
}

// spread makes sums of hashes as good as hashes: FNV's last bytes move its low bits alone.
func spread(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// size is about what an entry takes on the wire.
func (f Fact) size() int { return len(f.Owner) + len(f.Key.Subject) + len(f.Value) + 32 }
func (e End) size() int  { return len(e.Owner) + 24 }
