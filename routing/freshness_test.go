package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// If nodes answer stale reads, a replica counts as fresh only by the position that it has reported.
func TestOnlyProvenPositionsAreFresh(t *testing.T) {
	for name, testCase := range map[string]struct {
		class       int
		positionAge time.Duration // age of the replicas' positions
		writeAge    time.Duration // age of the session's last write; 0: none
		replica     bool          // the read goes to a replica
	}{
		"any read, stale replicas":     {classAny, time.Minute, 0, true},
		"bounded read, just fresh":     {classBounded, 200 * ms, 0, true},
		"bounded read, too old":        {classBounded, 201 * ms, 0, false},
		"session read, write seen":     {classSession, 50 * ms, 50 * ms, true},
		"session read, write not seen": {classSession, 51 * ms, 50 * ms, false},
		"session read, no write":       {classSession, time.Minute, 0, true},
		"fresh read":                   {classFresh, 1 * ms, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newEmptyHarness(t, defaultSettings(), 1)
			harness.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
			harness.probeSucceeded(1, Primary, harness.now)
			harness.probeSucceeded(2, Replica, harness.now-testCase.positionAge)
			harness.probeSucceeded(3, Replica, harness.now-testCase.positionAge)
			arrival := Arrival{Class: testCase.class, Session: 5, TimeLeft: time.Second}
			if testCase.writeAge > 0 {
				arrival.LastWrite = harness.now - testCase.writeAge
			}
			node := harness.requireSend("read", harness.arriveAs(7, arrival))
			require.Equal(t, testCase.replica, node != 1, "sent to node %d", node)
		})
	}
}

// If the router stores the sessions' positions, a session read must see the session's last answered write.
func TestSessionReadSeesItsWrite(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.KeepSessions = true })
	harness.now += 10 * ms
	harness.requireActions("write", harness.arrive(7, classWrite), Send)
	harness.done(7, 0, 1, OK, Evidence{Role: Primary, Position: harness.now + 1})
	node := harness.requireSend("the session's read",
		harness.arriveAs(8, Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}))
	require.Equal(t, NodeID(1), node, "sent to a node that has not applied the session's write")
}

// A session read that arrives while a write of its session is in flight, or after the answer to that write was lost,
// must see the write: it may have been committed. Without a reported commit position, the read must see all commits up
// to the end of the write's attempt, or up to its own arrival while that attempt is pending.
func TestSessionReadAfterAWriteWithoutAnAnswer(t *testing.T) {
	for name, testCase := range map[string]struct {
		status  Status
		note    Evidence
		replica bool // the read goes to a replica
	}{
		"connection broken":          {ConnectionBroken, Evidence{}, false},
		"timed out":                  {TimedOut, Evidence{}, false},
		"node error":                 {NodeError, Evidence{}, false},
		"answer without its commit":  {OK, Evidence{Role: Primary}, false},
		"answer with its commit":     {OK, Evidence{Role: Primary, Position: start - time.Second}, true},
		"rejected without being run": {NodeOverloaded, Evidence{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWith(t, func(settings *Settings) { settings.KeepSessions = true })
			read := func(id RequestID) NodeID {
				t.Helper()
				return harness.requireSend("read",
					harness.arriveAs(id, Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}))
			}
			harness.now += 10 * ms
			harness.requireActions("write",
				harness.arriveAs(1, Arrival{Class: classWrite, Session: 7, TimeLeft: time.Second}), Send)
			harness.now += 10 * ms
			require.Equal(t, NodeID(1), read(2), "while the write is in flight")
			outcome := Outcome{Node: 1, Status: testCase.status, Final: true, AnswerEvidence: testCase.note}
			harness.step(Event{Kind: AttemptDone, Request: 1, Outcome: outcome})
			node := read(3)
			require.Equal(t, testCase.replica, node != 1, "read after the write was sent to node %d", node)
		})
	}
}

// If nodes reject stale reads, the replica with the highest position is tried before the primary.
func TestMostAdvancedReplicaFirst(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.StaleReads = StaleRejected })
	harness.now += 900 * ms
	harness.probeSucceeded(2, Replica, harness.now-400*ms)
	harness.probeSucceeded(3, Replica, harness.now-250*ms)
	node := harness.requireSend("bounded read without a fresh replica", harness.arrive(7, classBounded))
	require.Equal(t, NodeID(3), node)
	actions := harness.done(7, 0, 3, NodeRejected, Evidence{Role: Replica, Position: harness.now - 250*ms})
	node = harness.requireSend("rejected by the node", actions)
	require.NotEqual(t, NodeID(3), node, "sent again to the node that rejected it")
}

// A report of a lower position does not replace a higher one that was reported before.
func TestPositionsNeverGoBack(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.probeSucceeded(2, Replica, harness.now-time.Minute)
	require.Equal(t, harness.now, harness.router.byID[2].position, "position after a report of a lower one")
}

// A fresh read goes to the primary even if nodes reject stale reads: no replica is known to have every commit.
func TestFreshReadGoesToThePrimary(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.StaleReads = StaleRejected })
	harness.now += ms
	node := harness.requireSend("fresh read", harness.arrive(7, classFresh))
	require.Equal(t, NodeID(1), node)
}

// If nodes reject stale reads, a replica with little lag in its last report still receives its reads, however old that
// report is: of many routers, each receives few reports.
func TestReplicaIsPresumedFreshWhereNodesCheck(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.StaleReads = StaleRejected })
	harness.now += 900 * ms
	harness.probeSucceeded(2, Replica, harness.now-500*ms)
	harness.probeSucceeded(3, Replica, harness.now-50*ms)
	harness.now += 900 * ms
	for id := range RequestID(20) {
		node := harness.requireSend("bounded read", harness.arrive(id+1, classBounded))
		require.Equal(t, NodeID(3), node)
		harness.done(id+1, 0, 3, OK, Evidence{})
	}
}
