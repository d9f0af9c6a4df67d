package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"capercove/internal/clock"
	"capercove/internal/config/tables"
	"capercove/internal/maintenance"
	"capercove/internal/store"
)

const (
	callWaits = 2 * time.Second        // for a pooler, or the record
	looks     = 5 * time.Second        // a plan that cannot be done is looked at again for so long, as evidence comes in
	watchEach = 500 * time.Millisecond // of status --watch
)

// operator calls a pooler and the record for a command.
type operator struct {
	at     string
	client *store.Client
	shown  Overview
	out    io.Writer
}

// Command runs a sub-command and prints what came of it. The status is 0, 1 where it cannot be done, or 2 where nobody answers; ok is
// false for what is no command.
func Command(args []string, out io.Writer) (status int, ok bool) {
	flags := flag.NewFlagSet("works", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON, watch := flags.Bool("json", false, ""), flags.Bool("watch", false, "")
	if len(args) == 0 || flags.Parse(args[1:]) != nil {
		return 0, false
	}
	verb, rest := args[0], flags.Args()
	names := 0 // before the address
	if verb == "plan" || verb == "start" || maintenance.Command(verb).OfMachine() {
		names = 1
	}
	known := []string{
		"plan", "start", "status", "history", string(maintenance.Pause), string(maintenance.Resume), string(maintenance.AbortPlan), string(maintenance.SkipMachine),
		string(maintenance.BeginWork), string(maintenance.EndWork), string(maintenance.ForgetPooler),
	}
	if !slices.Contains(known, verb) || len(rest) != names+1 {
		return 0, false
	}
	o := &operator{at: rest[names], out: out}
	if err := o.ask(0); err != nil {
		fmt.Fprintln(out, err)
		return 2, true
	}
	o.client = store.NewClient(o.shown.Record, callWaits, nil)
	var err error
	switch verb {
	case "plan", "start":
		err = o.plan(rest[0], verb == "start")
	case "status":
		return o.status(*asJSON, *watch), true
	case "history":
		err = o.history(*asJSON)
	default:
		name := ""
		if names > 0 {
			name = rest[0]
		}
		err = o.change(func(r maintenance.Record, wall time.Duration) (maintenance.Proposal, error) {
			return maintenance.Execute(wall, r, maintenance.Command(verb), name, who())
		})
	}
	if err != nil {
		fmt.Fprintln(out, err)
		return 1, true
	}
	return 0, true
}

// who names the operator, for the history.
func who() string { return cmp.Or(os.Getenv("USER"), "an operator") }

// ask asks the pooler what it sees.
func (o *operator) ask(bears float64) error {
	answer, err := (&http.Client{Timeout: callWaits}).Get("http://" + o.at + "/works?bears=" + strconv.FormatFloat(bears, 'g', -1, 64))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(answer.Body, hookSays))
		return fmt.Errorf("%s: %s", o.at, strings.TrimSpace(string(why)))
	}
	return json.NewDecoder(answer.Body).Decode(&o.shown)
}

func (o *operator) record() (maintenance.Record, error) {
	v, err := o.client.Read(context.Background(), maintenance.KeyPrefix)
	if err != nil {
		return maintenance.Record{}, fmt.Errorf("the record has no majority, or cannot be reached: %w", err)
	}
	return parse(v.Values)
}

// change makes a change on what stands in the record, anew where somebody else's came first.
func (o *operator) change(decide func(maintenance.Record, time.Duration) (maintenance.Proposal, error)) error {
	id := fmt.Sprintf("works/operator/%d/%016x", os.Getpid(), rand.Uint64())
	for try := range 20 {
		r, err := o.record()
		if err != nil {
			return err
		}
		orders, err := decide(r, wall())
		if err != nil {
			return err
		}
		on, set, deleted := orders.Change(r)
		if on == nil {
			return nil
		}
		c := store.Change{ID: fmt.Sprint(id, "/", try), If: on, Set: set, Delete: deleted}
		outcome, err := o.client.Change(context.Background(), c)
		if err != nil { // once more, under the same id: it is applied once
			outcome, err = o.client.Change(context.Background(), c)
		}
		if err != nil {
			return fmt.Errorf("it is not known whether it was agreed on: %w", err)
		}
		if outcome.Applied {
			for _, e := range orders.History {
				fmt.Fprintln(o.out, strings.TrimSpace(e.Machine+" "+e.Text))
			}
			return nil
		}
	}
	return fmt.Errorf("others change the plan all the time")
}

// plan prints the dry run of a wish, and starts it if it is to.
func (o *operator) plan(path string, start bool) error {
	w, err := readWish(path)
	if err == nil {
		err = w.Check(nil)
	}
	if err != nil {
		return err
	}
	var order []maintenance.DryRunStep
	for begun := time.Now(); ; time.Sleep(look) { // evidence comes in as it is asked for
		if err := o.ask(w.Capacity); err != nil {
			return err
		}
		if err = w.Check(o.shown.Look.Machines); err == nil {
			if order, err = maintenance.DryRun(w, o.shown.Look); err == nil {
				break
			}
		}
		if time.Since(begun) > looks {
			o.order(order)
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	o.order(order)
	if !start {
		return nil
	}
	id := planID(clock.Wall())
	return o.change(func(r maintenance.Record, wall time.Duration) (maintenance.Proposal, error) {
		return maintenance.Start(wall, r, id, who(), w, o.shown.Look)
	})
}

// planID returns a name for a plan that begins now: the time is for people, and no other plan has the number,
// whatever the clock says and whichever machine a plan is started from.
func planID(now time.Time) string {
	return fmt.Sprintf("%s-%08x", now.UTC().Format("20060102T150405"), rand.Uint32())
}

// readWish reads a file with a wish. Errors name the line and the key.
func readWish(path string) (w maintenance.PlanSpec, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return w, err
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&w); err != nil {
		return w, tables.Located(path, err)
	}
	return w, nil
}

func (o *operator) history(asJSON bool) error {
	r, err := o.record()
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(o.out).Encode(r.History)
	}
	for _, e := range r.History {
		fmt.Fprintln(o.out, strings.TrimSpace(fmt.Sprintf("%s %s: %s %s", time.UnixMilli(e.At).UTC().Format("2006-01-02 15:04:05.000"), e.By, e.Machine, e.Text)))
	}
	return nil
}

// Status is what status shows: the plan as a majority holds it, or as the pooler that was asked has it.
type Status struct {
	Agreed bool               `json:"agreed"` // a majority holds it so
	Why    string             `json:"why,omitempty"`
	Plan   maintenance.Plan   `json:"plan"`
	Steps  []maintenance.Step `json:"steps"`
	Waits  map[string]string  `json:"waits"` // why each machine waits
	Missed []string           `json:"missed,omitempty"`
	Pooler Overview           `json:"pooler"`
}

func (o *operator) look() (s Status) {
	r, err := o.record()
	s = Status{Agreed: err == nil, Plan: r.Plan, Steps: r.PlanSteps(), Pooler: o.shown}
	if err != nil {
		s.Why, s.Plan, s.Steps = err.Error(), o.shown.Plan, o.shown.Steps
	}
	at := map[string]maintenance.State{}
	for _, step := range s.Steps {
		at[step.Machine] = step.State
		for name := range r.Statuses { // whose word a step waits for
			if step.State == maintenance.Draining && step.Stopped[name] < r.Statuses[name].Incarnation && !slices.Contains(s.Missed, name) {
				s.Missed = append(s.Missed, name)
			}
		}
	}
	slices.Sort(s.Missed)
	d := maintenance.Decide(s.Plan.Spec, at, o.shown.Look)
	s.Waits = d.Reasons
	if d.PutBack != "" {
		s.Waits[d.PutBack] = "asked back, as its group has become too small"
	}
	return s
}

// status prints how far the plan is. 0: it goes on or is over; 1: it stands still, as it is paused or no majority is there.
func (o *operator) status(asJSON, watch bool) int {
	for last := ""; ; time.Sleep(watchEach) {
		s := o.look()
		var b strings.Builder
		if asJSON {
			json.NewEncoder(&b).Encode(s)
		} else {
			s.print(&b)
		}
		if text := b.String(); text != last {
			fmt.Fprint(o.out, text)
			last = text
		}
		if over := !s.Plan.Active(); !watch || over && s.Agreed {
			if s.Agreed && s.Plan.State != maintenance.Paused {
				return 0
			}
			return 1
		}
		if err := o.ask(s.Plan.Spec.Capacity); err != nil {
			fmt.Fprintln(o.out, err)
		}
	}
}
