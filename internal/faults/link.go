// Package faults stands between processes under test: relays on loopback that cut, delay, lose, double, reorder and garble what
// they send each other, and schedules of such faults that come from a seed and can be made smaller. Faults come from here,
// never from switches in the shipped program.
package faults

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Link is what happens to what one process sends another, one way. The zero value passes all on as it is.
type Link struct {
	Cut      bool          // nothing passes, and nobody is told: datagrams are lost, streams wait, new ones too
	Reset    bool          // connections are reset, new ones too
	Delay    time.Duration // of each datagram and each piece of a stream
	Jitter   time.Duration // up to so much more
	Loss     float64       // share of the datagrams that are lost
	Twice    float64       // ... that come twice
	Late     float64       // ... that come behind later ones, after Delay and Jitter once more
	Flip     float64       // ... and of the pieces of streams in which one bit is turned over
	Truncate float64       // ... and of those that lose their end
	Rate     int           // bytes a second of a stream; 0: as many as come
}

// Counters count what a link did, one way.
type Counters struct{ Datagrams, Bytes, Lost, Doubled, Delayed, Garbled, Connections, Resets int64 }

type pair struct{ from, to string }

// way is one direction between two processes.
type way struct {
	link   Link
	count  Counters
	random *rand.Rand // of its own, so that what befalls its n-th datagram hangs on the seed and n alone
}

// Net is all links between named processes.
type Net struct {
	seed  uint64
	begun time.Time

	mu      sync.Mutex
	ways    map[pair]*way
	names   map[netip.Addr]string
	course  []string
	relays  []*Relay
	changed chan struct{} // closed when a link is made otherwise, and replaced
}

// New returns a net in which nothing is wrong yet.
func New(seed uint64) *Net {
	return &Net{seed: seed, begun: time.Now(), ways: map[pair]*way{}, names: map[netip.Addr]string{}, changed: make(chan struct{})}
}

// way returns one direction; mu is held.
func (n *Net) way(from, to string) *way {
	w := n.ways[pair{from, to}]
	if w == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s>%s", from, to)
		w = &way{random: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.ways[pair{from, to}] = w
	}
	return w
}

// Set makes a link, one way, as told from now on. What is on its way already is not changed, except that a reset ends
// streams that are open.
func (n *Net) Set(from, to string, l Link) {
	n.mu.Lock()
	n.way(from, to).link = l
	n.note("%s > %s: %s", from, to, l)
	n.wake()
	relays := slices.Clone(n.relays)
	n.mu.Unlock()
	if l.Reset {
		for _, r := range relays {
			r.reset(from, to)
		}
	}
}

// Both makes the links between two, both ways.
func (n *Net) Both(a, b string, l Link) {
	n.Set(a, b, l)
	n.Set(b, a, l)
}

// Partition cuts every link between processes of different sides; within a side all links are as before.
func (n *Net) Partition(sides ...[]string) {
	for i, side := range sides {
		for _, other := range slices.Concat(sides[i+1:]...) {
			for _, one := range side {
				n.Both(one, other, Link{Cut: true})
			}
		}
	}
}

// Heal makes all links whole.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.ways {
		w.link = Link{}
	}
	n.wake()
	n.note("all healed")
}

// wake lets streams that wait look again; mu is held.
func (n *Net) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// uncut waits until a link, one way, is not cut, and returns false if the end comes first.
func (n *Net) uncut(from, to string, end <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, changed := n.way(from, to).link.Cut, n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		}
	}
}

// Note adds a line to the course, as for a signal that was sent.
func (n *Net) Note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note(format, args...)
}

func (n *Net) note(format string, args ...any) {
	n.course = append(n.course, fmt.Sprintf("%8.3f s  ", time.Since(n.begun).Seconds())+fmt.Sprintf(format, args...))
}

// Course is what was done to the net, with its seed: what a failed test prints.
func (n *Net) Course() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("seed %d\n", n.seed) + strings.Join(n.course, "\n")
}

// Count is what a link did so far, one way.
func (n *Net) Count(from, to string) Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.way(from, to).count
}

// fate is what befalls one datagram or piece: the copies that arrive, with their delays.
func (n *Net) fate(from, to string, data []byte, datagram bool) (copies [][]byte, delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.way(from, to)
	l, c := &w.link, &w.count
	chance := func(share float64) bool { return share > 0 && w.random.Float64() < share }
	if datagram {
		c.Datagrams++
	}
	c.Bytes += int64(len(data))
	if datagram && (l.Cut || chance(l.Loss)) {
		c.Lost++
		return nil, nil
	}
	if chance(l.Flip) && len(data) > 0 {
		data = slices.Clone(data)
		data[w.random.IntN(len(data))] ^= 1 << w.random.IntN(8)
		c.Garbled++
	}
	if chance(l.Truncate) {
		data = data[:w.random.IntN(len(data)+1)]
		c.Garbled++
	}
	delay := func() time.Duration {
		d := l.Delay
		if l.Jitter > 0 {
			d += time.Duration(w.random.Int64N(int64(l.Jitter)))
		}
		return d
	}
	wait := delay()
	if datagram && chance(l.Late) {
		wait += delay()
		c.Delayed++
	}
	if !datagram && l.Rate > 0 {
		wait += time.Duration(float64(len(data)) / float64(l.Rate) * float64(time.Second))
	}
	copies, delays = [][]byte{data}, []time.Duration{wait}
	if datagram && chance(l.Twice) {
		copies, delays = append(copies, data), append(delays, wait+delay())
		c.Doubled++
	}
	return copies, delays
}

// String tells what is wrong with a link.
func (l Link) String() string {
	var s []string
	say := func(on bool, format string, v any) {
		if on {
			s = append(s, fmt.Sprintf(format, v))
		}
	}
	say(l.Cut, "cut%v", "")
	say(l.Reset, "reset%v", "")
	say(l.Delay > 0, "delay %v", l.Delay)
	say(l.Jitter > 0, "jitter %v", l.Jitter)
	say(l.Loss > 0, "loss %.2f", l.Loss)
	say(l.Twice > 0, "twice %.2f", l.Twice)
	say(l.Late > 0, "late %.2f", l.Late)
	say(l.Flip > 0, "flip %.2f", l.Flip)
	say(l.Truncate > 0, "truncate %.2f", l.Truncate)
	say(l.Rate > 0, "%v B/s", l.Rate)
	if s == nil {
		return "whole"
	}
	return strings.Join(s, ", ")
}
