// Package idclaim remembers the ids of requests that must not run twice, for an id that comes again after its client
// has left. Table decides; Open shares its words between the processes of one pooler, of which there are several during
// an upgrade.
package idclaim

import (
	"sync/atomic"

	"github.com/zeebo/xxh3"
)

// Sizes of a table, in words. A bucket is a cache line.
const (
	bucketWords = 8
	buckets     = 8192
	tableWords  = bucketWords * buckets
)

// free is the content of a word without a claim.
const free = 0

// Table holds the claims of ids, as their hashes, in a fixed number of buckets. When a bucket is full, a new claim
// replaces one of its older ones, so that the memory is bounded whatever ids come. The first word of a bucket counts
// its replacements. A Table may be used by several processes that share its words: each claim is one atomic step,
// followed by a look for another claim of the same id.
type Table struct{ words []atomic.Uint64 }

// NewTable returns an empty table of this process alone.
func NewTable() *Table { return &Table{make([]atomic.Uint64, tableWords)} }

// hashOf returns the hash of an id, which is never free.
func hashOf(id string) uint64 { return max(xxh3.HashString(id), free+1) }

// bucketOf returns the bucket of a hash.
func (table *Table) bucketOf(hash uint64) []atomic.Uint64 {
	first := int(hash%buckets) * bucketWords
	return table.words[first : first+bucketWords]
}

// Claim claims an id, and reports whether no claim of it is known. If two processes claim an id at the same time, both
// may get false.
func (table *Table) Claim(id string) bool {
	hash := hashOf(id)
	bucket := table.bucketOf(hash)
	if count(bucket, hash) > 0 {
		return false
	}
	place(bucket, hash)
	if count(bucket, hash) > 1 {
		table.Release(id)
		return false
	}
	return true
}

// Release forgets one claim of an id, whose request certainly never ran.
func (table *Table) Release(id string) {
	hash := hashOf(id)
	for i := range entries(table.bucketOf(hash)) {
		if entries(table.bucketOf(hash))[i].CompareAndSwap(hash, free) {
			return
		}
	}
}

// entries returns the words of a bucket that hold claims.
func entries(bucket []atomic.Uint64) []atomic.Uint64 { return bucket[1:] }

// count returns how many claims of a hash a bucket holds.
func count(bucket []atomic.Uint64, hash uint64) (found int) {
	for i := range entries(bucket) {
		if entries(bucket)[i].Load() == hash {
			found++
		}
	}
	return found
}

// place puts a hash into a free word of the bucket, or else into the one that was replaced the longest time ago.
func place(bucket []atomic.Uint64, hash uint64) {
	for i := range entries(bucket) {
		if entries(bucket)[i].CompareAndSwap(free, hash) {
			return
		}
	}
	next := (bucket[0].Add(1) - 1) % (bucketWords - 1)
	entries(bucket)[next].Store(hash)
}
