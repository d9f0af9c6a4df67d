package gossip

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

const (
	callWait  = 3 * time.Second
	stateMost = 32 << 20 // bytes of one answer
	atOnce    = 16       // calls
)

// Query gets a pooler's view from its management address.
func Query(addr string) (s State, err error) {
	answer, err := (&http.Client{Timeout: callWait}).Get("http://" + addr + "/fleet")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	body := io.LimitReader(answer.Body, stateMost)
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 1024))
		return s, fmt.Errorf("%s: %s: %s", addr, answer.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: no view of a fleet: %w", addr, err)
	}
	return s, nil
}

// ClusterState is the views of all poolers that one names as live and that tell where they are managed, with those that could not be
// asked.
type ClusterState struct {
	Views  []State           `json:"views"`
	Failed map[string]string `json:"failed,omitempty"` // by the pooler's name, why
}

// QueryAll asks all that a view names.
func QueryAll(from State) ClusterState {
	e := ClusterState{Views: []State{from}, Failed: map[string]string{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for _, p := range from.Poolers {
		var says struct{ Management string }
		if p.Name == from.Name || p.State == "gone" || p.State == "left" {
			continue
		}
		if json.Unmarshal(p.Says, &says); says.Management == "" {
			e.Failed[p.Name] = "it does not tell where it is managed"
			continue
		}
		all.Go(func() {
			places <- struct{}{}
			s, err := Query(says.Management)
			<-places
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.Failed[p.Name] = err.Error()
				return
			}
			e.Views = append(e.Views, s)
		})
	}
	all.Wait()
	slices.SortFunc(e.Views, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// Agree tells whether all views that were got are the same.
func (e ClusterState) Agree() bool {
	for _, s := range e.Views {
		if s.Digest != e.Views[0].Digest {
			return false
		}
	}
	return len(e.Failed) == 0
}

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
