package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Link describes how the traffic that one process sends another is impaired, in one direction. The zero value forwards
// all of it unchanged. Shares are between 0 and 1, of the datagrams if nothing else is said.
type Link struct {
	Cut      bool          // silently drop datagrams, and stall streams, new ones too
	Reset    bool          // reset connections, new ones too
	Delay    time.Duration // of each datagram and each chunk of a stream
	Jitter   time.Duration // random addition to Delay, exclusive upper bound
	Loss     float64       // share that is lost
	Twice    float64       // share that is duplicated
	Late     float64       // share that is reordered: delayed by Delay and Jitter once more
	Flip     float64       // share, of stream chunks too, in which one bit is flipped
	Truncate float64       // share, of stream chunks too, that is cut short
	Rate     int           // bytes per second of a stream; 0: unlimited
}

// Counters count what happened to the traffic of one direction.
type Counters struct{ Datagrams, Bytes, Lost, Duplicated, Reordered, Corrupted, Connections, Resets int64 }

// String lists the impairments, for the log of a network.
func (l Link) String() string {
	var parts []string
	add := func(present bool, format string, value any) {
		if present {
			parts = append(parts, fmt.Sprintf(format, value))
		}
	}
	add(l.Cut, "cut%v", "")
	add(l.Reset, "reset%v", "")
	add(l.Delay > 0, "delay %v", l.Delay)
	add(l.Jitter > 0, "jitter %v", l.Jitter)
	add(l.Loss > 0, "loss %.2f", l.Loss)
	add(l.Twice > 0, "twice %.2f", l.Twice)
	add(l.Late > 0, "late %.2f", l.Late)
	add(l.Flip > 0, "flip %.2f", l.Flip)
	add(l.Truncate > 0, "truncate %.2f", l.Truncate)
	add(l.Rate > 0, "%v B/s", l.Rate)
	if parts == nil {
		return "unimpaired"
	}
	return strings.Join(parts, ", ")
}

// traffic is the kind of traffic that a link impairs.
type traffic uint8

const (
	datagram traffic = iota
	streamChunk
)

// delivery is one copy of a datagram or stream chunk that arrives, and how long after it was sent.
type delivery struct {
	data  []byte
	delay time.Duration
}

// deliveries draws what happens to one datagram or stream chunk: none if it is lost, two if it is duplicated. The
// caller holds the lock of the network. The order of the draws is part of what a seed means.
func (p *path) deliveries(data []byte, kind traffic) []delivery {
	link, counters := &p.link, &p.counters
	counters.Bytes += int64(len(data))
	if kind == datagram {
		counters.Datagrams++
		if link.Cut || p.chance(link.Loss) {
			counters.Lost++
			return nil
		}
	}
	data = p.corrupt(data)
	delay := p.drawDelay()
	if kind == streamChunk {
		if link.Rate > 0 {
			delay += time.Duration(float64(len(data)) / float64(link.Rate) * float64(time.Second))
		}
		return []delivery{{data, delay}}
	}
	if p.chance(link.Late) {
		delay += p.drawDelay()
		counters.Reordered++
	}
	result := []delivery{{data, delay}}
	if p.chance(link.Twice) {
		result = append(result, delivery{data, delay + p.drawDelay()})
		counters.Duplicated++
	}
	return result
}

// corrupt returns the data with a bit flipped or its end missing, if that is drawn. The argument is not changed.
func (p *path) corrupt(data []byte) []byte {
	if p.chance(p.link.Flip) && len(data) > 0 {
		data = slices.Clone(data)
		position := p.random.IntN(len(data))
		data[position] ^= 1 << p.random.IntN(8)
		p.counters.Corrupted++
	}
	if p.chance(p.link.Truncate) {
		data = data[:p.random.IntN(len(data)+1)]
		p.counters.Corrupted++
	}
	return data
}

// chance returns true with a probability. Nothing is drawn for probability 0.
func (p *path) chance(probability float64) bool {
	return probability > 0 && p.random.Float64() < probability
}

func (p *path) drawDelay() time.Duration {
	delay := p.link.Delay
	if p.link.Jitter > 0 {
		delay += time.Duration(p.random.Int64N(int64(p.link.Jitter)))
	}
	return delay
}
