package membership

import (
	"hash/fnv"
)

// rank is the place of a name among others in an order that is another one for each subject, and at every pooler alike (rendezvous
// hashing): one that comes or goes moves nobody else past each other.
func rank(subject, name string, among []string) (place int) {
	weight := func(other string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(subject + "\x00" + other))
		return spread(h.Sum64())
	}
	own := weight(name)
	for _, other := range among {
		if w := weight(other); w > own || w == own && other < name {
			place++
		}
	}
	return place
}
