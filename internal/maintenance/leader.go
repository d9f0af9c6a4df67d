package maintenance

import (
	"maps"
	"slices"
	"time"
)

// Observation is the state of the machines and poolers as the leader sees it now.
type Observation struct {
	Snapshot
	// Incarnations holds the incarnation of each pooler that membership knows as live, or as failed without an
	// announcement that it leaves.
	Incarnations map[string]uint64
	// Live lists the live poolers among Incarnations.
	Live []string
	// Departed holds the incarnation of each pooler that announced that it leaves.
	Departed map[string]uint64
	// LastEvidence holds when each database last gave evidence of its state, on this pooler's clock.
	LastEvidence map[string]time.Duration
}

// live reports whether an instance of a pooler is observed as running.
func (o Observation) live(instance Instance) bool {
	return o.Incarnations[instance.Name] <= instance.Incarnation && slices.Contains(o.Live, instance.Name)
}

// Policy is the configuration by which an installation carries out maintenance.
type Policy struct {
	Self          Instance
	Hook          bool          // a hook does the work; otherwise a person reports its beginning and end
	HookHandsOver bool          // a hook performs hand-overs; otherwise a person does
	MaxHookCalls  int           // maximum number of calls for one piece of work, if the hook or its caller fails
	Lease         time.Duration // minimum; poolers report their leases, and the longest one binds
	Skew          time.Duration // maximum difference that two clocks develop during a lease
	SettleTime    time.Duration // for how long a recovering machine has to be seen healthy
}

// maxCalls returns how often a hook may be called for one piece of work.
func (p Policy) maxCalls() int { return max(1, p.MaxHookCalls) }

// Call is one call of a hook. All calls for the same work have the same number.
type Call struct {
	Machine string // the machine to be maintained, or the primary that hands over
	To      string // the replica that takes over; empty: the call is for maintenance work
	Number  uint64 // fencing number of the attempt or hand-over
}

// Leader carries out a plan, one proposal at a time. It stores since when it has observed each state. These times are
// on its own clock, because the clocks of two poolers cannot be compared. A new leader begins without them, and each
// wait starts again.
type Leader struct {
	policy  Policy
	tracked map[string]stepTrack // by machine
	window  window
}

// window is the time within which machines of a plan may be taken.
type window struct {
	plan      string        // ID
	opened    time.Duration // when this leader first saw the plan
	remaining time.Duration // from then on, by the wall clock at that time
}

// stepTrack records since when a step has been in its state.
type stepTrack struct {
	number       uint64
	state        State
	since        time.Duration
	healthySince time.Duration // start of the uninterrupted healthy time; 0: the machine is not healthy
}

// NewLeader returns a leader that has observed nothing yet.
func NewLeader(policy Policy) *Leader {
	return &Leader{policy: policy, tracked: map[string]stepTrack{}}
}

const (
	// evidenceAge is the age above which the evidence of a database is refreshed by a probe.
	evidenceAge = 2 * time.Second

	// maxRefutedGrowth limits, in ms, by how much the incarnation of an instance may have grown since it wrote its
	// status. It grows when other poolers suspect the instance to be gone, and the instance refutes that.
	maxRefutedGrowth = uint64(2 * time.Minute / time.Millisecond)
)

// Propose returns the next proposal. now is this pooler's clock. wall is the Unix time that operators see. It also
// gives the remaining time of the plan when this leader first sees the plan. Steps of the wall clock have no other
// effect.
func (l *Leader) Propose(now, wall time.Duration, record Record, observation Observation) Proposal {
	proposing := &round{
		leader:      l,
		policy:      l.policy,
		now:         now,
		wall:        wall,
		record:      record,
		observation: observation,
		plan:        record.Plan,
		states:      map[string]State{},
	}
	proposing.forgetDeparted()
	if !record.Plan.Active() {
		clear(l.tracked)
		return proposing.proposal
	}
	l.openWindow(now, wall, record.Plan)
	proposing.rules = l.rules(record)
	proposing.poolers = knownPoolers(record, observation, proposing.proposal.DeleteStatuses)
	proposing.advanceSteps()
	proposing.advanceHandOver()
	if len(proposing.proposal.Steps) == 0 { // one change at a time, each based on agreed steps
		proposing.schedule()
	}
	proposing.proposeChangedPlan()
	proposing.proposeProbes()
	return proposing.proposal
}

// sameInstanceLeft reports whether the instance that wrote a status is the instance that has left, given both
// incarnations. An incarnation begins as the Unix time. A status with a far lower incarnation is from a later process,
// which started after the clock of its machine was stepped back. This process may send. If it is gone too, operators
// have to run the forget command.
func sameInstanceLeft(reported, left uint64) bool {
	return left >= reported && left-reported <= maxRefutedGrowth
}

// openWindow records the remaining time of a plan when this leader first sees the plan.
func (l *Leader) openWindow(now, wall time.Duration, plan Plan) {
	if l.window.plan == plan.ID {
		return
	}
	remaining := plan.Spec.Until.Sub(time.Unix(0, int64(wall)))
	l.window = window{plan: plan.ID, opened: now, remaining: remaining}
}

// windowOver reports whether the time window of a plan has ended.
func (l *Leader) windowOver(now time.Duration, plan Plan) bool {
	return !plan.Spec.Until.IsZero() && now-l.window.opened > l.window.remaining
}

// knownPoolers returns the poolers that could send to a machine: those that membership knows, and those that have
// written a status and have not left, even if membership has forgotten them.
func knownPoolers(record Record, observation Observation, departed []string) Poolers {
	poolers := Poolers{Incarnations: map[string]uint64{}, PlanReadBy: map[string]uint64{}}
	maps.Copy(poolers.Incarnations, observation.Incarnations)
	for name, status := range record.Statuses {
		if slices.Contains(departed, name) {
			continue
		}
		poolers.Incarnations[name] = max(poolers.Incarnations[name], status.Incarnation)
		if status.Plan == record.Plan.ID {
			poolers.PlanReadBy[name] = status.Incarnation
		}
	}
	return poolers
}

// rules returns the rules that bind all poolers, with the longest lease of any pooler.
func (l *Leader) rules(record Record) Rules {
	lease := l.policy.Lease
	for _, status := range record.Statuses {
		lease = max(lease, time.Duration(status.LeaseMS)*time.Millisecond)
	}
	return Rules{
		Lease:             lease,
		Skew:              l.policy.Skew,
		IgnoreUnreachable: record.Plan.Spec.IgnoreUnreachable,
		MaxHookCalls:      l.policy.MaxHookCalls,
	}
}

// track records since when a step has been in its state, and since when its machine has been healthy.
func (l *Leader) track(now time.Duration, step Step, observation Observation) stepTrack {
	last := l.tracked[step.Machine]
	if last.number != step.Number || last.state != step.State {
		last = stepTrack{number: step.Number, state: step.State, since: now}
	}
	if !observation.healthyAgain(step, last.since) {
		last.healthySince = 0
	} else if last.healthySince == 0 {
		last.healthySince = now
	}
	l.tracked[step.Machine] = last
	return last
}

// healthyAgain reports whether the machine of a step is ready, by evidence that is newer than a time. A pooler must
// have a later incarnation than the one that was taken out. A database must have given evidence since that time.
func (o Observation) healthyAgain(step Step, after time.Duration) bool {
	machine := o.Machines[step.Machine]
	if machine == nil || !machine.ready() {
		return false
	}
	if machine.Kind == Pooler {
		return machine.Incarnation > step.Incarnation
	}
	return o.LastEvidence[machine.Name] > after
}
