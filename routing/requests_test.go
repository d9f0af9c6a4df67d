package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A write that a deposed primary rejected is sent to the new primary once that is known, and only once.
func TestRejectedWriteGoesToTheNewPrimary(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.requireActions("write", harness.arrive(7, classWrite), Send)
	evidence := Evidence{Role: Replica, Position: harness.now}
	harness.requireActions("rejected by the node", harness.done(7, 0, 1, NodeRejected, evidence))
	harness.requireActions("no primary known", harness.wait(300*ms))
	actions := append(harness.probeSucceeded(2, Primary, harness.now), harness.wait(50*ms)...)
	node := harness.requireSend("new primary known", actions)
	require.Equal(t, NodeID(2), node, "sent to a node other than the new primary")
}

// A write for which no primary is found never ran: it is rejected before its deadline and does not fail.
func TestWriteWithoutAPrimaryIsRejectedInTime(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.probeSucceeded(1, Replica, harness.now+1)
	harness.requireActions("write without primary", harness.arrive(7, classWrite))
	harness.requireActions("until its deadline", harness.wait(2*time.Second), Reject)
}

// A request gets exactly one final answer at its deadline, whether or not the outcome of its attempt has arrived.
func TestOneFinalAnswerAtTheDeadline(t *testing.T) {
	t.Run("timeout reported", func(t *testing.T) {
		harness := newHarness(t, defaultSettings())
		harness.requireActions("read", harness.arrive(7, classAny), Send)
		harness.now += time.Second
		harness.requireActions("timeout at the deadline", harness.done(7, 0, 2, TimedOut, Evidence{}), Reject)
		harness.requireActions("afterwards", harness.wait(100*ms))
	})
	t.Run("no outcome", func(t *testing.T) {
		harness := newHarness(t, defaultSettings())
		harness.arrive(8, classWrite)
		harness.requireActions("no outcome by the deadline", harness.wait(2*time.Second), Fail, Cancel)
		evidence := Evidence{Role: Primary, Position: harness.now}
		harness.requireActions("late outcome", harness.done(8, 0, 1, OK, evidence))
	})
}

// If the outcome of an attempt and the client's disconnect are in one batch, the request is not retried.
func TestNoRetryForAClientGoneInTheSameBatch(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.arrive(7, classAny)
	actions := harness.step(Event{Kind: AttemptDone, Request: 7, Outcome: Outcome{Node: 2, Status: NodeOverloaded}},
		Event{Kind: ClientGone, Request: 7})
	harness.requireActions("outcome and disconnect", actions)
	harness.requireActions("unknown request", harness.step(Event{Kind: ClientGone, Request: 99}))
	harness.requireActions("unknown attempt", harness.done(99, 3, 2, OK, Evidence{}))
}

// If a client disconnects while the router is paused, the request and the disconnect arrive in one batch. Later batches
// must not send the request.
func TestNoSendForAClientGoneInItsFirstBatch(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	actions := harness.step(Event{Kind: ClientGone, Request: 6},
		arrivalEvent(7, Arrival{Class: classAny, TimeLeft: time.Second}),
		Event{Kind: ClientGone, Request: 7})
	for _, action := range actions {
		if action.Request == 7 {
			require.Contains(t, []ActionKind{Send, Cancel}, action.Kind, "answer for a request that is over")
		}
	}
	harness.done(7, 0, 2, NodeOverloaded, Evidence{})
	harness.requireActions("after the disconnect", harness.wait(time.Second))
}

// A request that has not reached a node is rejected after half of its time, which leaves the client time for a retry. A
// request that a node rejected waits until its deadline.
func TestRequestWithoutAnAttemptWaitsForHalfItsTime(t *testing.T) {
	t.Run("no primary", func(t *testing.T) {
		harness := newHarness(t, defaultSettings())
		harness.probeSucceeded(1, Replica, harness.now+1)
		harness.requireActions("write without primary", harness.arrive(7, classWrite))
		harness.requireActions("until half of its time", harness.wait(time.Second), Reject)
	})
	t.Run("no connection", func(t *testing.T) {
		harness := newHarness(t, defaultSettings())
		harness.requireActions("write", harness.arrive(8, classWrite), Send)
		harness.requireActions("no connection", harness.done(8, 0, 1, ConnectFailed, Evidence{}))
		harness.requireActions("no primary", harness.probeSucceeded(1, Replica, harness.now+1))
		harness.requireActions("until half of its time", harness.wait(time.Second), Reject)
	})
	t.Run("rejected by the node", func(t *testing.T) {
		harness := newHarness(t, defaultSettings())
		harness.requireActions("write", harness.arrive(9, classWrite), Send)
		evidence := Evidence{Role: Replica, Position: harness.now + 1}
		harness.requireActions("rejected by the node", harness.done(9, 0, 1, NodeRejected, evidence))
		harness.requireActions("until half of its time", harness.wait(time.Second))
		harness.requireActions("until its deadline", harness.wait(time.Second), Reject)
	})
}
