package agent

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"capercove/internal/maintenance"
)

func (o *operator) order(order []maintenance.DryRunStep) {
	t := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for i, s := range order {
		text := ""
		if s.HandOver != "" {
			text = "after " + s.HandOver + " has taken over"
		}
		fmt.Fprintf(t, "%d\t%s\tleaves %.2f\t%s\n", i+1, s.Machine, s.Leaves, text)
	}
	t.Flush()
}

func (s Status) print(out io.Writer) {
	switch {
	case s.Plan.ID == "":
		fmt.Fprintln(out, "no plan")
		return
	case !s.Agreed:
		fmt.Fprintf(out, "as %s has it, %s\n", s.Pooler.Name, s.Why)
	}
	fmt.Fprintf(out, "plan %s: %s", s.Plan.ID, s.Plan.State)
	if s.Plan.Why != "" {
		fmt.Fprintf(out, " (%s)", s.Plan.Why)
	}
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, step := range s.Steps {
		text := s.Waits[step.Machine]
		switch {
		case step.State == maintenance.Draining && len(s.Missed) > 0:
			text = "not heard yet: " + strings.Join(s.Missed, " ")
		case len(step.Unreachable) > 0:
			text = strings.TrimSpace(text + " without " + strings.Join(step.Unreachable, " "))
		}
		number := ""
		if step.Number > 0 {
			number = strconv.FormatUint(step.Number, 10)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", step.Machine, step.State, number, text)
	}
	t.Flush()
	if h := s.Plan.HandOver; h != nil {
		fmt.Fprintf(out, "%s is to take over from %s, %d\n", h.To, h.From, h.Number)
	}
}
