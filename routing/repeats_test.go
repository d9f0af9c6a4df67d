package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hedgedRead is a keyed read that has had two attempts pending at once.
type hedgedRead struct {
	*routerHarness
	nodes    []NodeID // of its attempts, in the order in which they were sent
	hedgedAt time.Duration
}

const hedgedReadID = RequestID(7)

// newHedgedRead returns a read of classAny, whose settings are changed to be keyed, with two pending attempts at nodes
// of the same zone. Node 4 is in another zone and ejected.
func newHedgedRead(t *testing.T, group DedupGroup, window time.Duration) *hedgedRead {
	settings := defaultSettings()
	class := &settings.Classes[classAny]
	class.Effect, class.DedupGroup, class.DedupWindow = Deduplicated, group, window
	class.LateWeight = 1 // it is routed until its deadline
	harness := newHarness(t, settings)
	harness.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready},
		Node{ID: 4, State: Ready, Zone: 1})
	harness.probeSucceeded(4, Replica, harness.now)
	harness.router.eject(harness.router.byID[4], true)
	harness.router.byID[4].readmitAt = harness.now + time.Hour
	first := harness.requireSend("first attempt", harness.arrive(hedgedReadID, classAny))
	harness.router.eject(harness.router.byID[first], true)
	second := harness.requireSend("second attempt", harness.wait(tickInterval))
	require.NotEqual(t, first, second)
	return &hedgedRead{routerHarness: harness, nodes: []NodeID{first, second}, hedgedAt: harness.now}
}

// end ends an attempt. Each attempt that is sent then ends with a proof that it never ran. It returns all actions.
func (read *hedgedRead) end(attempt int, status Status) []Action {
	return read.follow(read.done(hedgedReadID, attempt, read.nodes[attempt], status, Evidence{}))
}

// follow ends each attempt that the actions send, and those sent thereupon. It returns all actions.
func (read *hedgedRead) follow(actions []Action) []Action {
	for i := 0; i < len(actions); i++ {
		if actions[i].Kind == Send {
			read.nodes = append(read.nodes, actions[i].Node)
			actions = append(actions, read.end(len(read.nodes)-1, NodeRejected)...)
		}
	}
	return actions
}

// untilDeadline returns the actions up to the request's deadline.
func (read *hedgedRead) untilDeadline() (actions []Action) {
	for end := read.now + time.Second; read.now < end; {
		actions = append(actions, read.follow(read.wait(tickInterval))...)
	}
	return actions
}

// requireFinalAnswer requires that the actions have one final answer, of the given kind.
func (read *hedgedRead) requireFinalAnswer(kind ActionKind, actions []Action) {
	read.t.Helper()
	require.Equal(read.t, 1, countKind(actions, kind), "%v", actions)
	require.Equal(read.t, 1, countKind(actions, Reject)+countKind(actions, Fail), "%v", actions)
}

// requireLimitedRepeats requires that each attempt that the actions send must be written within the window.
func (read *hedgedRead) requireLimitedRepeats(actions []Action) {
	read.t.Helper()
	for _, action := range actions {
		if action.Kind == Send {
			require.Equal(read.t, Repeatable, action.Limit.Condition, "%v", action)
		}
	}
}

// A request of which one attempt may have run and another one certainly did not counts as one that may have run,
// whichever was sent or ended first. Guards against a rejection, with which the client repeats what ran, and against
// further attempts without a window: the end of the first attempt made the router forget the second one.
func TestProofForOneAttemptIsNoProofForAnother(t *testing.T) {
	mayHaveRun := []Status{NodeError, TimedOut, ConnectionBroken, Cancelled}
	neverRan := []Status{NodeOverloaded, ConnectFailed, NotSent, NodeRejected, ConnectRefused}
	finalAnswers := map[DedupGroup]ActionKind{
		DedupAll:          Reject, // all nodes discard the client's repeat
		DedupZone:         Fail,
		DedupReplicaGroup: Fail,
	}
	for group, finalAnswer := range finalAnswers {
		for _, ran := range mayHaveRun {
			for _, proof := range neverRan {
				for _, statuses := range [][2]Status{{ran, proof}, {proof, ran}} {
					for _, firstToEnd := range []int{0, 1} {
						t.Run(fmt.Sprint(group, statuses, firstToEnd), func(t *testing.T) {
							read := newHedgedRead(t, group, 5*time.Second)
							actions := read.end(firstToEnd, statuses[firstToEnd])
							actions = append(actions, read.end(1-firstToEnd, statuses[1-firstToEnd])...)
							actions = append(actions, read.untilDeadline()...)
							read.requireFinalAnswer(finalAnswer, actions)
							read.requireLimitedRepeats(actions)
						})
					}
				}
			}
		}
	}
}

// A request of which no attempt ran is rejected, whichever ended last, since a retry is harmless. Guards against a
// failure, after which its client may not repeat it.
func TestRequestThatNeverRanIsRejectedWhicheverAttemptEndsLast(t *testing.T) {
	for _, firstToEnd := range []int{0, 1} {
		read := newHedgedRead(t, DedupReplicaGroup, 5*time.Second)
		actions := append(read.end(firstToEnd, NodeRejected), read.end(1-firstToEnd, NodeRejected)...)
		read.requireFinalAnswer(Reject, append(actions, read.untilDeadline()...))
	}
}

// After the first attempt is known not to have run, the second one, which may have, still binds retries to its zone.
// Guards against a copy at a node that does not know the idempotency key.
func TestSecondAttemptThatMayHaveRunBindsToItsZone(t *testing.T) {
	read := newHedgedRead(t, DedupZone, 5*time.Second)
	read.end(1, ConnectionBroken)
	for _, id := range []NodeID{1, 2, 3} {
		read.router.eject(read.router.byID[id], true)
		read.router.byID[id].readmitAt = read.now + time.Hour
	}
	read.router.byID[4].ejected = false
	actions := append(read.end(0, NotSent), read.untilDeadline()...)
	require.Zero(t, countKind(actions, Send), "%v", actions)
	read.requireFinalAnswer(Fail, actions)
}

// The window of a request begins with the earliest attempt that may have run: with the second one once the first is
// known not to have run. Guards against a copy that is written after the window of the second attempt.
func TestWindowBeginsWithTheEarliestAttemptThatMayHaveRun(t *testing.T) {
	const window = 400 * ms
	read := newHedgedRead(t, DedupReplicaGroup, window)
	read.end(1, ConnectionBroken)
	actions := read.done(hedgedReadID, 0, read.nodes[0], NotSent, Evidence{})
	for countKind(actions, Send) == 0 && read.now < read.hedgedAt+window {
		actions = read.wait(tickInterval)
	}
	read.requireSend("retry within the window", actions)
	require.Equal(t, WriteLimit{read.hedgedAt + window, Repeatable}, actions[0].Limit)
}

// The first attempt of a read that may be hedged must be written within the window too. Guards against a first attempt
// that waits for a connection while the second one runs, and is written after the window of that one.
func TestAttemptThatWasHedgedMustBeWrittenWithinTheWindow(t *testing.T) {
	const window = 400 * ms
	settings := defaultSettings()
	class := &settings.Classes[classAny]
	class.Effect, class.DedupGroup, class.DedupWindow = Deduplicated, DedupReplicaGroup, window
	harness := newHarness(t, settings)
	sentAt := harness.now
	actions := harness.arrive(hedgedReadID, classAny)
	harness.requireSend("first attempt", actions)
	require.Equal(t, WriteLimit{sentAt + window, Repeatable}, actions[0].Limit)
}
