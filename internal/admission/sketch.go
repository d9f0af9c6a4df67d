package admission

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// hash returns the hash of a value under a seed.
func hash(value, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], value)
	return xxh3.HashSeed(b[:], seed)
}

// sketch finds the heaviest clients of a tenant by the cost of their requests: Space-Saving (Metwally, Agrawal, El
// Abbadi 2005) with counts that are halved periodically. A client with over a sixteenth of the total is always in it.
type sketch struct {
	hitters [heavyFlows]hitter
	total   float64
}

// hitter is a client in a sketch.
type hitter struct {
	client             uint64
	cost, overestimate float64 // upper bound of the client's cost, and its maximum error
}

// add adds the cost of a request. It returns the client's index in hitters if the client is certainly heavy, else -1.
func (s *sketch) add(client uint64, cost float64) int {
	s.total += cost
	lightest := 0
	for i := range s.hitters {
		h := &s.hitters[i]
		if h.client == client && h.cost > 0 {
			h.cost += cost
			return s.certainlyHeavy(i)
		}
		if h.cost < s.hitters[lightest].cost {
			lightest = i
		}
	}
	if cost == 0 {
		return -1
	}
	h := &s.hitters[lightest]
	*h = hitter{client: client, cost: h.cost + cost, overestimate: h.cost}
	return s.certainlyHeavy(lightest)
}

// certainlyHeavy returns the index of a hitter if even the lower bound of its cost makes it heavy, else -1.
func (s *sketch) certainlyHeavy(i int) int {
	if h := &s.hitters[i]; (h.cost-h.overestimate)*heavyFlows >= s.total {
		return i
	}
	return -1
}

// heaviestShare returns a lower bound of the heaviest client's share of the total.
func (s *sketch) heaviestShare() float64 {
	heaviest := 0.0
	for i := range s.hitters {
		heaviest = max(heaviest, s.hitters[i].cost-s.hitters[i].overestimate)
	}
	return heaviest / max(s.total, 1e-9) // 0 for a total of 0
}

// halve halves all costs: older ones count less.
func (s *sketch) halve() {
	s.total /= 2
	for i := range s.hitters {
		s.hitters[i].cost /= 2
		s.hitters[i].overestimate /= 2
	}
}
