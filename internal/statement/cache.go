package statement

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Fingerprint is the cached state of one fingerprint. It is encoded as JSON under the names of its exported fields.
type Fingerprint struct {
	Text      string // the fingerprint, truncated to maxTextBytes
	Kind      Kind
	MayWrite  bool
	Why       Why
	Cost      Cost
	Calls     int64   // analysed statements with this fingerprint
	Seconds   float64 // total latency of its calls
	Disagreed int64   // calls whose label disagrees with the analysis
	Logged    bool    // a disagreement has been logged

	hash       xxh3.Uint128
	bytes      int
	hits       uint8
	queue      queueID
	next, prev *Fingerprint
}

// queueID identifies the queue that a cached fingerprint is in.
type queueID uint8

const (
	notCached  queueID = iota
	smallQueue         // new fingerprints
	mainQueue          // fingerprints that were used again
)

// Sizes and parameters of the cache.
const (
	maxTextBytes     = 256 // stored bytes of a fingerprint's text
	fingerprintBytes = 320 // memory per fingerprint without its text, including its entries in the tables
	smallShare       = 0.1 // share of the bytes that the small queue may use
	ghostShare       = 0.1 // share of the bytes for the hashes of fingerprints evicted from the small queue
	ghostHits        = 4   // initial hit count of a fingerprint that returns after its eviction from the small queue
	maxHits          = 15  // bound of a hit count; each hit defers an eviction from the main queue once
)

// FingerprintCache is a cache of fingerprints whose size is bounded in bytes. It uses S3-FIFO (Yang, Qiu, Zhang, Yue,
// Vinayak 2023): new fingerprints enter a small queue, and only those that are used again enter the main queue.
// Therefore a flood of fingerprints that are used once passes through the small queue only. The cache must count bytes
// and be deterministic. The available libraries count entries, or seed themselves and run goroutines.
// A FingerprintCache is not safe for concurrent use.
type FingerprintCache struct {
	byHash   map[xxh3.Uint128]*Fingerprint
	queues   [mainQueue + 1]fingerprintQueue
	ghosts   []uint32 // high bits of the hashes of fingerprints evicted from the small queue; indexed by the low bits
	maxBytes int
	seed     uint64
	Hits     int64
	Misses   int64
	Evicted  int64
}

// fingerprintQueue is a queue of fingerprints, as a doubly linked list, and its size in bytes.
type fingerprintQueue struct {
	first, last *Fingerprint // first is the next to be evicted
	bytes       int
}

// NewFingerprintCache returns a cache with a maximum size in bytes. Clients that do not know the seed cannot choose
// texts whose hashes collide.
func NewFingerprintCache(bytes int, seed uint64) *FingerprintCache {
	n := max(1, int(ghostShare*float64(bytes))/4)
	return &FingerprintCache{
		byHash:   map[xxh3.Uint128]*Fingerprint{},
		ghosts:   make([]uint32, n),
		maxBytes: bytes - 4*n,
		seed:     seed,
	}
}

// Bytes returns the size of the cache in bytes.
func (c *FingerprintCache) Bytes() int {
	return c.queues[smallQueue].bytes + c.queues[mainQueue].bytes + 4*len(c.ghosts)
}

// Len returns the number of cached fingerprints.
func (c *FingerprintCache) Len() int { return len(c.byHash) }

// Get returns the cached state of a fingerprint, which it adds to the cache if necessary. The info is the analysis of a
// text with this fingerprint. The cache owns the result and may evict it at the next call of Get.
func (c *FingerprintCache) Get(text []byte, info *Info) *Fingerprint {
	hash := xxh3.Hash128Seed(text, c.seed)
	if fingerprint := c.byHash[hash]; fingerprint != nil {
		c.Hits++
		fingerprint.hits = min(fingerprint.hits+1, maxHits)
		if fingerprint.Why != info.Why { // the rules have changed since
			fingerprint.Kind, fingerprint.MayWrite, fingerprint.Why = info.Kind, info.MayWrite, info.Why
			fingerprint.Logged = false
		}
		return fingerprint
	}
	c.Misses++
	stored := string(text[:min(len(text), maxTextBytes)])
	fingerprint := &Fingerprint{
		Text:     stored,
		Kind:     info.Kind,
		MayWrite: info.MayWrite,
		Why:      info.Why,
		hash:     hash,
		bytes:    fingerprintBytes + len(stored),
	}
	queue := smallQueue
	if ghost := c.ghost(hash); *ghost == uint32(hash.Hi)|1 { // the fingerprint was evicted recently
		*ghost = 0
		queue, fingerprint.hits = mainQueue, ghostHits
	}
	for c.queues[smallQueue].bytes+c.queues[mainQueue].bytes+fingerprint.bytes > c.maxBytes {
		c.evict()
	}
	c.byHash[hash] = fingerprint
	c.push(fingerprint, queue)
	return fingerprint
}

// ghost returns the slot of a hash in ghosts. Hashes that share a slot overwrite each other.
func (c *FingerprintCache) ghost(hash xxh3.Uint128) *uint32 {
	return &c.ghosts[hash.Lo%uint64(len(c.ghosts))]
}

// ObserveCost records the latency of one call that ran concurrently with a number of other requests at its database.
func (f *Fingerprint) ObserveCost(latency time.Duration, others int) {
	f.Cost.Add(latency, others)
	f.Seconds += latency.Seconds()
}

// Contains reports whether a fingerprint is still cached.
func (c *FingerprintCache) Contains(f *Fingerprint) bool { return f.queue != notCached }

// push appends a fingerprint to a queue.
func (c *FingerprintCache) push(f *Fingerprint, to queueID) {
	q := &c.queues[to]
	f.queue, f.prev, f.next = to, q.last, nil
	if q.last == nil {
		q.first = f
	} else {
		q.last.next = f
	}
	q.last = f
	q.bytes += f.bytes
}

// pop removes and returns the first fingerprint of a queue that is not empty.
func (c *FingerprintCache) pop(from queueID) *Fingerprint {
	q := &c.queues[from]
	f := q.first
	if q.first = f.next; q.first == nil {
		q.last = nil
	} else {
		q.first.prev = nil
	}
	f.next = nil
	q.bytes -= f.bytes
	return f
}

// evictsSmall reports whether the next eviction is from the small queue.
func (c *FingerprintCache) evictsSmall() bool {
	if c.queues[smallQueue].first == nil {
		return false
	}
	overShare := float64(c.queues[smallQueue].bytes) > smallShare*float64(c.maxBytes)
	return overShare || c.queues[mainQueue].first == nil
}

// evict removes one fingerprint from the cache.
func (c *FingerprintCache) evict() {
	for c.evictsSmall() {
		f := c.pop(smallQueue)
		if f.hits > 0 {
			f.hits = 0
			c.push(f, mainQueue)
			continue
		}
		c.remove(f)
		*c.ghost(f.hash) = uint32(f.hash.Hi) | 1
		return
	}
	for {
		f := c.pop(mainQueue)
		if f.hits == 0 {
			c.remove(f)
			return
		}
		f.hits--
		c.push(f, mainQueue)
	}
}

// remove removes a fingerprint that pop has taken from its queue.
func (c *FingerprintCache) remove(f *Fingerprint) {
	delete(c.byHash, f.hash)
	f.queue = notCached
	c.Evicted++
}

// Order is the order in which Top returns fingerprints.
type Order uint8

// The orders, each descending.
const (
	ByCalls Order = iota
	ByTime
	ByDisagreement
)

// Top returns copies of the first fingerprints in an order, at most limit. It omits those with zero calls, time or
// disagreements, whichever the order compares.
func (c *FingerprintCache) Top(order Order, limit int) (top []Fingerprint) {
	value := func(f *Fingerprint) float64 {
		switch order {
		case ByTime:
			return f.Seconds
		case ByDisagreement:
			return float64(f.Disagreed)
		}
		return float64(f.Calls)
	}
	compare := func(a, b Fingerprint) int {
		if difference := value(&b) - value(&a); difference != 0 {
			return int(math.Copysign(1, difference))
		}
		if a.Text < b.Text {
			return -1
		}
		return 1
	}
	for q := smallQueue; q <= mainQueue; q++ {
		for f := c.queues[q].first; f != nil; f = f.next {
			if value(f) == 0 || len(top) == limit && compare(*f, top[limit-1]) > 0 {
				continue
			}
			index, _ := slices.BinarySearchFunc(top, *f, compare)
			top = slices.Insert(top, index, *f)
			top = top[:min(len(top), limit)]
		}
	}
	for i := range top {
		top[i].next, top[i].prev = nil, nil
	}
	return top
}
