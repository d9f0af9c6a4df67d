package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes one line for each view.
func (e ClusterState) Print(out io.Writer, now time.Time) {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VIEW OF\tDIGEST\tLIVE\tSIDE\tFACTS\tTHE OTHERS AGREE")
	for _, s := range e.Views {
		fmt.Fprintf(t, "%s\t%s\t%d of %d\t%s\t%d\t%s\n", s.Name, s.Digest, len(s.Live), s.Known, s.Side, s.Facts, s.agreement(now))
	}
	t.Flush()
	for _, name := range sorted(e.Failed) {
		fmt.Fprintf(out, "%s: %s\n", name, e.Failed[name])
	}
}

func (s State) agreement(now time.Time) string {
	if s.Agree {
		return "for " + age(now, s.AgreeSince)
	}
	return "not for " + age(now, s.AgreeSince)
}

// Print writes a view as tables.
func (s State) Print(out io.Writer, now time.Time) {
	if s.Waits != "" {
		fmt.Fprintf(out, "%s is not part of the fleet yet: %s\n", s.Name, s.Waits)
	}
	fmt.Fprintf(out, "%s sees %d of %d poolers (%s), digest %s, views agree: %s, %d facts, the oldest %v old\n\n", s.Name, len(s.Live), s.Known,
		s.Side, s.Digest, s.agreement(now), s.Facts, time.Duration(s.OldestMS)*time.Millisecond)
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "POOLER\tSTATE\tFOR\tANSWERED\tAGREES\tDIGEST\tAT\tSAYS")
	for _, p := range s.Poolers {
		heard := ""
		if p.Heard > 0 {
			heard = fmt.Sprintf("%v ago", time.Duration(p.Heard)*time.Millisecond)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Name, p.State, age(now, p.Since), heard, p.Agrees, p.Digest, p.At, p.words())
	}
	t.Flush()
	if len(s.Databases) == 0 {
		return
	}
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATABASE\tIS SAID TO\tBY")
	for _, d := range s.Databases {
		by := map[string][]string{}
		for _, w := range d.Words {
			what := w.State.String()
			if w.Primary {
				what += ", lead"
			}
			if w.Cold {
				what += ", be cold"
			}
			by[what] = append(by[what], fmt.Sprintf("%s (%s)", w.Pooler, age(now, w.Since)))
		}
		for _, what := range sorted(by) {
			fmt.Fprintf(t, "%s\t%s\t%s\n", d.Name, what, strings.Join(by[what], ", "))
		}
	}
	t.Flush()
}

// words are what a pooler says of itself, in an order that does not change.
func (p Pooler) words() string {
	var says map[string]any
	if json.Unmarshal(p.Says, &says) != nil {
		return ""
	}
	var words []string
	for _, key := range []string{"version", "zone", "listen", "settings", "load", "connections", "counted", "stopping"} {
		if v, has := says[key]; has {
			words = append(words, fmt.Sprintf("%s=%v", key, v))
		}
	}
	return strings.Join(words, " ")
}

func age(now time.Time, unixMS int64) string {
	return max(0, now.Sub(time.UnixMilli(unixMS))).Round(time.Second).String()
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
