package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes one line for each view, for operators. Errors of the writer are ignored.
func (c ClusterState) Print(out io.Writer, now time.Time) {
	views := table{"VIEW OF\tDIGEST\tLIVE\tSIDE\tFACTS\tTHE OTHERS AGREE"}
	for _, state := range c.Views {
		views.add("%s\t%s\t%d of %d\t%s\t%d\t%s",
			state.Name, state.Digest, len(state.Live), state.Known, state.Side, state.Facts, state.agreement(now))
	}
	var text strings.Builder
	text.WriteString(views.String())
	for _, name := range slices.Sorted(maps.Keys(c.Failed)) {
		fmt.Fprintf(&text, "%s: %s\n", name, c.Failed[name])
	}
	_, _ = io.WriteString(out, text.String())
}

func (s State) agreement(now time.Time) string {
	if s.Agree {
		return "for " + formatAge(now, s.AgreeSince)
	}
	return "not for " + formatAge(now, s.AgreeSince)
}

// Print writes a view as tables, for operators. Errors of the writer are ignored.
func (s State) Print(out io.Writer, now time.Time) {
	var text strings.Builder
	if s.Waits != "" {
		fmt.Fprintf(&text, "%s is not part of the fleet yet: %s\n", s.Name, s.Waits)
	}
	oldest := time.Duration(s.OldestMS) * time.Millisecond
	fmt.Fprintf(&text, "%s sees %d of %d poolers (%s), digest %s, views agree: %s, %d facts, the oldest %v old\n\n",
		s.Name, len(s.Live), s.Known, s.Side, s.Digest, s.agreement(now), s.Facts, oldest)
	text.WriteString(s.poolerTable(now).String())
	if len(s.Databases) > 0 {
		text.WriteString("\n" + s.databaseTable(now).String())
	}
	_, _ = io.WriteString(out, text.String())
}

func (s State) poolerTable(now time.Time) table {
	poolers := table{"POOLER\tSTATE\tFOR\tANSWERED\tAGREES\tDIGEST\tAT\tSAYS"}
	for _, pooler := range s.Poolers {
		answered := ""
		if pooler.Heard > 0 {
			answered = fmt.Sprintf("%v ago", time.Duration(pooler.Heard)*time.Millisecond)
		}
		poolers.add("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", pooler.Name, pooler.State, formatAge(now, pooler.Since), answered,
			pooler.Agrees, pooler.Digest, pooler.At, pooler.published())
	}
	return poolers
}

func (s State) databaseTable(now time.Time) table {
	databases := table{"DATABASE\tIS SAID TO\tBY"}
	for _, database := range s.Databases {
		reporters := map[string][]string{} // by the text of the state that they report
		for _, observation := range database.Words {
			state := observation.State.String()
			if observation.Primary {
				state += ", lead"
			}
			if observation.Cold {
				state += ", be cold"
			}
			reporter := fmt.Sprintf("%s (%s)", observation.Pooler, formatAge(now, observation.Since))
			reporters[state] = append(reporters[state], reporter)
		}
		for _, state := range slices.Sorted(maps.Keys(reporters)) {
			databases.add("%s\t%s\t%s", database.Name, state, strings.Join(reporters[state], ", "))
		}
	}
	return databases
}

// publishedKeys are the keys that are printed from what a pooler publishes about itself, in this order.
var publishedKeys = []string{"version", "zone", "listen", "settings", "load", "connections", "counted", "stopping"}

// published returns the values of publishedKeys that a pooler publishes, as text.
func (p Pooler) published() string {
	var values map[string]any
	if json.Unmarshal(p.Says, &values) != nil {
		return ""
	}
	var texts []string
	for _, key := range publishedKeys {
		if value, present := values[key]; present {
			texts = append(texts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	return strings.Join(texts, " ")
}

// formatAge returns the time since a Unix time in ms, in whole seconds.
func formatAge(now time.Time, unixMS int64) string {
	return max(0, now.Sub(time.UnixMilli(unixMS))).Round(time.Second).String()
}

// table is a heading and rows of cells separated by tabs.
type table []string

func (t *table) add(format string, values ...any) { *t = append(*t, fmt.Sprintf(format, values...)) }

const columnPadding = 2 // spaces between columns

// String returns the table with aligned columns.
func (t table) String() string {
	var text strings.Builder // returns no errors
	writer := tabwriter.NewWriter(&text, columnPadding, 0, columnPadding, ' ', 0)
	for _, row := range t {
		_, _ = fmt.Fprintln(writer, row)
	}
	_ = writer.Flush()
	return text.String()
}
