package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clockoffset"
)

// offsetError is the distance of each bound of the offset from the true offset.
const offsetError = 10 * ms

// newSkewedHarness returns a harness whose router's clock is behind the nodes' clock by an offset. The router knows the
// offset to within offsetError, or has no estimate if it is 0.
func newSkewedHarness(t *testing.T, settings Settings, offset time.Duration) *routerHarness {
	harness := newEmptyHarness(t, settings, 1)
	harness.now = 2 * start
	harness.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	if offset != 0 {
		harness.learnOffset(offset)
	}
	harness.probeSucceeded(1, Primary, harness.now+offset)
	return harness
}

// learnOffset passes the bounds of an offset to the router.
func (h *routerHarness) learnOffset(offset time.Duration) {
	h.step(Event{Kind: ClockOffset, Clock: clockoffset.Bounds{
		Earliest: offset - offsetError, Latest: offset + offsetError,
	}})
}

// forEachOffset runs a subtest for each offset of the nodes' clock.
func forEachOffset(t *testing.T, run func(t *testing.T, offset time.Duration)) {
	t.Helper()
	for _, offset := range []time.Duration{0, start, -start, 2 * time.Second, -2 * time.Second, 300 * ms, -300 * ms} {
		t.Run(fmt.Sprint("offset ", offset), func(t *testing.T) { run(t, offset) })
	}
}

// offsetRead is a read that arrives while two replicas have the same position.
type offsetRead struct {
	class    int
	age      time.Duration // of the replicas' positions
	writeAge time.Duration // age of the session's last write; 0: none
	replica  bool          // the read goes to a replica
}

// Which reads may go to a replica does not depend on the offset between the clocks. This applies to bounded reads,
// which here accept data up to 200 ms old, to fresh reads, and to session reads after a write.
func TestReadsGoOnlyToFreshReplicasUnderAnOffset(t *testing.T) {
	reads := map[string]offsetRead{
		"bounded, recent":                   {class: classBounded, age: 150 * ms, replica: true},
		"bounded, too old":                  {class: classBounded, age: 201 * ms},
		"fresh, position before it arrived": {class: classFresh, age: ms},
		"session, write applied":            {class: classSession, age: 300 * ms, writeAge: 400 * ms, replica: true},
		"session, write not applied":        {class: classSession, age: 300 * ms, writeAge: 200 * ms},
		"session without a write":           {class: classSession, age: time.Hour / 2, replica: true},
	}
	forEachOffset(t, func(t *testing.T, offset time.Duration) {
		for name, read := range reads {
			t.Run(name, func(t *testing.T) { requireOffsetRead(t, offset, read) })
		}
	})
}

// requireOffsetRead requires that the read is sent to a replica if read.replica is set, and to no replica otherwise.
func requireOffsetRead(t *testing.T, offset time.Duration, read offsetRead) {
	t.Helper()
	harness := newSkewedHarness(t, defaultSettings(), offset)
	for _, id := range []NodeID{2, 3} {
		harness.probeSucceeded(id, Replica, harness.now+offset-read.age)
	}
	arrived := harness.now
	arrival := Arrival{Class: read.class, Session: 7, TimeLeft: time.Second}
	if read.writeAge > 0 {
		arrival.LastWrite = arrived + offset - read.writeAge
	}
	actions := append(harness.arriveAs(7, arrival), harness.wait(100*ms)...)
	for _, action := range actions {
		if action.Kind == Send {
			require.Equal(t, read.replica, action.Node != 1, "sent to node %d", action.Node)
		}
	}
	if read.replica {
		harness.requireActions("read", actions, Send)
	}
	if read.replica && read.class == classBounded {
		// The time of the router's clock at which the position becomes too old.
		end := arrived - read.age + harness.router.settings.Classes[classBounded].MaxAge
		require.LessOrEqual(t, actions[0].Limit.Until, end)
		require.GreaterOrEqual(t, actions[0].Limit.Until, end-2*offsetError)
	}
}

// A session's write whose answer was lost may have been committed until the attempt ended. The stored position is still
// correct if the offset becomes known later.
func TestSessionReadSeesLostWriteUnderAnOffset(t *testing.T) {
	forEachOffset(t, func(t *testing.T, offset time.Duration) {
		settings := defaultSettings()
		settings.KeepSessions = true
		harness := newSkewedHarness(t, settings, 0)
		harness.arriveAs(1, Arrival{Class: classWrite, Session: 7, TimeLeft: 2 * time.Second})
		harness.done(1, 0, 1, TimedOut, Evidence{})
		lostAt := harness.now
		harness.wait(500 * ms)
		harness.learnOffset(offset)
		harness.probeSucceeded(1, Primary, harness.now+offset)
		harness.probeSucceeded(2, Replica, lostAt+offset-20*ms)
		harness.probeSucceeded(3, Replica, lostAt+offset-20*ms)
		read := Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}
		for _, action := range harness.arriveAs(2, read) {
			if action.Kind == Send {
				require.Equal(t, NodeID(1), action.Node, "session read at a replica that may lack the write")
			}
		}
	})
}

// A node that started a second ago is warming up, and one that started 11 s ago is warm. The offset between the clocks
// makes no difference, nor does it matter whether the node was listed before the offset was known.
func TestSlowStartIsIndependentOfTheOffset(t *testing.T) {
	forEachOffset(t, func(t *testing.T, offset time.Duration) {
		for name, listedFirst := range map[string]bool{"listed after": false, "listed before": true} {
			t.Run(name, func(t *testing.T) {
				harness := newSkewedHarness(t, defaultSettings(), 0)
				if !listedFirst {
					harness.learnOffset(offset)
				}
				harness.list(Node{ID: 1, State: Ready},
					Node{ID: 2, State: Ready, Started: harness.now + offset - time.Second},
					Node{ID: 3, State: Ready, Started: harness.now + offset - 11*time.Second})
				if listedFirst {
					harness.learnOffset(offset)
				}
				// The share starts at 0.2 and grows to 1 in 10 s.
				for id, want := range map[NodeID]float64{1: 1, 2: 0.28, 3: 1} {
					share := harness.router.capacityShare(harness.router.byID[id])
					require.LessOrEqual(t, share, want, "node %d", id)
					require.GreaterOrEqual(t, share, want-0.01, "node %d", id)
				}
			})
		}
	})
}

// The newest evidence of a node's role applies. The time of an answer is by the router's clock and that of a report by
// the nodes' clock.
func TestNewestRoleEvidenceAppliesUnderAnOffset(t *testing.T) {
	forEachOffset(t, func(t *testing.T, offset time.Duration) {
		harness := newSkewedHarness(t, defaultSettings(), offset)
		requireRole := func(want Role, when string) {
			t.Helper()
			require.Equal(t, want, harness.router.byID[1].role, when)
		}
		harness.arriveAs(1, Arrival{Class: classWrite, TimeLeft: 2 * time.Second})
		harness.now += 100 * ms
		harness.done(1, 0, 1, NodeRejected, Evidence{Role: Replica, Position: harness.now + offset - 10*ms})
		requireRole(Replica, "after an answer")
		harness.probeSucceeded(1, Primary, harness.now+offset-50*ms)
		requireRole(Replica, "after a report that is older than the answer")
		harness.now += 100 * ms
		harness.probeSucceeded(1, Primary, harness.now+offset)
		requireRole(Primary, "after a report that is newer than the answer")
	})
}

// Before the first estimate of the offset, a position in the future of the router's clock is ignored. If the bounds say
// that the offset is unknown, no replica counts as fresh for a read that requires fresh data.
func TestNothingIsFreshWhileTheOffsetIsUnknown(t *testing.T) {
	for name, reportsUnknown := range map[string]bool{"no estimate yet": false, "estimate is unknown": true} {
		t.Run(name, func(t *testing.T) {
			harness := newSkewedHarness(t, defaultSettings(), 0)
			if reportsUnknown {
				harness.step(Event{Kind: ClockOffset, Clock: clockoffset.Bounds{Latest: clockoffset.Unknown}})
			}
			harness.probeSucceeded(2, Replica, harness.now+time.Hour-5*time.Second)
			harness.probeSucceeded(3, Replica, harness.now+time.Hour-5*time.Second)
			for _, class := range []int{classBounded, classSession, classFresh} {
				arrival := Arrival{
					Class: class, Session: 7, TimeLeft: time.Second, LastWrite: harness.now + time.Hour,
				}
				actions := harness.arriveAs(RequestID(class+1), arrival)
				for _, action := range append(actions, harness.wait(100*ms)...) {
					if action.Kind == Send {
						require.Equal(t, NodeID(1), action.Node, "read of class %d", class)
					}
				}
			}
		})
	}
}

// An estimated offset of 0 gives the same actions as no estimate.
func TestOffsetOfZeroChangesNothing(t *testing.T) {
	run := func(event ...Event) (actions [][]Action) {
		harness := newHarness(t, defaultSettings())
		for id := RequestID(1); id < 200; id++ {
			harness.step(event...)
			actions = append(actions, harness.arrive(id, int(id)%6))
			harness.now += 7 * ms
			evidence := Evidence{Role: Replica, Position: harness.now - 150*ms}
			actions = append(actions, harness.done(id, 0, NodeID(1+id%3), OK, evidence))
		}
		return actions
	}
	require.Equal(t, run(), run(Event{Kind: ClockOffset}))
}

// NodeStatus.MaxLag accounts for the offset between the clocks.
func TestStatusReportsLagUnderAnOffset(t *testing.T) {
	forEachOffset(t, func(t *testing.T, offset time.Duration) {
		harness := newSkewedHarness(t, defaultSettings(), offset)
		harness.probeSucceeded(2, Replica, harness.now+offset-700*ms)
		for _, status := range harness.router.NodeStatuses(nil) {
			if status.ID == 2 {
				require.GreaterOrEqual(t, status.MaxLag, 700*ms)
				require.LessOrEqual(t, status.MaxLag, 700*ms+offsetError)
			}
		}
	})
}

// Only answers received since the start of its present process count towards the budget of a node that is warming up.
// The list reports that start by the nodes' clock, and processStart converts it to the router's clock.
func TestProcessStartIsConvertedToTheRoutersClock(t *testing.T) {
	for name, offset := range map[string]time.Duration{
		"clocks agree":                 0,
		"the router's clock is ahead":  -time.Hour,
		"the router's clock is behind": time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			router := New(Settings{Routers: 1, Classes: []Class{{Weight: 1}}, SlowStartTime: time.Minute}, 1)
			router.now = 2 * time.Hour
			router.applyOffset(clockoffset.Bounds{Latest: offset, Earliest: offset})
			start := router.now - time.Second
			router.applyEntry(Node{ID: 1, State: Ready, Started: start + offset})
			require.Equal(t, start, router.processStart(router.byID[1]))
		})
	}
}
