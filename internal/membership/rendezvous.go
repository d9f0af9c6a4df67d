package membership

import "hash/fnv"

// rendezvousRank returns the place of a name among others, in an order that differs for each subject and is the same at
// every pooler (rendezvous hashing). When another name joins or leaves, the remaining names keep their relative order.
func rendezvousRank(subject, name string, among []string) (place int) {
	own := rendezvousWeight(subject, name)
	for _, other := range among {
		if weight := rendezvousWeight(subject, other); weight > own || weight == own && other < name {
			place++
		}
	}
	return place
}

func rendezvousWeight(subject, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject + "\x00" + name)) // it returns no errors
	return mixHash(h.Sum64())
}
