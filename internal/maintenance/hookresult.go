package maintenance

import (
	"fmt"
	"time"
)

// HookResult is what the pooler that called a hook writes when the call has ended, for a reason if it failed: nobody else knows. It is
// called again if Calls says so. A call of a try that is over changes nothing.
func (m Policy) HookResult(now, wall time.Duration, r Record, call Call, failed string) (o Proposal) {
	plan, me := r.Plan, m.Self.Name
	stop := func(text string) {
		if plan.State == Running { // nothing further while nobody knows what has become of it
			plan.State, plan.Why, o.Plan = Paused, text, &plan
		}
		o.addHistory(me, wall, call.Machine, call.Number, "%s", text)
	}
	if call.To != "" {
		h := plan.HandOver
		switch {
		case h == nil || h.Number != call.Number || h.HookCaller != m.Self || failed == "": // that it is done shows by itself
		case h.HookCalls < max(1, m.Calls):
			plan.HandOver, o.Plan = &HandOver{From: h.From, To: h.To, Number: h.Number, HookCalls: h.HookCalls + 1, HookCaller: m.Self}, &plan
			o.Calls = append(o.Calls, call)
		default:
			plan.HandOver, o.Plan = nil, &plan
			stop(fmt.Sprintf("%s did not take over from %s: %s", h.To, h.From, failed))
		}
		return o
	}
	c := &course{step: r.step(call.Machine), now: now, rules: Rules{Calls: m.Calls}}
	if c.step.Number != call.Number || c.step.HookCaller != m.Self {
		return o
	}
	before := c.step.State
	switch {
	case failed != "" && c.step.State == InMaintenance && c.on(Event{Kind: HookStarted, Instance: m.Self}):
		o.Calls = append(o.Calls, call)
		o.putStep(me, wall, before, c.step, "")
		o.addHistory(me, wall, call.Machine, call.Number, "called again, as the work failed: %s", failed)
	case c.on(Event{Kind: HookFinished, OK: failed == ""}):
		o.putStep(me, wall, before, c.step, failed)
		if failed != "" {
			stop(fmt.Sprintf("the work on %s failed: %s", call.Machine, failed))
		}
	}
	return o
}
