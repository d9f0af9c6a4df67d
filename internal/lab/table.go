package lab

import (
	"fmt"
	"math"
	"strings"
)

// Pair is a real run and a run of the model of the same scenario.
type Pair struct {
	Real, Model *Run
}

// tableHeader is the head of the table in Markdown.
const tableHeader = "| scenario | class | asked | in time, real | model |" +
	" p50 ms, real | model | p99 ms, real | model | rules broken |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Table returns a Markdown table of real runs beside the model's, by class, and how much the model's shares in time
// deviate.
func Table(pairs []Pair) string {
	var text strings.Builder
	text.WriteString(tableHeader)
	var sum, greatest float64 // of deviations
	rows := 0
	for _, pair := range pairs {
		for _, class := range sortedNames(pair.Real.Result.Classes) {
			real, model := pair.Real.Result.Classes[class], pair.Model.Result.Classes[class]
			if real.Requests == 0 {
				continue
			}
			fmt.Fprintf(&text, "| %s | %s | %d | %.3f | %.3f | %.1f | %.1f | %.1f | %.1f | %d and %d |\n",
				pair.Real.Scenario.Name, class, real.Requests, real.InTimeShare(), model.InTimeShare(),
				real.LatencyMS(50), model.LatencyMS(50), real.LatencyMS(99), model.LatencyMS(99),
				pair.Real.Ledger.ViolationCount, pair.Model.Ledger.ViolationCount)
			deviation := math.Abs(real.InTimeShare() - model.InTimeShare())
			sum += deviation
			greatest = max(greatest, deviation)
			rows++
		}
	}
	fmt.Fprintf(&text, "\nShares in time: the model is off by %.3f in the mean and %.3f at the most.\n",
		sum/float64(max(1, rows)), greatest)
	return text.String()
}
