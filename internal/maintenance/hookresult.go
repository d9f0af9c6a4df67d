package maintenance

import (
	"fmt"
	"time"
)

// HookResult returns the proposal of the pooler that called a hook, when the call has ended. Only this pooler knows the
// result. failed is the reason of a failure, and empty after a success. If the proposal has Calls, the hook has to be
// called again. The result of an attempt that has ended changes nothing. now is this pooler's clock, and wall the Unix
// time.
func (p Policy) HookResult(now, wall time.Duration, record Record, call Call, failed string) Proposal {
	result := &hookResult{policy: p, now: now, wall: wall, plan: record.Plan, call: call, failed: failed}
	if call.To != "" {
		result.endHandOverCall()
	} else {
		result.endWorkCall(record.step(call.Machine))
	}
	return result.proposal
}

// hookResult builds the proposal after the end of a hook call.
type hookResult struct {
	policy   Policy
	now      time.Duration
	wall     time.Duration
	plan     Plan
	call     Call
	failed   string
	proposal Proposal
}

// endHandOverCall handles the end of a call for a hand-over. A success changes nothing: the leader acts once it
// observes the new primary.
func (h *hookResult) endHandOverCall() {
	handOver := h.plan.HandOver
	if handOver == nil || handOver.Number != h.call.Number || handOver.HookCaller != h.policy.Self || h.failed == "" {
		return
	}
	h.proposal.Plan = &h.plan
	if handOver.HookCalls < h.policy.maxCalls() {
		repeated := handOver.calledBy(h.policy.Self)
		h.plan.HandOver = &repeated
		h.proposal.Calls = append(h.proposal.Calls, h.call)
		return
	}
	h.plan.HandOver = nil
	h.pausePlan(fmt.Sprintf("%s did not take over from %s: %s", handOver.To, handOver.From, h.failed))
}

// endWorkCall handles the end of a call for the maintenance of a machine.
func (h *hookResult) endWorkCall(step Step) {
	if step.Number != h.call.Number || step.HookCaller != h.policy.Self {
		return
	}
	self, before := h.policy.Self, step.State
	progress := &progress{step: step, now: h.now, rules: Rules{MaxHookCalls: h.policy.MaxHookCalls}}
	retryable := h.failed != "" && before == InMaintenance
	switch {
	case retryable && progress.apply(Event{Kind: HookStarted, Instance: self}):
		h.proposal.Calls = append(h.proposal.Calls, h.call)
		h.proposal.putStep(self.Name, h.wall, before, progress.step, "")
		h.addHistory("called again, as the work failed: " + h.failed)
	case progress.apply(Event{Kind: HookFinished, OK: h.failed == ""}):
		h.proposal.putStep(self.Name, h.wall, before, progress.step, h.failed)
		if h.failed != "" {
			h.pausePlan(fmt.Sprintf("the work on %s failed: %s", h.call.Machine, h.failed))
		}
	}
}

// pausePlan pauses the plan: no further machine is taken while the outcome of the work is unknown.
func (h *hookResult) pausePlan(reason string) {
	if h.plan.State == Running {
		h.plan.State, h.plan.Reason = Paused, reason
		h.proposal.Plan = &h.plan
	}
	h.addHistory(reason)
}

// addHistory adds a history entry about the call.
func (h *hookResult) addHistory(text string) {
	h.proposal.addHistory(h.policy.Self.Name, h.wall, h.call.Machine, h.call.Number, "%s", text)
}
