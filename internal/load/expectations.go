package load

import (
	"fmt"
	"slices"

	"capercove/internal/emulator"
	"capercove/internal/scenario"
)

// Unmet returns, as sorted lines, the rules that were broken and the expectations of the scenario that were not met.
func (result *Result) Unmet(described *scenario.Scenario, ledger *emulator.Ledger) (unmet []string) {
	for _, violation := range ledger.Violations {
		unmet = append(unmet, "rule broken: "+violation.String())
	}
	if unlisted := ledger.ViolationCount - len(ledger.Violations); unlisted > 0 {
		unmet = append(unmet, fmt.Sprintf("rules broken %d times more", unlisted))
	}
	requireShare := func(what, name string, share, least float64) {
		if share < least {
			unmet = append(unmet, fmt.Sprintf("%s of %s is %.3f, under %.3f", what, name, share, least))
		}
	}
	for name, least := range described.Expect.InTime {
		requireShare("share in time", name, result.Classes[name].InTimeShare(), least)
	}
	for name, least := range described.Expect.Served {
		requireShare("share served", name, result.Classes[name].ServedShare(), least)
	}
	for name, least := range described.Expect.TenantInTime {
		if stats := result.Tenants[name]; stats != nil {
			requireShare("share in time", "tenant "+name, stats.InTimeShare(), least)
		}
	}
	slices.Sort(unmet)
	return unmet
}
