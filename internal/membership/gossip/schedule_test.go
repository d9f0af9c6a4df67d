package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// faultSteps is how many steps each schedule of faults has.
const faultSteps = 10

// A fleet runs during a schedule of faults that a seed determines. Links are impaired, or cut in one or both
// directions. The network is partitioned. Poolers are killed, paused and restarted. Each running pooler gives each
// request one answer, and each write reaches the primary exactly once. When all faults are over, all views converge,
// with exactly the running poolers live.
func TestFaultSchedules(t *testing.T) {
	testbed.RunSeeds(t, "FLEET_SEEDS", 2, func(t *testing.T, seed uint64) {
		t.Parallel()
		runSchedule(t, seed)
	})
}

// runSchedule runs the schedule of a seed, and checks each answer and the state at the end.
func runSchedule(t *testing.T, seed uint64) {
	t.Helper()
	fleet := testbed.NewFleet(t, seed, 4, []string{"n0", "n1"},
		fastGossip+"\ncount = true\ndoubt = true\nconnections = 8")
	fleet.StartAll()
	requests := 0
	ask := func(name, class string) {
		t.Helper()
		requests++
		requireOneAnswer(t, fleet.Beds[name], class, fmt.Sprintf("%s-%d-%d-", class, seed, requests))
	}
	random := rand.New(rand.NewPCG(seed, 0x9a9))
	for _, step := range faults.Plan(seed, fleet.Names, faultSteps) {
		fleet.Apply(step)
		if running := fleet.Running(); random.IntN(2) == 0 { // otherwise the next step follows at once
			fleet.Periods(random.IntN(40), running...)
		}
		for _, name := range fleet.Running() {
			ask(name, "write")
			ask(name, "report")
		}
	}
	fleet.WaitConverged("all faults over", fleet.Names...)
	for _, name := range fleet.Names {
		for _, pooler := range fleet.State(name).Poolers {
			isLive := slices.Contains(fleet.Names, pooler.Name) && pooler.State == "live"
			require.True(t, isLive, "%s sees %+v", name, pooler)
		}
	}
	require.Equal(t, pg.Reply{Complete: true}, fleet.Beds["n0"].Client().Ask(""))
}

// requireOneAnswer requires that a statement is answered without an error and, if it writes, reaches the primary once.
func requireOneAnswer(t *testing.T, bed *testbed.Bed, class, key string) {
	t.Helper()
	reply := bed.Client().Ask(bed.Statement(class, key, testbed.Timeout))
	require.True(t, reply.Complete && reply.Code == "", "%s: %s", key, reply.Code)
	if class != "write" {
		return
	}
	received := 0
	for _, sql := range bed.Databases[0].Statements() {
		if strings.Contains(sql, key) {
			received++
		}
	}
	require.Equal(t, 1, received, key)
}
