package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Fast answers raise a node's bound up to maxBound and slow answers lower it. A bound at its maximum falls after one
// slow period: the integral does not wind up.
func TestControlLoopMovesBoundWithoutWindup(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	node := harness.router.byID[2]
	feed := func(ratio float64, periods int) {
		for range periods {
			node.ratioSum, node.samples = ratio*minSamples, minSamples
			harness.router.controlStep()
		}
	}
	feed(0.3, 200)
	require.EqualValues(t, maxBound, node.bound, "after fast answers")
	require.Zero(t, node.delta, "last change at the maximum")
	feed(1.5, 1)
	require.Less(t, node.bound, float64(maxBound), "integral windup: bound after one slow period")
	feed(2, 100)
	require.InDelta(t, minBoundShare*maxBound, node.bound, 0, "after slow answers")
	require.Zero(t, node.delta, "last change at the minimum")
	node.ratioSum, node.samples = 0.1, minSamples-1
	harness.router.controlStep()
	require.EqualValues(t, minSamples-1, node.samples, "samples carried over, since there were too few")
}

// readRounds passes reads to a router in rounds. The reads of a round end together.
type readRounds struct {
	*routerHarness
	reportsQueue bool // the nodes report their queue length
	nextID       RequestID
}

// run runs one round of 60 reads. The reads that the router sends end with a report of the queue length. It returns
// how many were sent.
func (r *readRounds) run(queueLength float64) int {
	sent := map[RequestID]NodeID{}
	var order []RequestID
	for range 60 {
		r.nextID++
		for _, action := range r.arrive(r.nextID, classAny) {
			if action.Kind == Send {
				order, sent[r.nextID] = append(order, r.nextID), action.Node
			}
		}
	}
	for _, id := range order {
		r.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
			Node: sent[id], Status: OK, Final: true, Duration: 150 * ms,
			HealthReport: Evidence{
				Role: Replica, Position: r.now, ReportsQueue: r.reportsQueue, QueueLength: queueLength,
			},
		}})
	}
	r.now += 20 * ms
	return len(order)
}

// runMany runs the given number of rounds and then one more. It returns how many reads were sent in the last one.
func (r *readRounds) runMany(rounds int, queueLength float64) int {
	for range rounds {
		r.run(queueLength)
	}
	return r.run(queueLength)
}

// A node that reports an empty queue although it has as many requests in flight as expected of its size is sent more
// reads. After reports of long queues it is sent fewer again. Without reports of the queue the size stays at 1.
func TestSizeFollowsReportedQueueLength(t *testing.T) {
	for name, reportsQueue := range map[string]bool{"queue not reported": false, "queue reported": true} {
		t.Run(name, func(t *testing.T) {
			rounds := &readRounds{
				routerHarness: newHarness(t, defaultSettings()), reportsQueue: reportsQueue, nextID: 10,
			}
			few := rounds.runMany(50, 1) // a queue length that leaves the size unchanged, until the latency is known
			many := rounds.runMany(300, 0)
			require.Equal(t, reportsQueue, many > 2*few, "%d reads in flight at first, %d with empty queues", few, many)
			again := rounds.runMany(300, 1000)
			require.LessOrEqual(t, again, few, "reads in flight with long queues")
		})
	}
}

// The estimate of a node's in-flight requests decays within seconds for any number of routers. A request that one of
// many routers had in flight for some seconds must not keep that router from the node for minutes.
func TestEstimatedInFlightDecays(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.Routers = 290 })
	node := harness.router.byID[2]
	harness.router.addInFlight(node, 1)
	harness.now += 5 * time.Second
	harness.step()
	harness.router.addInFlight(node, -1)
	harness.now += 20 * time.Second
	harness.step()
	load := harness.router.estimatedInFlight(node)
	require.LessOrEqual(t, load, harness.router.effectiveBound(node), "20 s after the only request ended")
}
