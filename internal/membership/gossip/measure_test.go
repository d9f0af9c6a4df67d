package gossip_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"capercove/internal/faults"
	"capercove/internal/testbed"
)

// TestMeasure prints the figures that docs/measured/membership.md quotes. FLEET_MEASURE=5,15,30 lists the sizes of the
// fleets. It asserts nothing itself.
func TestMeasure(t *testing.T) {
	for size := range strings.SplitSeq(os.Getenv("FLEET_MEASURE"), ",") {
		var n int
		if _, err := fmt.Sscan(size, &n); err != nil {
			t.Skip("FLEET_MEASURE names no sizes")
		}
		t.Run(size, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	t.Helper()
	fleet := testbed.NewFleet(t, uint64(n), n, []string{"n0", "n1"}, "count = true\ndoubt = true")
	fleet.StartAll()
	all, half := fleet.Names, n/2
	bytes := func() (sum int64) {
		for _, from := range all {
			for _, to := range all {
				sum += fleet.Net.Count(from, to).Bytes
			}
		}
		return sum
	}
	cpu := func() (sum time.Duration) {
		for _, name := range all {
			sum += fleet.Beds[name].CPU()
		}
		return sum
	}
	report := func(what string, took time.Duration) { t.Logf("%d poolers, %s: %.1f s", n, what, took.Seconds()) }
	report("the last joined", fleet.WaitConverged("joined", all...))
	reportRates := func(what string) {
		sentBefore, cpuBefore, started := bytes(), cpu(), time.Now()
		time.Sleep(20 * time.Second)
		seconds := time.Since(started).Seconds()
		sentRate := float64(bytes()-sentBefore) / seconds / float64(n)
		cpuRate := float64((cpu() - cpuBefore).Microseconds()) / 1000 / seconds / float64(n)
		t.Logf("%d poolers, %s: %.0f bytes/s sent and %.2f ms/s of CPU a pooler", n, what, sentRate, cpuRate)
	}
	reportRates("quiet")
	fleet.Kill("n2")
	rest := without(all, "n2")
	report("a crash", fleet.WaitConverged("killed", rest...))
	fleet.Restart("n2")
	report("its restart", fleet.WaitConverged("back", all...))
	fleet.Net.Partition(all[:half], all[half:])
	started := time.Now()
	fleet.WaitConverged("one side", slices.Clone(all[:half])...)
	fleet.WaitConverged("the other", slices.Clone(all[half:])...)
	report("a cut in two", time.Since(started))
	fleet.Net.Heal()
	report("its end", fleet.WaitConverged("healed", all...))
	refuted := func() (sum int64) {
		for _, name := range all {
			sum += fleet.State(name).Refutations
		}
		return sum
	}
	before := refuted()
	impairAllLinks(fleet.Net, all, faults.Link{Loss: 0.1})
	reportRates("a tenth lost")
	fleet.Net.Heal()
	fleet.WaitConverged("after the loss", all...)
	t.Logf("%d poolers, wrongly found gone in 20 s with a tenth lost: %d", n, refuted()-before)
}
