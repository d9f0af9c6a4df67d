package admission

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// hash of a client under a seed.
func hash(client, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], client)
	return xxh3.HashSeed(b[:], seed)
}

// sketch finds the heaviest clients of a tenant by what they ask for: Space-Saving (Metwally, Agrawal, El Abbadi 2005)
// with counts that are halved now and then. A client that is over a sixteenth of the whole is always in it.
type sketch struct {
	hitters [heavies]hitter
	total   float64
}

type hitter struct {
	client     uint64
	cost, over float64 // an estimate from above, and by how much it may be over
}

// add books a cost and returns the number of the client, if it is heavy for certain, or else -1.
func (s *sketch) add(client uint64, cost float64) int {
	s.total += cost
	least := 0
	for i := range s.hitters {
		h := &s.hitters[i]
		if h.client == client && h.cost > 0 {
			h.cost += cost
			return s.heavy(i)
		}
		if h.cost < s.hitters[least].cost {
			least = i
		}
	}
	if cost == 0 {
		return -1
	}
	h := &s.hitters[least]
	*h = hitter{client: client, cost: h.cost + cost, over: h.cost}
	return s.heavy(least)
}

func (s *sketch) heavy(i int) int {
	if h := &s.hitters[i]; (h.cost-h.over)*heavies >= s.total {
		return i
	}
	return -1
}

// loudest is the share of the whole that the heaviest client asks for, for certain.
func (s *sketch) loudest() float64 {
	most := 0.0
	for i := range s.hitters {
		most = max(most, s.hitters[i].cost-s.hitters[i].over)
	}
	return most / max(s.total, 1e-9)
}

// halve lets what was asked for long ago count less.
func (s *sketch) halve() {
	s.total /= 2
	for i := range s.hitters {
		s.hitters[i].cost /= 2
		s.hitters[i].over /= 2
	}
}
