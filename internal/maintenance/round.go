package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// round computes one proposal.
type round struct {
	leader      *Leader
	policy      Policy
	now         time.Duration
	wall        time.Duration
	record      Record
	observation Observation
	poolers     Poolers
	rules       Rules

	plan     Plan             // as proposed so far
	states   map[string]State // of the plan's machines, as proposed so far
	proposal Proposal
}

// forgetDeparted proposes to delete the statuses of poolers that have left.
func (r *round) forgetDeparted() {
	for _, name := range slices.Sorted(maps.Keys(r.record.Statuses)) {
		_, known := r.observation.Incarnations[name]
		if !known && sameInstanceLeft(r.record.Statuses[name].Incarnation, r.observation.Departed[name]) {
			r.proposal.DeleteStatuses = append(r.proposal.DeleteStatuses, name)
		}
	}
}

// advanceSteps advances each step as far as possible now.
func (r *round) advanceSteps() {
	for _, step := range r.record.PlanSteps() {
		track := r.leader.track(r.now, step, r.observation)
		before := step.State
		step.Since = track.since // on this leader's clock: the stored time is on the author's clock
		progress := r.progress(step)
		if reason, changed := r.advance(progress, track); changed {
			r.proposal.putStep(r.policy.Self.Name, r.wall, before, progress.step, reason)
		}
		r.states[step.Machine] = progress.step.State
	}
}

// progress returns a step to which this round applies events.
func (r *round) progress(step Step) *progress {
	return &progress{step: step, now: r.now, poolers: r.poolers, rules: r.rules}
}

// progress is a step to which events are applied, with the arguments of Step.Apply.
type progress struct {
	step    Step
	now     time.Duration
	poolers Poolers
	rules   Rules
}

// apply applies an event of the step's present attempt, and reports whether the event fits.
func (p *progress) apply(event Event) bool {
	event.Number = p.step.Number
	next, err := p.step.Apply(event, p.now, p.poolers, p.rules)
	if err == nil {
		p.step = next
	}
	return err == nil
}

// advance advances one step as far as possible now. It reports whether the step has changed, and the reason.
func (r *round) advance(progress *progress, track stepTrack) (reason string, changed bool) {
	if r.plan.State == Aborting && progress.apply(Event{Kind: Abort}) {
		return "given up by the operators", true
	}
	switch progress.step.State {
	case Draining:
		return r.advanceDraining(progress)
	case Drained:
		return "", r.plan.State == Running && r.callHook(progress)
	case InMaintenance:
		// The caller of the hook reports the result. If it is gone, the hook has to be called again.
		caller := progress.step.HookCaller
		return "", caller != Instance{} && !r.observation.live(caller) && r.callHook(progress)
	case Recovering:
		settled := track.healthySince > 0 && r.now-track.healthySince >= r.policy.SettleTime
		return "", settled && progress.apply(Event{Kind: Ready})
	default:
		return "", false
	}
}

// advanceDraining records which poolers have stopped. Once all have stopped, the machine is drained.
func (r *round) advanceDraining(progress *progress) (reason string, changed bool) {
	name := progress.step.Machine
	if machine := r.observation.Machines[name]; machine != nil && machine.Kind == Pooler {
		progress.poolers = Poolers{} // poolers send no requests to a pooler
	}
	for _, pooler := range slices.Sorted(maps.Keys(r.record.Statuses)) {
		status := r.record.Statuses[pooler]
		reported := status.Stopped[name] == progress.step.Number && progress.step.Stopped[pooler] < status.Incarnation
		reporter := Instance{Name: pooler, Incarnation: status.Incarnation}
		if reported && progress.apply(Event{Kind: PoolerStopped, Instance: reporter}) {
			changed = true
		}
	}
	progress.apply(Event{Kind: Reevaluate})
	if progress.step.State != Drained {
		return "", changed
	}
	if len(progress.step.Unreachable) > 0 {
		reason = fmt.Sprintf("without the word of %v, whose lease has run out", progress.step.Unreachable)
	}
	return reason, true
}

// callHook proposes to call the hook for a step, and reports whether there is a hook that may be called.
func (r *round) callHook(progress *progress) bool {
	if !r.policy.Hook || !progress.apply(Event{Kind: HookStarted, Instance: r.policy.Self}) {
		return false
	}
	r.proposal.Calls = append(r.proposal.Calls, Call{Machine: progress.step.Machine, Number: progress.step.Number})
	return true
}

// advanceHandOver advances the hand-over in progress, if any, as far as possible now.
func (r *round) advanceHandOver() {
	handOver := r.plan.HandOver
	if handOver == nil {
		return
	}
	from, to := r.observation.Machines[handOver.From], r.observation.Machines[handOver.To]
	switch {
	case to != nil && to.Primary && (from == nil || !from.Primary):
		r.endHandOver("%s has taken over")
	case r.plan.State == Aborting || to == nil || !to.ready():
		r.endHandOver("%s does not take over")
	case r.mayCallHandOver(handOver):
		call := handOver.calledBy(r.policy.Self)
		r.plan.HandOver = &call
		r.proposal.Calls = append(r.proposal.Calls, Call{Machine: call.From, To: call.To, Number: call.Number})
	}
}

// endHandOver ends the hand-over. The name of the replica is inserted into the format of the history entry.
func (r *round) endHandOver(format string) {
	handOver := r.plan.HandOver
	r.plan.HandOver = nil
	r.addHistory(handOver.From, handOver.Number, format, handOver.To)
}

// mayCallHandOver reports whether the hook may be called for the hand-over now.
func (r *round) mayCallHandOver(handOver *HandOver) bool {
	if !r.policy.HookHandsOver || r.plan.State != Running || handOver.HookCalls >= r.policy.maxCalls() {
		return false
	}
	return handOver.HookCaller == Instance{} || !r.observation.live(handOver.HookCaller)
}

// schedule carries out the decision of the planner: it finishes or pauses the plan, puts a machine back, begins a
// hand-over or takes a machine.
func (r *round) schedule() {
	unavailable := func(name string) bool { return r.states[name].Unavailable() }
	rolledBack := r.plan.State == Aborting && !slices.ContainsFunc(r.plan.Spec.Machines, unavailable)
	decision := Decide(r.plan.Spec, r.states, r.observation.Snapshot)
	switch {
	case decision.Complete || rolledBack:
		r.plan.State, r.plan.Reason, r.plan.HandOver = Finished, "", nil
		r.addHistory("", 0, "the plan is over")
	case r.plan.State != Running:
	case r.leader.windowOver(r.now, r.plan):
		r.plan.State, r.plan.Reason = Paused, "the time for it is over"
		r.addHistory("", 0, "%s: %s", r.plan.State, r.plan.Reason)
	case decision.PutBack != "":
		r.putBack(decision.PutBack)
	case r.plan.HandOver != nil:
	case decision.HandOver != PlannedHandOver{}:
		r.beginHandOver(decision.HandOver)
	case decision.Take != "":
		r.take(decision.Take)
	}
}

// putBack returns a machine to service because its group needs it.
func (r *round) putBack(name string) {
	progress := r.progress(r.record.step(name))
	if progress.apply(Event{Kind: PutBack}) {
		const reason = "put back, as its group has become too small"
		r.proposal.putStep(r.policy.Self.Name, r.wall, r.states[name], progress.step, reason)
	}
}

// beginHandOver begins a hand-over from a primary that is to be taken next.
func (r *round) beginHandOver(next PlannedHandOver) {
	r.plan.Number++
	r.plan.HandOver = &HandOver{From: next.From, To: next.To, Number: r.plan.Number}
	r.addHistory(next.From, r.plan.Number, "%s is to take over", next.To)
}

// take takes a machine out of service. A pooler that leads the record resigns first.
func (r *round) take(name string) {
	machine := r.observation.Machines[name]
	if machine.Leads {
		r.proposal.Resign = true
		return
	}
	r.plan.Number++
	event := Event{Kind: Take, Number: r.plan.Number}
	next, err := r.record.step(name).Apply(event, r.now, r.poolers, r.rules)
	if err != nil {
		return
	}
	next.Incarnation = machine.Incarnation
	r.proposal.putStep(r.policy.Self.Name, r.wall, r.states[name], next, "")
}

// proposeChangedPlan proposes the plan if it has changed.
func (r *round) proposeChangedPlan() {
	before := r.record.Plan
	if r.plan.State != before.State || r.plan.Number != before.Number || r.plan.HandOver != before.HandOver {
		r.proposal.Plan = &r.plan
	}
}

// proposeProbes proposes to probe the databases whose evidence is old, except blocked ones.
func (r *round) proposeProbes() {
	for _, name := range slices.Sorted(maps.Keys(r.observation.LastEvidence)) {
		if r.now-r.observation.LastEvidence[name] > evidenceAge && !r.states[name].Blocked() {
			r.proposal.DatabasesToProbe = append(r.proposal.DatabasesToProbe, name)
		}
	}
}

// addHistory adds a history entry of this pooler.
func (r *round) addHistory(machine string, number uint64, format string, args ...any) {
	r.proposal.addHistory(r.policy.Self.Name, r.wall, machine, number, format, args...)
}
