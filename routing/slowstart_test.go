package routing

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowStartScenario describes a simulated fleet in which databases restart after a warm-up phase.
type slowStartScenario struct {
	name           string
	routers        int
	statedRouters  int // Settings.Routers
	spread         spread
	mix            []workload
	restart        []NodeID      // the databases that restart
	restartEvery   time.Duration // 0: once
	lag            time.Duration // of the restarted databases' positions
	listDelay      time.Duration // from a restart until the list reports it
	coldShare      float64       // Settings.SlowStartShare
	restartRouters bool          // the routers restart with the databases
	load           float64       // as a share of the warm databases' capacity
	window         time.Duration // overload window
	leastUsed      float64       // least share of the allowed work that is used, if there are few routers
	large          bool          // also run with a large fleet
	seed           uint64
}

// slowStartScenarios returns the scenarios for a fleet with the given number of routers. A large fleet runs only some
// of them. Settings that state a third of the routers represent a restart in which old and new processes of the routers
// overlap.
func slowStartScenarios(routers int) (scenarios []slowStartScenario) {
	lightMix := []workload{{classBounded, 0.85, 1}, {classWrite, 0.15, 1.5}}
	heavyMix := []workload{{classBounded, 0.81, 1}, {classAny, 0.04, 16}, {classWrite, 0.15, 1.6}}
	two, three, all := []NodeID{1, 2}, []NodeID{2, 3, 4}, []NodeID{1, 2, 3, 4, 5}
	for _, scenario := range []slowStartScenario{
		{name: "replica", restart: []NodeID{2}, leastUsed: 0.08, large: true},
		{name: "primary", restart: []NodeID{1}, leastUsed: 0.20, large: true},
		{name: "whole group", restart: all, leastUsed: 0.12},
		{name: "one router receives most requests", spread: oneHasMost, restart: two, large: true},
		{name: "a tenth of the routers is active", spread: tenthActive, restart: two, large: true},
		{name: "overload", load: 1.2, restart: two, leastUsed: 0.15},
		{name: "low load", load: 0.1, restart: two},
		{name: "colder start", coldShare: 0.05, restart: two, leastUsed: 0.15},
		{name: "short window", coldShare: 0.05, window: 500 * ms, restart: two, leastUsed: 0.08},
		{name: "restarts every 2.5 s", restartEvery: 2500 * ms, restart: two},
		{name: "settings state a third", statedRouters: max(1, routers/3), restart: two, large: true},
		{name: "routers restart with the databases", restartRouters: true, restart: all},
		{name: "restart listed 0.7 s late", load: 0.9, listDelay: 700 * ms, restart: two, large: true},
		{name: "heavy reads", mix: heavyMix, restart: three, leastUsed: 0.08},
		{name: "lag allows only heavy reads", mix: heavyMix, lag: 30 * time.Second, restart: three, large: true},
		{name: "heavy reads, whole group", mix: heavyMix, restart: all, leastUsed: 0.12, large: true},
		{name: "heavy reads, one router receives most requests", mix: heavyMix, spread: oneHasMost, restart: three},
		{name: "heavy reads, routers restart with the databases", mix: heavyMix, restartRouters: true, restart: all},
	} {
		scenario.routers = routers
		scenario.statedRouters = cmp.Or(scenario.statedRouters, routers)
		scenario.load = cmp.Or(scenario.load, 0.7)
		scenario.coldShare = cmp.Or(scenario.coldShare, 0.16)
		scenario.window = cmp.Or(scenario.window, 2*time.Second)
		if scenario.mix == nil {
			scenario.mix = lightMix
		}
		if scenario.large || routers < 300 {
			scenarios = append(scenarios, scenario)
		}
	}
	return scenarios
}

// All routers together send a warming database no more than its limit, and use the budget if there are few routers.
// With many routers a scenario has too few requests to use it: TestSlowStartBudgetIsUsedBySparseRequests covers that
// case.
func TestSlowStart(t *testing.T) {
	for _, fleet := range []struct {
		routers, seeds int
		used           bool // the budget must be used
	}{{1, 3, true}, {2, 2, true}, {5, 2, true}, {30, 1, true}, {300, 1, false}, {900, 1, false}} {
		for _, scenario := range slowStartScenarios(fleet.routers) {
			t.Run(fmt.Sprintf("%d routers, %s", scenario.routers, scenario.name), func(t *testing.T) {
				for seed := range fleet.seeds {
					scenario.seed = uint64(seed) + 4
					worst, used := newSlowFleet(scenario).run()
					t.Logf("seed %d: %.2f of the limit in the worst window, %.3f of the allowed work used",
						scenario.seed, worst, used)
					require.LessOrEqual(t, worst, 1.0, "seed %d: share of the limit in the worst window", scenario.seed)
					if fleet.used {
						require.GreaterOrEqual(t, used, scenario.leastUsed, "seed %d: allowed work used", scenario.seed)
					}
				}
			})
		}
	}
}
