// Package faults injects network faults between processes under test. Relays on loopback drop, delay, duplicate,
// reorder and corrupt what the processes send each other, and schedules of such faults are generated from a seed and
// shrunk when they make a test fail. All faults are injected here; the shipped program has no switch for them.
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

// outside is the name of processes that are not registered.
const outside = "outside"

// direction is from one named process to another.
type direction struct{ from, to string }

// path is the state of one direction between two processes.
type path struct {
	link     Link
	counters Counters
	random   *rand.Rand // of this path alone, so that what happens to its n-th datagram depends on the seed and n only
}

// Net is the network between named processes: all links, and the relays that apply them. It is safe for concurrent use.
type Net struct {
	seed  uint64
	begun time.Time

	mu        sync.Mutex // guards all below, and the paths
	paths     map[direction]*path
	processes map[netip.Addr]string // names by the address that a process sends from
	log       []string
	relays    []*Relay
	changed   chan struct{} // closed and replaced when any link changes
}

// New returns a network without faults. The seed determines all random impairments.
func New(seed uint64) *Net {
	return &Net{
		seed: seed, begun: time.Now(), paths: map[direction]*path{}, processes: map[netip.Addr]string{},
		changed: make(chan struct{}),
	}
}

// Register names the process that sends from an address. Processes that are not registered are called "outside".
func (n *Net) Register(name string, addr netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[addr] = name
}

// sender returns the name of the process that sends from an address.
func (n *Net) sender(addr netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name := n.processes[addr.Unmap()]; name != "" {
		return name
	}
	return outside
}

// path returns the state of one direction. The caller holds mu.
func (n *Net) path(from, to string) *path {
	existing := n.paths[direction{from, to}]
	if existing != nil {
		return existing
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s>%s", from, to) // writing to a hash never fails
	created := &path{random: rand.New(rand.NewPCG(n.seed, hash.Sum64()))}
	n.paths[direction{from, to}] = created
	return created
}

// Set replaces the link of one direction. Data that was sent before is not affected, except that Reset ends open
// streams.
func (n *Net) Set(from, to string, link Link) {
	n.mu.Lock()
	n.path(from, to).link = link
	n.note("%s > %s: %s", from, to, link)
	n.signalChange()
	relays := slices.Clone(n.relays)
	n.mu.Unlock()
	if !link.Reset {
		return
	}
	for _, relay := range relays {
		relay.resetStreams(from, to)
	}
}

// Both replaces the links of both directions between two processes.
func (n *Net) Both(a, b string, link Link) {
	n.Set(a, b, link)
	n.Set(b, a, link)
}

// Partition cuts every link between processes of different sides. Links within a side stay as they are.
func (n *Net) Partition(sides ...[]string) {
	for i, side := range sides {
		for _, other := range slices.Concat(sides[i+1:]...) {
			for _, one := range side {
				n.Both(one, other, Link{Cut: true})
			}
		}
	}
}

// Heal removes the faults of all links.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, healed := range n.paths {
		healed.link = Link{}
	}
	n.signalChange()
	n.note("all healed")
}

// signalChange wakes streams that wait for a link to change. The caller holds mu.
func (n *Net) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitWhileCut waits until a direction is not cut, and returns false if cancelled is closed first.
func (n *Net) waitWhileCut(from, to string, cancelled <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, changed := n.path(from, to).link.Cut, n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-cancelled:
			return false
		}
	}
}

// countConnection counts a new connection, and whether a link resets it.
func (n *Net) countConnection(from, to string) (reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	forward, backward := n.path(from, to), n.path(to, from)
	forward.counters.Connections++
	reset = forward.link.Reset || backward.link.Reset
	if reset {
		forward.counters.Resets++
	}
	return reset
}

// countReset counts an open connection that was reset.
func (n *Net) countReset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.path(from, to).counters.Resets++
}

// deliveries draws what happens to one datagram or stream chunk.
func (n *Net) deliveries(from, to string, data []byte, kind traffic) []delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(from, to).deliveries(data, kind)
}

// Note adds a line to the log, for example about a signal that was sent.
func (n *Net) Note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note(format, args...)
}

// note adds a line to the log. The caller holds mu.
func (n *Net) note(format string, args ...any) {
	elapsed := fmt.Sprintf("%8.3f s  ", time.Since(n.begun).Seconds())
	n.log = append(n.log, elapsed+fmt.Sprintf(format, args...))
}

// Course returns the seed and the log of all faults, for the output of a failed test.
func (n *Net) Course() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("seed %d\n", n.seed) + strings.Join(n.log, "\n")
}

// Count returns what has happened so far to the traffic of one direction.
func (n *Net) Count(from, to string) Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(from, to).counters
}
