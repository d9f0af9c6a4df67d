package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two consecutive connection failures eject a node. A single one does not, nor do two with an answer between them.
func TestTwoBrokenConnectionsEject(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	node := harness.router.byID[1]
	for i, status := range []Status{ConnectionBroken, OK, ConnectFailed, ConnectionBroken} {
		id := RequestID(i + 1)
		harness.arrive(id, classWrite)
		harness.done(id, 0, 1, status, Evidence{Role: Primary, Position: harness.now})
		require.Equal(t, i == 3, node.ejected, "after %d outcomes", i+1)
		harness.wait(100 * ms)
	}
}

// Incident iee1e48: a node that leaves requests unanswered is ejected even if its probes succeed.
func TestUnresponsiveNodeIsEjected(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	for id := RequestID(10); id < 16; id++ {
		harness.arrive(id, classBounded)
	}
	node := harness.router.byID[2]
	for range 60 {
		harness.wait(10 * ms)
		harness.reportAll()
	}
	require.True(t, node.ejected, "node 2 answers no request and is not ejected")
	require.True(t, node.unresponsive)
}

// Incident i10e2be: short timeouts of clients prove nothing about a node and must not eject it.
func TestClientTimeoutsDoNotEject(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	for id := RequestID(10); id < 20; id++ {
		harness.arrive(id, classFresh)
		harness.now += ms
		harness.done(id, 0, 1, TimedOut, Evidence{})
	}
	require.False(t, harness.router.byID[1].ejected, "the primary was ejected after client timeouts")
}

// A read whose latency objective is several seconds does not eject its node while it runs, even if nothing else is
// answered there. A write is still sent to the node.
func TestLongReadDoesNotEject(t *testing.T) {
	settings := defaultSettings()
	longReads := &settings.Classes[classAny]
	longReads.LatencyObjective, longReads.Deadline = 5*time.Second, 10*time.Second
	harness := newHarness(t, settings)
	harness.list(Node{ID: 1, State: Ready})
	harness.probeSucceeded(1, Replica, harness.now)
	harness.requireActions("long read", harness.arrive(7, classAny), Send)
	harness.wait(2 * time.Second)
	harness.probeSucceeded(1, Primary, harness.now)
	harness.requireActions("write while the read runs", harness.arrive(8, classWrite), Send)
}

// A node behind a network partition has not restarted: it receives its full share once it is readmitted. A node
// without a listening process has restarted and goes through slow start.
func TestPartitionedNodeSkipsSlowStart(t *testing.T) {
	for name, testCase := range map[string]struct {
		status    Status
		restarted bool
	}{
		"partitioned":   {ConnectFailed, false},
		"not listening": {ConnectRefused, true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			for range 2 {
				harness.probeFailed(2, testCase.status)
			}
			position := harness.now
			node := harness.router.byID[2]
			require.True(t, node.ejected, "node 2 is unreachable and not ejected")
			harness.now += 5 * time.Second
			harness.probeSucceeded(2, Replica, position) // its position has not advanced since then
			require.False(t, node.ejected)
			share := harness.router.capacityShare(node)
			require.Equal(t, testCase.restarted, share < 1, "share of capacity %v", share)
		})
	}
}

// A node without free connections refuses connections, like a node without a listening process. It counts as restarted
// only if its position did not keep up with replication during the ejection. With an empty probe budget the node is
// readmitted after its backoff without a probe.
func TestNodeWithoutFreeConnectionsDoesNotCountAsRestarted(t *testing.T) {
	for name, keptUp := range map[string]bool{"position kept up": true, "position did not advance": false} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, defaultSettings())
			node := harness.router.byID[2]
			harness.router.eject(node, false)
			node.notListening = true
			position := node.position
			harness.router.probeBudget = 0
			harness.now += 5 * time.Second
			if keptUp {
				position = harness.now - 20*ms
			}
			harness.probeSucceeded(2, Replica, position)
			require.False(t, node.ejected)
			require.Equal(t, keptUp, node.restartedAt == 0, "restarted at %v", node.restartedAt)
			harness.router.eject(node, false)
			harness.router.probeBudget = 0
			harness.wait(5 * time.Second)
			require.False(t, node.ejected, "still ejected after 5 s without a probe")
		})
	}
}
