package statement

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Fingerprint is what is remembered of one.
type Fingerprint struct {
	Text      string // cut to shapeShown bytes
	Kind      Kind
	MayWrite  bool
	Why       Why
	Cost      Cost
	Calls     int64
	Seconds   float64 // of all its calls together
	Disagreed int64   // calls whose label said otherwise
	Logged    bool    // that it disagrees has been told

	hash       xxh3.Uint128
	bytes      int
	hits       uint8
	where      queue
	next, prev *Fingerprint
}

type queue uint8

const (
	gone  queue = iota
	small       // seen once or so
	main
)

const (
	shapeShown = 256 // bytes of a shape's text that are kept
	shapeFixed = 320 // what one takes beside its text, with its places in the tables
	smallShare = 0.1 // of the bytes, for shapes that have yet to show that they come again
	ghostShare = 0.1 // ... for the hashes of those that were let go from there
	ghostHits  = 4   // of one that comes again after it was let go: so long apart, it is no part of a flood
	hitsMost   = 15  // are counted: one that is asked for often outlasts as many turns of the main queue
)

// Fingerprints is a cache of shapes of fixed size in bytes. It is S3-FIFO (Yang, Qiu, Zhang, Yue, Vinayak 2023): what is new
// enters a small queue, and only what comes again is let into the main one, so that a flood of shapes that come once
// passes through the small one. It is written here and not taken from a library because it must count bytes and be the
// same at each run: the libraries at hand count entries, or seed themselves and run goroutines.
type Fingerprints struct {
	byHash  map[xxh3.Uint128]*Fingerprint
	queues  [main + 1]list
	ghosts  []uint32 // parts of the hashes of shapes that were let go from the small queue, each at the place of its hash
	most    int
	seed    uint64
	Hits    int64
	Misses  int64
	Evicted int64
}

// list is a queue of shapes with its bytes.
type list struct {
	first, last *Fingerprint // the first is the next to go
	bytes       int
}

// NewFingerprints returns a cache that takes no more than so many bytes. The seed keeps others from choosing texts that meet.
func NewFingerprints(bytes int, seed uint64) *Fingerprints {
	n := max(1, int(ghostShare*float64(bytes))/4)
	return &Fingerprints{byHash: map[xxh3.Uint128]*Fingerprint{}, ghosts: make([]uint32, n), most: bytes - 4*n, seed: seed}
}

// Bytes is how many bytes the cache holds.
func (c *Fingerprints) Bytes() int {
	return c.queues[small].bytes + c.queues[main].bytes + 4*len(c.ghosts)
}

// Len is how many shapes it holds.
func (c *Fingerprints) Len() int { return len(c.byHash) }

// Get returns what is remembered of a shape, and begins to remember it.
func (c *Fingerprints) Get(shape []byte, info *Info) *Fingerprint {
	h := xxh3.Hash128Seed(shape, c.seed)
	if s := c.byHash[h]; s != nil {
		c.Hits++
		s.hits = min(s.hits+1, hitsMost)
		if s.Why != info.Why { // the rules have changed since
			s.Kind, s.MayWrite, s.Why, s.Logged = info.Kind, info.MayWrite, info.Why, false
		}
		return s
	}
	c.Misses++
	text := string(shape[:min(len(shape), shapeShown)])
	s := &Fingerprint{Text: text, Kind: info.Kind, MayWrite: info.MayWrite, Why: info.Why, hash: h, bytes: shapeFixed + len(text)}
	to := small
	if g := c.ghost(h); *g == uint32(h.Hi)|1 { // it has come again soon after it was let go
		*g = 0
		to, s.hits = main, ghostHits
	}
	for c.queues[small].bytes+c.queues[main].bytes+s.bytes > c.most {
		c.evict()
	}
	c.byHash[h] = s
	c.push(s, to)
	return s
}

// ghost is the place of a hash among those of the forgotten. Another may stand there: the latest does.
func (c *Fingerprints) ghost(h xxh3.Uint128) *uint32 { return &c.ghosts[h.Lo%uint64(len(c.ghosts))] }

// ObserveCost notes what one call took, beside so many others of ours at its database.
func (s *Fingerprint) ObserveCost(took time.Duration, others int) {
	s.Cost.Add(took, others)
	s.Seconds += took.Seconds()
}

// Holds tells whether a shape is still remembered; what is learned of others is lost.
func (c *Fingerprints) Holds(s *Fingerprint) bool { return s.where != gone }

func (c *Fingerprints) push(s *Fingerprint, to queue) {
	q := &c.queues[to]
	s.where, s.prev, s.next = to, q.last, nil
	if q.last == nil {
		q.first = s
	} else {
		q.last.next = s
	}
	q.last = s
	q.bytes += s.bytes
}

func (c *Fingerprints) pop(from queue) *Fingerprint {
	q := &c.queues[from]
	s := q.first
	if q.first = s.next; q.first == nil {
		q.last = nil
	} else {
		q.first.prev = nil
	}
	s.next = nil
	q.bytes -= s.bytes
	return s
}

// evict lets one shape go.
func (c *Fingerprints) evict() {
	for c.queues[small].first != nil && (float64(c.queues[small].bytes) > smallShare*float64(c.most) || c.queues[main].first == nil) {
		s := c.pop(small)
		if s.hits > 0 {
			s.hits = 0
			c.push(s, main)
			continue
		}
		c.forget(s)
		*c.ghost(s.hash) = uint32(s.hash.Hi) | 1
		return
	}
	for {
		s := c.pop(main)
		if s.hits == 0 {
			c.forget(s)
			return
		}
		s.hits--
		c.push(s, main)
	}
}

func (c *Fingerprints) forget(s *Fingerprint) {
	delete(c.byHash, s.hash)
	s.where = gone
	c.Evicted++
}

// Order tells which shapes are on top.
type Order uint8

const (
	ByCalls Order = iota
	ByTime
	ByDisagreement
)

// Top returns copies of the first shapes in an order.
func (c *Fingerprints) Top(by Order, most int) (top []Fingerprint) {
	key := func(s *Fingerprint) float64 {
		switch by {
		case ByTime:
			return s.Seconds
		case ByDisagreement:
			return float64(s.Disagreed)
		}
		return float64(s.Calls)
	}
	less := func(a, b Fingerprint) int {
		if d := key(&b) - key(&a); d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.Text < b.Text {
			return -1
		}
		return 1
	}
	for q := small; q <= main; q++ {
		for s := c.queues[q].first; s != nil; s = s.next {
			if key(s) == 0 || len(top) == most && less(*s, top[most-1]) > 0 {
				continue
			}
			at, _ := slices.BinarySearchFunc(top, *s, less)
			top = slices.Insert(top, at, *s)
			top = top[:min(len(top), most)]
		}
	}
	for i := range top {
		top[i].next, top[i].prev = nil, nil
	}
	return top
}
