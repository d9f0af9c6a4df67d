package maintenance

import (
	"slices"
	"time"
)

// Follower is a pooler's view of the record. It decides to which machines the pooler may send, from the steps that the
// pooler has read and from its own lease. It does no I/O, so it can be used on the path of requests.
type Follower struct {
	rules      Rules
	startedAt  time.Duration
	renewedAt  time.Duration // when the newest read was requested
	known      bool          // whether the record has been read since the start
	revision   uint64        // the newest observed
	steps      map[string]Step
	unfinished []string // machines of the plan that are not finished, in the plan's order
}

// NewFollower returns the follower of a pooler that has just started and has not read the record.
func NewFollower(now time.Duration, rules Rules) *Follower {
	return &Follower{rules: rules, startedAt: now}
}

// Refresh applies the steps that a majority had stored at some time after requestedAt, and renews the lease. The lease
// counts from the request, because the answer may lack later changes. Steps are in the order of the plan.
func (f *Follower) Refresh(requestedAt time.Duration, revision uint64, steps []Step) {
	f.renewedAt = max(f.renewedAt, requestedAt)
	f.known = true
	f.Observe(revision, steps)
}

// Observe applies the steps of a revision. It does not renew the lease, because later revisions may exist.
func (f *Follower) Observe(revision uint64, steps []Step) {
	if revision < f.revision { // A late answer must not replace a newer one.
		return
	}
	f.revision = revision
	f.steps, f.unfinished = map[string]Step{}, nil
	for _, step := range steps {
		f.steps[step.Machine] = step
		if !step.State.Finished() {
			f.unfinished = append(f.unfinished, step.Machine)
		}
	}
}

// Known reports whether the record has been read since the start.
func (f *Follower) Known() bool { return f.known }

// LeaseEnd returns when the lease expires if no read renews it.
func (f *Follower) LeaseEnd() time.Duration {
	if !f.known {
		return f.startedAt + f.rules.Lease
	}
	return f.renewedAt + f.rules.Lease
}

// MaySend reports whether a new request may be sent to a machine. others are the machines of its group that could serve
// the request instead. blind reports the only case in which a request can reach a machine in maintenance.
//
// While the lease is valid, requests may be sent to each machine that is not blocked. After it has expired, each
// machine that the plan has not finished could be in maintenance, and requests may be sent only to the other machines.
// If a group has no other machine, or no record has been read since the start, a machine has to serve nevertheless. It
// is the machine that the plan takes last among those not known to be blocked. Without a record, it is any machine.
// This is the blind case.
func (f *Follower) MaySend(now time.Duration, machine string, others []string) (may, blind bool) {
	switch {
	case f.blocked(machine):
		return false, false
	case now < f.LeaseEnd():
		return f.known, false // after a start, sends nothing before the first read or the lease's end
	case !f.known:
		return true, true
	}
	index := slices.Index(f.unfinished, machine)
	if index < 0 {
		return true, false
	}
	for _, other := range others {
		otherIndex := slices.Index(f.unfinished, other)
		if otherIndex < 0 || otherIndex > index && !f.blocked(other) {
			return false, false
		}
	}
	return true, true
}

// blocked reports whether the record forbids new requests to a machine.
func (f *Follower) blocked(machine string) bool { return f.steps[machine].State.Blocked() }

// Stopped returns, by machine, the fencing numbers of the attempts for which this pooler has to report that it has
// stopped. These are the attempts at draining machines to which the pooler has no request in flight.
func (f *Follower) Stopped(inFlight func(machine string) int) map[string]uint64 {
	stopped := map[string]uint64{}
	for name, step := range f.steps {
		if step.State == Draining && inFlight(name) == 0 {
			stopped[name] = step.Number
		}
	}
	return stopped
}
