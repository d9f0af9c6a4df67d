package maintenance

import (
	"slices"
	"time"
)

// Follower is a pooler's part: where it may send, by what it has read of the record. It knows its own lease alone, and asks nobody on a
// request's path.
type Follower struct {
	rules      Rules
	startedAt  time.Duration
	renewedAt  time.Duration
	known      bool   // it has read since it began
	revision   uint64 // of the newest that it has heard of
	steps      map[string]Step
	unfinished []string // machines of the plan that are not over, in its order
}

// NewFollower returns the reader of a pooler that has just begun, with nothing in mind.
func NewFollower(now time.Duration, r Rules) *Follower { return &Follower{rules: r, startedAt: now} }

// Refresh takes in the record as a majority held it at a moment after it was asked for. The lease counts from when that was: what has been
// agreed since is not in it. Steps are in the order of the plan.
func (p *Follower) Refresh(asked time.Duration, revision uint64, steps []Step) {
	p.renewedAt = max(p.renewedAt, asked)
	p.known = true
	p.Observe(revision, steps)
}

// Observe takes in what has been agreed up to a revision. It renews no lease: more may have been agreed since.
func (p *Follower) Observe(revision uint64, steps []Step) {
	if revision < p.revision { // Against answers that overtake each other.
		return
	}
	p.revision = revision
	p.steps, p.unfinished = map[string]Step{}, nil
	for _, s := range steps {
		p.steps[s.Machine] = s
		if !s.State.Finished() {
			p.unfinished = append(p.unfinished, s.Machine)
		}
	}
}

// Known tells whether the record has been read.
func (p *Follower) Known() bool { return p.known }

// LeaseEnd is when the lease runs out, if nothing is read before.
func (p *Follower) LeaseEnd() time.Duration {
	if !p.known {
		return p.startedAt + p.rules.Lease
	}
	return p.renewedAt + p.rules.Lease
}

// MaySend tells whether anything new may be sent to a machine. The others are those of its group that could serve in its place. Blind tells
// that this is the one case in which a request can reach a machine at work.
//
// While the lease holds it may, unless the machine is barred. Once it has run out, anything that the plan still lists could be at work:
// it may send to what is not listed. Where all of a group are listed, and at a start that finds no record, something has to
// serve all the same: of those not known to be barred the one that the plan takes last, or any if none was read; that is blind.
func (p *Follower) MaySend(now time.Duration, machine string, others []string) (may, blind bool) {
	barred := func(name string) bool { return p.steps[name].State.Blocked() }
	switch {
	case barred(machine):
		return false, false
	case now < p.LeaseEnd():
		return p.known, false // or else it will be read in a moment
	case !p.known:
		return true, true
	}
	place := slices.Index(p.unfinished, machine)
	if place < 0 {
		return true, false
	}
	for _, other := range others {
		if k := slices.Index(p.unfinished, other); k < 0 || k > place && !barred(other) {
			return false, false
		}
	}
	return true, true
}

// Stopped are the tries for which this pooler is to say that it has stopped: those agreed on machines where it has nothing out any
// more.
func (p *Follower) Stopped(out func(machine string) int) (said map[string]uint64) {
	said = map[string]uint64{}
	for name, s := range p.steps {
		if s.State == Draining && out(name) == 0 {
			said[name] = s.Number
		}
	}
	return said
}
