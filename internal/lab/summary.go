package lab

import (
	"encoding/json"
	"fmt"
	"io"

	"capercove/internal/load"
)

// Summary is a run in the form of summary.json. The JSON names and their order are read by others.
type Summary struct {
	Scenario       string
	Kind           string
	Seed           uint64
	Score          float64
	Classes        map[string]StatsSummary
	Tenants        map[string]StatsSummary
	Unmet          []string `json:"Missed"`
	Invalid        string   `json:"Void,omitempty"`
	Events         []string
	CPUSeconds     []float64
	MemoryMB       []float64
	Executions     int64
	BrokenRules    int
	LostAtUsurpers int64
	RunSeconds     float64
}

// StatsSummary is a class or tenant in a Summary. InTime and Served are shares.
type StatsSummary struct {
	Requests      int64 `json:"Asked"`
	Rejected      int64 `json:"Refused"`
	Failed        int64
	Unanswered    int64
	Retried       int64 `json:"Retries"`
	RetriedServed int64 `json:"RetriesServed"`
	InTime        float64
	Served        float64
	P50MS         float64
	P99MS         float64
	MaxMS         float64
}

// Summary returns the summary of the run.
func (run *Run) Summary() Summary {
	summary := Summary{
		Scenario:       run.Scenario.Name,
		Kind:           run.Kind.String(),
		Seed:           run.Scenario.Seed,
		Score:          run.Result.Score(),
		Classes:        summarizeAll(run.Result.Classes),
		Tenants:        summarizeAll(run.Result.Tenants),
		Unmet:          run.Unmet,
		Invalid:        run.Invalid,
		Executions:     run.Ledger.Executions,
		BrokenRules:    run.Ledger.ViolationCount,
		LostAtUsurpers: run.Ledger.LostWrites,
		RunSeconds:     run.Duration.Seconds(),
	}
	for _, event := range run.Events {
		summary.Events = append(summary.Events, fmt.Sprintf("%.3f %s", event.At.Seconds(), event.Description))
	}
	for _, usage := range run.Usage {
		summary.CPUSeconds = append(summary.CPUSeconds, usage.CPU.Seconds())
		summary.MemoryMB = append(summary.MemoryMB, usage.MemoryMB)
	}
	return summary
}

// summarizeAll returns the summaries of classes or tenants.
func summarizeAll(all map[string]*load.Stats) map[string]StatsSummary {
	summaries := map[string]StatsSummary{}
	for name, stats := range all {
		summaries[name] = summarize(stats)
	}
	return summaries
}

// summarize returns the summary of a class or tenant.
func summarize(stats *load.Stats) StatsSummary {
	return StatsSummary{
		Requests:      stats.Requests,
		Rejected:      stats.Rejected,
		Failed:        stats.Failed,
		Unanswered:    stats.Unanswered,
		Retried:       stats.Retried,
		RetriedServed: stats.RetriedServed,
		InTime:        stats.InTimeShare(),
		Served:        stats.ServedShare(),
		P50MS:         stats.LatencyMS(50),
		P99MS:         stats.LatencyMS(99),
		MaxMS:         stats.LatencyMS(100),
	}
}

// JSON writes the summary.
func (run *Run) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(run.Summary())
}
