package lab

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"capercove/internal/load"
)

// statsColumn is a column of the tables of classes and tenants.
type statsColumn struct {
	Title string
	width int // in text
	cell  func(stats *load.Stats) string
}

// statsColumns are the columns behind the one of the names.
var statsColumns = []statsColumn{
	{"asked", 7, func(stats *load.Stats) string { return formatCount(stats.Requests) }},
	{"in time", 8, func(stats *load.Stats) string { return formatShare(stats.InTimeShare()) }},
	{"served", 8, func(stats *load.Stats) string { return formatShare(stats.ServedShare()) }},
	{"refused", 8, func(stats *load.Stats) string { return formatCount(stats.Rejected) }},
	{"failed", 7, func(stats *load.Stats) string { return formatCount(stats.Failed) }},
	{"silent", 7, func(stats *load.Stats) string { return formatCount(stats.Unanswered) }},
	{"p50 ms", 9, func(stats *load.Stats) string { return formatLatency(stats.LatencyMS(50)) }},
	{"p99 ms", 9, func(stats *load.Stats) string { return formatLatency(stats.LatencyMS(99)) }},
	{"max ms", 9, func(stats *load.Stats) string { return formatLatency(stats.LatencyMS(100)) }},
}

func formatCount(count int64) string { return strconv.FormatInt(count, 10) }

func formatShare(share float64) string { return fmt.Sprintf("%.3f", share) }

func formatLatency(milliseconds float64) string { return fmt.Sprintf("%.1f", milliseconds) }

// sortedNames returns the names of classes or tenants in alphabetical order.
func sortedNames(all map[string]*load.Stats) []string { return slices.Sorted(maps.Keys(all)) }
