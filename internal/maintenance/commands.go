package maintenance

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Start proposes a new plan with its machines in the order of the dry run. A repeated call with the ID of the current
// plan proposes nothing. wall is the Unix time for the history. The error states why the plan cannot be started.
func Start(
	wall time.Duration, record Record, id, operator string, spec PlanSpec, snapshot Snapshot,
) (proposal Proposal, err error) {
	if record.Plan.ID == id {
		return proposal, nil
	}
	if record.Plan.Active() {
		const text = "plan %s is %s: abort it first, or wait for its end"
		return proposal, fmt.Errorf(text, record.Plan.ID, record.Plan.State)
	}
	if err := spec.Check(snapshot.Machines); err != nil {
		return proposal, err
	}
	order, err := DryRun(spec, snapshot)
	if err != nil {
		return proposal, err
	}
	spec.Machines = nil
	proposal.Steps = map[string]Step{}
	for _, step := range order {
		spec.Machines = append(spec.Machines, step.Machine)
		proposal.Steps[step.Machine] = Step{Machine: step.Machine}
	}
	for name := range record.Steps {
		if _, inPlan := proposal.Steps[name]; !inPlan {
			proposal.DeleteSteps = append(proposal.DeleteSteps, name)
		}
	}
	proposal.Plan = &Plan{ID: id, Spec: spec, State: Running, Number: record.Plan.Number}
	proposal.addHistory(operator, wall, "", 0, "plan %s of %d machines", id, len(order))
	return proposal, nil
}

// Command is an operator's command about a plan, one of its machines or a pooler.
type Command string

// The commands, as operators type them.
const (
	Pause        Command = "pause"
	Resume       Command = "resume"
	AbortPlan    Command = "abort"
	SkipMachine  Command = "skip"   // skips a waiting machine
	BeginWork    Command = "begin"  // a person begins the work on a drained machine
	EndWork      Command = "end"    // the work on a machine has ended
	ForgetPooler Command = "forget" // removes a pooler that is gone for good and never announced that it leaves
)

// TakesName reports whether the command takes the name of a machine or, for ForgetPooler, of a pooler.
func (c Command) TakesName() bool {
	return slices.Contains([]Command{SkipMachine, BeginWork, EndWork, ForgetPooler}, c)
}

// Execute returns the proposal for an operator's command. name is the machine or pooler, and is ignored by commands
// about the whole plan. wall is the Unix time for the history. The error states why the command cannot be executed.
func Execute(wall time.Duration, record Record, command Command, name, operator string) (Proposal, error) {
	switch {
	case command == ForgetPooler:
		return forgetPooler(wall, record, name, operator)
	case !record.Plan.Active():
		return Proposal{}, errors.New("there is no plan")
	case command.TakesName():
		return changeStep(wall, record, command, name, operator)
	default:
		return changePlan(wall, record, command, operator)
	}
}

// forgetPooler deletes the status of a pooler.
func forgetPooler(wall time.Duration, record Record, name, operator string) (proposal Proposal, err error) {
	if _, known := record.Statuses[name]; !known {
		return proposal, fmt.Errorf("no pooler %q has said anything", name)
	}
	proposal.DeleteStatuses = []string{name}
	proposal.addHistory(operator, wall, name, 0, "forgotten: it is gone for good")
	return proposal, nil
}

// changePlan pauses, resumes or aborts the plan.
func changePlan(wall time.Duration, record Record, command Command, operator string) (proposal Proposal, err error) {
	plan := record.Plan
	switch {
	case command == Pause && plan.State == Running:
		plan.State, plan.Reason = Paused, "by "+operator
	case command == Resume && plan.State == Paused:
		plan.State, plan.Reason = Running, ""
	case command == AbortPlan && plan.State != Aborting:
		plan.State, plan.Reason = Aborting, "by "+operator
	default:
		return proposal, fmt.Errorf("the plan is %s", plan.State)
	}
	proposal.Plan = &plan
	proposal.addHistory(operator, wall, "", 0, "%s", plan.State)
	return proposal, nil
}

// changeStep skips a machine, or records that a person begins or has ended the work on it. The limit on hook calls does
// not apply to the work of a person.
func changeStep(
	wall time.Duration, record Record, command Command, name, operator string,
) (proposal Proposal, err error) {
	if !slices.Contains(record.Plan.Spec.Machines, name) {
		return proposal, fmt.Errorf("the plan has no machine %q", name)
	}
	step := record.step(name)
	before := step.State
	progress := &progress{step: step, now: wall, rules: Rules{MaxHookCalls: math.MaxInt}}
	done := false
	switch command {
	case SkipMachine:
		done = progress.apply(Event{Kind: Skip})
	case BeginWork:
		done = before == Drained && progress.apply(Event{Kind: HookStarted})
	case EndWork:
		if before == Drained {
			progress.apply(Event{Kind: HookStarted})
		}
		done = progress.apply(Event{Kind: HookFinished, OK: true})
	}
	if !done {
		return proposal, fmt.Errorf("%s is %s", name, before)
	}
	proposal.putStep(operator, wall, before, progress.step, "")
	return proposal, nil
}
