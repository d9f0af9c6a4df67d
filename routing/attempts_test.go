package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// After its first attempt ends, a write fails if it may have run. If it never ran, it waits for another attempt.
func TestWriteFailsOnlyIfItMayHaveRun(t *testing.T) {
	for name, testCase := range map[string]struct {
		status Status
		want   []ActionKind
	}{
		"ok":                {OK, nil},
		"node error":        {NodeError, []ActionKind{Fail}},
		"timed out":         {TimedOut, []ActionKind{Fail}},
		"connection broken": {ConnectionBroken, []ActionKind{Fail}},
		"cancelled":         {Cancelled, []ActionKind{Fail}},
		"connect failed":    {ConnectFailed, nil}, // it never ran: it waits until it may be sent to the primary again
		"node rejected":     {NodeRejected, nil},  // it never ran: it waits for another primary
		"node overloaded":   {NodeOverloaded, nil},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			harness.requireActions("write", harness.arrive(7, classWrite), Send)
			harness.requireActions("outcome", harness.done(7, 0, 1, testCase.status, Evidence{}), testCase.want...)
		})
	}
}

// A write with an idempotency key is retried only within its DedupWindow. After it the write fails: a rejection would
// allow the client to retry.
func TestDeduplicatedWriteRepeatsWithinItsWindow(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.requireActions("write", harness.arrive(7, classKeyed), Send)
	harness.now += 100 * ms
	harness.done(7, 0, 1, NodeError, Evidence{})
	harness.requireActions("within the window", harness.wait(100*ms), Send)
	harness.now += 500 * ms
	harness.done(7, 1, 1, NodeError, Evidence{})
	harness.requireActions("after the window", harness.wait(1500*ms), Fail)
}

// Incident i8c46d3: an attempt counts as lost if attempts sent well after it were answered. It must not count as in
// flight for the seconds until its timeout.
func TestOvertakenAttemptDoesNotCountAsInFlight(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.requireActions("write", harness.arrive(7, classWrite), Send)
	for id := RequestID(10); id < 40; id++ {
		harness.now += 20 * ms
		harness.arrive(id, classFresh)
		harness.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
			Node: 1, Duration: 10 * ms, Final: true,
			AnswerEvidence: Evidence{Role: Primary, Position: harness.now},
		}})
		harness.step(Event{Kind: TimerFired})
	}
	require.Zero(t, harness.router.byID[1].inFlight, "in flight at the primary while the lost write is pending")
	harness.done(7, 0, 1, TimedOut, Evidence{})
	require.Zero(t, harness.router.byID[1].inFlight, "in flight at the primary after the lost write timed out")
}

// If one node is overloaded, all may be. Retries of reads that overloaded nodes reject stay within the retry budget.
func TestRetriesAtOverloadedNodesStayWithinTheBudget(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	sends, rejections := 0, 0
	count := func(actions []Action) (sent bool) {
		for _, action := range actions {
			switch action.Kind {
			case Send:
				sends++
				sent = true
			case Reject:
				rejections++
			}
		}
		return sent
	}
	const reads = 100
	for id := range RequestID(reads) {
		actions := harness.arrive(id+1, classAny)
		for attempt := 0; count(actions); attempt++ {
			evidence := Evidence{Role: Replica, Position: harness.now}
			actions = harness.done(id+1, attempt, actions[0].Node, NodeOverloaded, evidence)
		}
		harness.now += ms
	}
	require.LessOrEqual(t, float64(sends), reads*(1+retryBudgetShare)+maxRetryBudget, "sends of %d reads", reads)
	require.Positive(t, rejections)
}
