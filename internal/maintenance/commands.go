package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// Start hands in a plan. Its machines are ordered as the dry run has them.
func Start(wall time.Duration, r Record, id, by string, w PlanSpec, look Snapshot) (o Proposal, err error) {
	if r.Plan.ID == id { // a repeated call
		return o, nil
	}
	if r.Plan.Active() {
		return o, fmt.Errorf("plan %s is %s: abort it first, or wait for its end", r.Plan.ID, r.Plan.State)
	}
	if err := w.Check(look.Machines); err != nil {
		return o, err
	}
	order, err := DryRun(w, look)
	if err != nil {
		return o, err
	}
	w.Machines = nil
	o.Steps = map[string]Step{}
	for _, stage := range order {
		w.Machines = append(w.Machines, stage.Machine)
		o.Steps[stage.Machine] = Step{Machine: stage.Machine}
	}
	for name := range r.Steps {
		if _, again := o.Steps[name]; !again {
			o.Drop = append(o.Drop, name)
		}
	}
	o.Plan = &Plan{ID: id, Spec: w, State: Running, Number: r.Plan.Number}
	o.addHistory(by, wall, "", 0, "plan %s of %d machines", id, len(order))
	return o, nil
}

// Command is what operators may do about a plan or one machine of it.
type Command string

const (
	Pause        Command = "pause"
	Resume       Command = "resume"
	AbortPlan    Command = "abort"
	SkipMachine  Command = "skip"   // a machine that waits
	BeginWork    Command = "begin"  // a person works on a machine that is free
	EndWork      Command = "end"    // the work is over
	ForgetPooler Command = "forget" // a pooler that is gone for good, and never left
)

// OfMachine tells whether the verb wants the name of a machine, or of a pooler.
func (v Command) OfMachine() bool {
	return slices.Contains([]Command{SkipMachine, BeginWork, EndWork, ForgetPooler}, v)
}

// Execute is what an operator wants to do; an error says why it cannot be done.
func Execute(wall time.Duration, r Record, v Command, name, by string) (o Proposal, err error) {
	if v == ForgetPooler {
		if _, known := r.Statuses[name]; !known {
			return o, fmt.Errorf("no pooler %q has said anything", name)
		}
		o.Forget = []string{name}
		o.addHistory(by, wall, name, 0, "forgotten: it is gone for good")
		return o, nil
	}
	if !r.Plan.Active() {
		return o, fmt.Errorf("there is no plan")
	}
	if !v.OfMachine() {
		plan := r.Plan
		switch {
		case v == Pause && plan.State == Running:
			plan.State, plan.Why = Paused, "by "+by
		case v == Resume && plan.State == Paused:
			plan.State, plan.Why = Running, ""
		case v == AbortPlan && plan.State != Aborting:
			plan.State, plan.Why = Aborting, "by "+by
		default:
			return o, fmt.Errorf("the plan is %s", plan.State)
		}
		o.Plan = &plan
		o.addHistory(by, wall, "", 0, "%s", plan.State)
		return o, nil
	}
	if !slices.Contains(r.Plan.Spec.Machines, name) {
		return o, fmt.Errorf("the plan has no machine %q", name)
	}
	c := &course{step: r.step(name), now: wall, rules: Rules{Calls: 1 << 30}} // a person may say what no count of calls lets a hook do
	before := c.step.State
	done := false
	switch v {
	case SkipMachine:
		done = c.on(Event{Kind: Skip})
	case BeginWork:
		done = before == Drained && c.on(Event{Kind: HookStarted})
	case EndWork:
		if before == Drained {
			c.on(Event{Kind: HookStarted})
		}
		done = c.on(Event{Kind: HookFinished, OK: true})
	}
	if !done {
		return o, fmt.Errorf("%s is %s", name, before)
	}
	o.putStep(by, wall, before, c.step, "")
	return o, nil
}
