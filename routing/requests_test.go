package routing

import (
	"testing"
	"time"
)

// A write that a deposed primary rejected goes to the new one as soon as that is known, once.
func TestHeldWriteGoesToTheNewPrimary(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classWrite), Send)
	h.want("rejected by the node", h.done(7, 0, 1, NodeRejected, Evidence{Role: Replica, Position: h.now}))
	h.want("no primary known", h.wait(300*ms))
	out := append(h.probed(2, Primary, h.now), h.wait(50*ms)...)
	h.want("new primary known", out, Send)
	if out[0].Node != 2 {
		t.Fatalf("resent to node %d, want the new primary 2", out[0].Node)
	}
}

// A write that no primary is found for is rejected, not failed, shortly before its deadline: nothing ran.
func TestHeldWriteIsRejectedInTime(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(1, Replica, h.now+1)
	h.want("write without primary", h.arrive(7, classWrite))
	h.want("until its deadline", h.wait(2*time.Second), Reject)
}

// The time-out at the deadline may arrive unfinished: the final answer is still owed, and given once.
func TestOneFinalAnswerAtTheDeadline(t *testing.T) {
	h := newHarness(t, settings())
	h.want("read", h.arrive(7, classAny), Send)
	h.now += time.Second
	out := h.done(7, 0, 2, TimedOut, Evidence{})
	h.want("time-out at the deadline", out, Reject)
	h.want("afterwards", h.wait(100*ms))

	h = newHarness(t, settings())
	h.arrive(8, classWrite)
	h.want("no outcome by the deadline", h.wait(2*time.Second), Fail, Cancel)
	h.want("a late outcome", h.done(8, 0, 1, OK, Evidence{Role: Primary, Position: h.now}))
}

// An outcome and the client's leaving may share a batch; nothing is sent for what is over.
func TestNoRetryForAClientGoneInTheSameBatch(t *testing.T) {
	h := newHarness(t, settings())
	h.arrive(7, classAny)
	out := h.step(Event{Kind: AttemptDone, Request: 7, Outcome: Outcome{Node: 2, Status: NodeOverloaded}},
		Event{Kind: ClientGone, Request: 7})
	h.want("outcome and leaving", out)
	h.want("unknown request", h.step(Event{Kind: ClientGone, Request: 99}))
	h.want("unknown attempt", h.done(99, 3, 2, OK, Evidence{}))
}

// A client that left while this router stood still: request and departure come in one batch, and nothing may be
// sent for the request in a later one.
func TestNoSendForAClientGoneInItsFirstBatch(t *testing.T) {
	h := newHarness(t, settings())
	out := h.step(Event{Kind: ClientGone, Request: 6},
		Event{Kind: RequestArrived, Request: 7, Arrival: Arrival{Class: classAny, TimeLeft: time.Second}},
		Event{Kind: ClientGone, Request: 7})
	for _, a := range out {
		if a.Request == 7 && a.Kind != Send && a.Kind != Cancel {
			t.Fatalf("an answer for a request that is over: %v", a)
		}
	}
	h.done(7, 0, 2, NodeOverloaded, Evidence{})
	h.want("after the client has left", h.wait(time.Second))
}

// What has reached no node is rejected at half its time, when its client can still act; what one has rejected is
// held to its deadline.
func TestRequestWithoutAnAttemptIsHeldForHalfItsTime(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(1, Replica, h.now+1)
	h.want("write without primary", h.arrive(7, classWrite))
	h.want("until half its time", h.wait(time.Second), Reject)

	h = newHarness(t, settings())
	h.want("write", h.arrive(8, classWrite), Send)
	h.want("no connection", h.done(8, 0, 1, ConnectFailed, Evidence{}))
	h.want("no primary", h.probed(1, Replica, h.now+1))
	h.want("until half its time", h.wait(time.Second), Reject)

	h = newHarness(t, settings())
	h.want("write", h.arrive(9, classWrite), Send)
	h.want("rejected by the node", h.done(9, 0, 1, NodeRejected, Evidence{Role: Replica, Position: h.now + 1}))
	h.want("half its time", h.wait(time.Second))
	h.want("its deadline", h.wait(time.Second), Reject)
}
