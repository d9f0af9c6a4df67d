package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"capercove/internal/maintenance"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// timeLayout is the format of times in the history, which are in UTC.
const timeLayout = "2006-01-02 15:04:05.000"

// print writes text to the output. An error is ignored, because it could only be reported to the same output.
func (o *operator) print(text string) { _, _ = io.WriteString(o.out, text) }

// println writes a value and a newline.
func (o *operator) println(value any) { o.print(fmt.Sprintln(value)) }

// printOrder prints the steps of a dry run.
func (o *operator) printOrder(order []maintenance.DryRunStep) {
	printTable(o.out, len(order), func(i int) string {
		step, note := order[i], ""
		if step.HandOver != "" {
			note = "after " + step.HandOver + " has taken over"
		}
		return fmt.Sprintf("%d\t%s\tleaves %.2f\t%s", i+1, step.Machine, step.Leaves, note)
	})
}

// printTable prints rows whose cells are separated by tabs. It ignores errors of the output, as print does.
func printTable(out io.Writer, rows int, row func(i int) string) {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for i := range rows {
		_, _ = fmt.Fprintln(table, row(i))
	}
	_ = table.Flush()
}

// print writes the status as text for people.
func (s Status) print(out *strings.Builder) {
	if s.Plan.ID == "" {
		out.WriteString("no plan\n")
		return
	}
	if !s.Agreed {
		fmt.Fprintf(out, "as %s has it, %s\n", s.Pooler.Name, s.Why)
	}
	fmt.Fprintf(out, "plan %s: %s", s.Plan.ID, s.Plan.State)
	if s.Plan.Why != "" {
		fmt.Fprintf(out, " (%s)", s.Plan.Why)
	}
	out.WriteString("\n")
	printTable(out, len(s.Steps), func(i int) string { return s.stepRow(s.Steps[i]) })
	if handOver := s.Plan.HandOver; handOver != nil {
		fmt.Fprintf(out, "%s is to take over from %s, %d\n", handOver.To, handOver.From, handOver.Number)
	}
}

// stepRow returns the table row of one step.
func (s Status) stepRow(step maintenance.Step) string {
	note := s.WaitReasons[step.Machine]
	switch {
	case step.State == maintenance.Draining && len(s.MissingReports) > 0:
		note = "not heard yet: " + strings.Join(s.MissingReports, " ")
	case len(step.Unreachable) > 0:
		note = strings.TrimSpace(note + " without " + strings.Join(step.Unreachable, " "))
	}
	number := ""
	if step.Number > 0 {
		number = strconv.FormatUint(step.Number, 10)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s", step.Machine, step.State, number, note)
}

// history prints the history of the record.
func (o *operator) history(asJSON bool) error {
	record, err := o.readRecord()
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(o.out).Encode(record.History)
	}
	for _, entry := range record.History {
		at := time.UnixMilli(entry.At).UTC().Format(timeLayout)
		o.println(strings.TrimSpace(fmt.Sprintf("%s %s: %s %s", at, entry.By, entry.Machine, entry.Text)))
	}
	return nil
}
