package works

import (
	"slices"
	"time"
)

// Reader is a pooler's part: where it may send, by what it has read of the record. It knows its own lease alone, and asks nobody on a
// request's path.
type Reader struct {
	Blind int64 // times it was asked about a group in which every machine could be at work

	rules  Rules
	began  time.Duration
	read   time.Duration
	known  bool // it has read since it began
	steps  map[string]Step
	listed []string // machines of the plan that are not over, in its order
}

// NewReader returns the reader of a pooler that has just begun, with nothing in mind.
func NewReader(now time.Duration, r Rules) *Reader { return &Reader{rules: r, began: now} }

// Read takes in the record as it was at a time, not later than now. The lease counts from when the read was asked for: what has been
// agreed since is not in it.
func (p *Reader) Read(asked time.Duration, steps []Step) {
	if p.known && asked < p.read { // Against answers that overtake each other.
		return
	}
	p.read, p.known = asked, true
	p.steps, p.listed = map[string]Step{}, nil
	for _, s := range steps {
		p.steps[s.Machine] = s
		if !s.State.Over() {
			p.listed = append(p.listed, s.Machine)
		}
	}
}

// May tells whether anything new may be sent to a machine. The others are those of its group that could serve in its place.
//
// While the lease holds it may, unless the machine is barred. Once it has run out, anything that the plan still lists could be at work:
// it may send to what is not listed. Where all of a group are listed, and at a start that finds no record, something has to
// serve all the same: the one that the plan takes last, or any if none was read; that is counted, as it is the one case in which
// a request can reach a machine at work.
func (p *Reader) May(now time.Duration, machine string, others []string) bool {
	if p.known && p.steps[machine].State.Barred() {
		return false
	}
	if p.known && now-p.read < p.rules.Lease {
		return true
	}
	if !p.known {
		if now-p.began < p.rules.Lease { // it will be read in a moment
			return false
		}
		p.Blind++
		return true
	}
	place := slices.Index(p.listed, machine)
	if place < 0 {
		return true
	}
	for _, other := range others {
		if k := slices.Index(p.listed, other); k < 0 || k > place {
			return false
		}
	}
	p.Blind++
	return true
}

// Stopped are the tries for which this pooler is to say that it has stopped: those agreed on machines where it has nothing out any
// more.
func (p *Reader) Stopped(out func(machine string) int) (said map[string]uint64) {
	said = map[string]uint64{}
	for name, s := range p.steps {
		if s.State == Agreed && out(name) == 0 {
			said[name] = s.Number
		}
	}
	return said
}
