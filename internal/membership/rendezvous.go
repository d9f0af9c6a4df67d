package membership

import "hash/fnv"

// rendezvousRank returns the rank of a name among others by rendezvous hashing, from 0. The order differs for each
// subject and is the same at every pooler. When another name joins or leaves, the relative order of the remaining names
// does not change.
func rendezvousRank(subject, name string, others []string) (rank int) {
	own := rendezvousWeight(subject, name)
	for _, other := range others {
		if weight := rendezvousWeight(subject, other); weight > own || weight == own && other < name {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(subject, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject + "\x00" + name)) // it returns no errors
	return mixHash(h.Sum64())
}
