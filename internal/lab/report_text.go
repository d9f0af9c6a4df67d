package lab

import (
	"fmt"
	"io"
	"strings"

	"capercove/internal/load"
	"capercove/internal/scenario"
)

// Print writes the run as text: a table of the classes, one of the tenants if there are several, the events, and
// whether the expectations were met.
func (run *Run) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s (%s, seed %d): %.0f s, score %.3f\n\n",
		run.Scenario.Name, run.Kind, run.Scenario.Seed, run.Scenario.Seconds, run.Result.Score())
	printStats(&text, "class", run.Result.Classes)
	if len(run.Result.Tenants) > 1 {
		text.WriteString("\n")
		printStats(&text, "tenant", run.Result.Tenants)
	}
	text.WriteString("\n")
	for _, event := range run.Events {
		fmt.Fprintf(&text, "  %7.3f s  %s\n", event.At.Seconds(), event.Description)
	}
	for number, usage := range run.Usage {
		fmt.Fprintf(&text, "  %s: %.2f s of CPU, %.0f MB\n",
			scenario.PoolerName(number), usage.CPU.Seconds(), usage.MemoryMB)
	}
	fmt.Fprintf(&text, "  %d executions, %d of them writes,"+
		" %d at a database that wrongly took itself for the primary\n",
		run.Ledger.Executions, run.Ledger.WriteExecutions, run.Ledger.LostWrites)
	switch {
	case run.Invalid != "":
		fmt.Fprintf(&text, "\nVOID: %s\n", run.Invalid)
	case len(run.Unmet) > 0:
		text.WriteString("\nNOT MET:\n")
		for _, line := range run.Unmet {
			fmt.Fprintf(&text, "  %s\n", line)
		}
	default:
		text.WriteString("\nAll that is expected is met, and no rule was broken.\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// printStats prints a table of classes or tenants.
func printStats(text *strings.Builder, title string, all map[string]*load.Stats) {
	const nameFormat = "  %-16s"
	fmt.Fprintf(text, nameFormat, title)
	for _, column := range statsColumns {
		fmt.Fprintf(text, " %*s", column.width, column.Title)
	}
	text.WriteString("\n")
	for _, name := range sortedNames(all) {
		fmt.Fprintf(text, nameFormat, name)
		for _, column := range statsColumns {
			fmt.Fprintf(text, " %*s", column.width, column.cell(all[name]))
		}
		text.WriteString("\n")
	}
}
