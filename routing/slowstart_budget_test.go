package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newWarmingHarness returns a harness whose router has one node, a primary that has just started.
func newWarmingHarness(t *testing.T) *routerHarness {
	harness := newHarness(t, defaultSettings())
	harness.list(Node{ID: 1, State: Ready, Started: harness.now}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	harness.probeSucceeded(1, Primary, harness.now+1)
	return harness
}

// burst passes writes with consecutive IDs from first to the router and returns how many were sent. If answered is
// true, each one is answered at once.
func (h *routerHarness) burst(first RequestID, writes int, answered bool) (sent int) {
	for id := first; id < first+RequestID(writes); id++ {
		for _, action := range h.arrive(id, classWrite) {
			if action.Kind != Send {
				continue
			}
			sent++
			if answered {
				h.done(id, 0, 1, OK, Evidence{Role: Primary, Position: h.now})
			}
		}
	}
	return sent
}

// Writes to a primary that is warming up stay within the budget of an overload window. Answers in the window raise the
// budget and expire with the window. Without them, a router that has received no other answers, such as one that has
// just started, would never send more than minSlowStartSends.
func TestSlowStartBudgetGrowsWithAnswers(t *testing.T) {
	t.Run("no answers", func(t *testing.T) {
		sent := newWarmingHarness(t).burst(10, 50, false)
		require.Positive(t, sent)
		require.LessOrEqual(t, float64(sent), float64(minSlowStartSends))
	})
	t.Run("answers at once", func(t *testing.T) {
		require.GreaterOrEqual(t, newWarmingHarness(t).burst(10, 50, true), 40)
	})
	t.Run("answers expire with the window", func(t *testing.T) {
		harness := newWarmingHarness(t)
		answered := harness.burst(10, 8, true)
		require.Equal(t, 8, answered)
		maxSends := int(math.Ceil(0.5 * harness.router.settings.OverloadMultiple * float64(answered)))
		require.Equal(t, maxSends, answered+harness.burst(20, 50, false), "sends in a window with 8 answers")
		harness.wait(2 * harness.router.settings.OverloadWindow) // the writes that wait meanwhile are rejected
		sent := harness.burst(100, 50, false)
		require.LessOrEqual(t, float64(sent), float64(minSlowStartSends), "sends after the answers expired")
	})
}

// If the router learns of a restart late, what it sent in the window before counts towards the budget. Answers of the
// earlier process do not raise the budget of the new one.
func TestSlowStartBudgetOfAStartLearnedLate(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	harness.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	isSent := func(id RequestID) bool {
		actions := harness.arrive(id, classWrite)
		return len(actions) == 1 && actions[0].Kind == Send
	}
	for id := RequestID(10); id < 20; id++ {
		require.True(t, isSent(id), "write %d to a warm primary was not sent", id)
		harness.done(id, 0, 1, OK, Evidence{Role: Primary, Position: harness.now})
	}
	harness.now += 500 * ms
	started := harness.now - 100*ms
	harness.list(Node{ID: 1, State: Ready, Started: started}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	harness.probeSucceeded(1, Primary, harness.now)
	for id := RequestID(30); id < 35; id++ {
		require.False(t, isSent(id), "write %d to a warming primary was sent after ten others in the window", id)
	}
	harness.wait(2 * harness.router.settings.OverloadWindow) // the writes that wait meanwhile are rejected
	require.True(t, isSent(40), "a write was not sent after the window had passed")
}

// newWarmingRouter returns one of many routers with a node that has just started. Once warm, the node completes perNode
// requests per second.
func newWarmingRouter(settings Settings, index int, perNode float64) *Router {
	router := New(settings, uint64(index)*7919+1)
	router.now = start
	router.applyList([]Node{{ID: 1, State: Ready, Started: start - ms}}, true)
	router.warmRate = perNode / float64(settings.Routers)
	return router
}

// trySlowStartSend sends the warming node a request of mean work if the budget allows it. It reports whether it did.
func trySlowStartSend(router *Router) bool {
	node := router.byID[1]
	if !router.withinSlowStart(node, &openRequest{class: &router.settings.Classes[classAny]}) {
		return false
	}
	node.slowStart.Sent(router.now, router.settings.OverloadWindow, 1)
	return true
}

// If each of 90 routers always had one send left for a node that is warming up, they could send 90 requests at once.
// All routers together must stay within OverloadMultiple times the node's current capacity.
func TestSlowStartBudgetHoldsForAllRoutersTogether(t *testing.T) {
	for _, routers := range []int{1, 3, 30, 90, 290} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			settings := defaultSettings()
			settings.Routers = routers
			const perNode = 60.0 // completions per second of a warm node
			elapsedShare := float64(settings.OverloadWindow/2) / float64(settings.SlowStartTime)
			share := settings.SlowStartShare + (1-settings.SlowStartShare)*elapsedShare
			sent := 0
			for i := range routers {
				router := newWarmingRouter(settings, i, perNode)
				for range 200 {
					router.now += 10 * ms
					if trySlowStartSend(router) {
						sent++
					}
				}
			}
			budget := settings.OverloadMultiple * share * perNode * settings.OverloadWindow.Seconds()
			require.LessOrEqual(t, float64(sent), budget, "sends in one window")
			require.NotZero(t, sent)
		})
	}
}

// Many routers with sparse requests still use the budget of a warming node. A router's random permission to send must
// last until a request arrives, and the routers must not all have it at the same time.
func TestSlowStartBudgetIsUsedBySparseRequests(t *testing.T) {
	settings := defaultSettings()
	settings.Routers = 300
	const (
		perNode     = 60.0 // completions per second of a warm node
		arrivalRate = 0.7  // requests per second at each router
	)
	var routers []*Router
	for i := range settings.Routers {
		routers = append(routers, newWarmingRouter(settings, i, perNode))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	window := int(settings.OverloadWindow / tickInterval)
	steps := int(settings.SlowStartTime * 4 / 5 / tickInterval)
	sends := make([]int, steps)
	total, maxUsed := 0, 0.0
	for step := range steps {
		for _, router := range routers {
			router.now = start + time.Duration(step)*tickInterval
			if rng.Float64() < arrivalRate*tickInterval.Seconds() && trySlowStartSend(router) {
				sends[step]++
			}
		}
		total += sends[step]
		inWindow := 0
		for _, count := range sends[max(0, step-window) : step+1] {
			inWindow += count
		}
		share := float64(routers[0].capacityShare(routers[0].byID[1]))
		budget := settings.OverloadMultiple * share * perNode * settings.OverloadWindow.Seconds()
		maxUsed = max(maxUsed, float64(inWindow)/budget)
	}
	duration := float64(steps) * tickInterval.Seconds()
	allowed := float64(settings.SlowStartShare+1) / 2 * perNode * settings.OverloadMultiple * duration
	require.GreaterOrEqual(t, float64(total)/allowed, 0.2, "share of the budget that is used")
	require.LessOrEqual(t, maxUsed, 0.8, "share of the budget that is used in the worst window")
}
