package lab

import (
	"encoding/csv"
	"io"
	"strconv"
)

// csvHeader names the columns of the seconds; slowest_us is in microseconds.
var csvHeader = []string{"second", "class", "asked", "in_time", "served", "refused", "failed", "slowest_us"}

// CSV writes the seconds of the run, with a line for each second and class.
func (run *Run) CSV(out io.Writer) error {
	rows := [][]string{csvHeader}
	for number := range int(run.Scenario.Seconds) {
		second := run.Result.Seconds[number]
		for _, class := range sortedNames(run.Result.Classes) {
			row := []string{strconv.Itoa(number), class}
			counts := second[class]
			for _, value := range []int64{
				counts.Requests, counts.InTime, counts.Served, counts.Rejected, counts.Failed, counts.MaxLatency,
			} {
				row = append(row, formatCount(value))
			}
			rows = append(rows, row)
		}
	}
	return csv.NewWriter(out).WriteAll(rows)
}
