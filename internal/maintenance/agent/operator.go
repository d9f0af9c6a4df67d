package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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
	callTimeout   = 2 * time.Second        // of a call of a pooler or of the record
	evidenceWait  = 5 * time.Second        // for evidence that makes the plan feasible
	watchInterval = 500 * time.Millisecond // between two reads of status --watch
	changeRetries = 20                     // attempts of a change that conflicts with other changes
)

// Exit statuses of the commands.
const (
	exitSuccess     = 0
	exitNotPossible = 1
	exitNoAnswer    = 2
)

// Commands that are not of type maintenance.Command.
const (
	commandPlan    = "plan"
	commandStart   = "start"
	commandStatus  = "status"
	commandHistory = "history"
)

// commands lists all commands.
var commands = []string{
	commandPlan, commandStart, commandStatus, commandHistory,
	string(maintenance.Pause), string(maintenance.Resume), string(maintenance.AbortPlan),
	string(maintenance.SkipMachine), string(maintenance.BeginWork), string(maintenance.EndWork),
	string(maintenance.ForgetPooler),
}

// invocation is a parsed command line.
type invocation struct {
	command string
	name    string // of a file, machine or pooler, if the command has one
	address string // management address of a pooler
	asJSON  bool
	watch   bool
}

// parseInvocation parses a command line. It returns false if it is not valid.
func parseInvocation(args []string) (parsed invocation, ok bool) {
	flags := flag.NewFlagSet("works", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON, watch := flags.Bool("json", false, ""), flags.Bool("watch", false, "")
	if len(args) == 0 || flags.Parse(args[1:]) != nil || !slices.Contains(commands, args[0]) {
		return parsed, false
	}
	parsed = invocation{command: args[0], asJSON: *asJSON, watch: *watch}
	rest := flags.Args()
	takesFile := parsed.command == commandPlan || parsed.command == commandStart
	if takesFile || maintenance.Command(parsed.command).OfMachine() {
		if len(rest) == 0 {
			return parsed, false
		}
		parsed.name, rest = rest[0], rest[1:]
	}
	if len(rest) != 1 {
		return parsed, false
	}
	parsed.address = rest[0]
	return parsed, true
}

// Command runs an operator's command and prints the result to out. It returns the exit status: 0 for success, 1 if the
// command cannot be executed and 2 if the pooler does not answer. ok is false if args are no valid command line.
func Command(args []string, out io.Writer) (status int, ok bool) {
	parsed, ok := parseInvocation(args)
	if !ok {
		return exitSuccess, false
	}
	o := &operator{address: parsed.address, out: out}
	if err := o.readOverview(0); err != nil {
		o.println(err)
		return exitNoAnswer, true
	}
	o.client = store.NewClient(o.overview.Record, callTimeout, nil)
	if parsed.command == commandStatus {
		return o.status(parsed.asJSON, parsed.watch), true
	}
	if err := o.run(parsed); err != nil {
		o.println(err)
		return exitNotPossible, true
	}
	return exitSuccess, true
}

// operator executes one command by calls of a pooler and of the record.
type operator struct {
	address  string        // management address of the pooler
	client   *store.Client // of the record
	overview Overview      // of the pooler, as last read
	out      io.Writer
}

// run runs any command except status.
func (o *operator) run(parsed invocation) error {
	switch parsed.command {
	case commandPlan:
		_, err := o.plan(parsed.name)
		return err
	case commandStart:
		return o.start(parsed.name)
	case commandHistory:
		return o.history(parsed.asJSON)
	}
	return o.change(func(record maintenance.Record, wall time.Duration) (maintenance.Proposal, error) {
		command := maintenance.Command(parsed.command)
		return maintenance.Execute(wall, record, command, parsed.name, operatorName())
	})
}

// operatorName returns the name of the operator for the history.
func operatorName() string { return cmp.Or(os.Getenv("USER"), "an operator") }

// readOverview reads the pooler's overview. capacity is how many requests per second one database can serve; 0: the
// load is ignored.
func (o *operator) readOverview(capacity float64) error {
	url := "http://" + o.address + "/works?bears=" + strconv.FormatFloat(capacity, 'g', -1, 64)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body is not read further
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxQuotedBytes))
		return fmt.Errorf("%s: %s", o.address, strings.TrimSpace(string(reason)))
	}
	return json.NewDecoder(response.Body).Decode(&o.overview)
}

// readRecord reads the record as a majority has stored it.
func (o *operator) readRecord() (maintenance.Record, error) {
	read, err := o.client.Read(context.Background(), maintenance.KeyPrefix)
	if err != nil {
		return maintenance.Record{}, fmt.Errorf("the record has no majority, or cannot be reached: %w", err)
	}
	return parse(read.Values)
}

// decision derives a proposal from the record. wall is the Unix time.
type decision func(record maintenance.Record, wall time.Duration) (maintenance.Proposal, error)

// change writes the proposal of a decision to the record. If another change was applied first, it reads the record and
// decides again.
func (o *operator) change(decide decision) error {
	id := fmt.Sprintf("works/operator/%d/%016x", os.Getpid(), rand.Uint64())
	for attempt := range changeRetries {
		record, err := o.readRecord()
		if err != nil {
			return err
		}
		proposal, err := decide(record, wallClock())
		if err != nil {
			return err
		}
		revisions, set, deleted := proposal.Change(record)
		if revisions == nil {
			return nil
		}
		change := store.Change{ID: fmt.Sprint(id, "/", attempt), If: revisions, Set: set, Delete: deleted}
		outcome, err := o.client.Change(context.Background(), change)
		if err != nil { // retries with the same ID: the change is applied only once
			outcome, err = o.client.Change(context.Background(), change)
		}
		if err != nil {
			return fmt.Errorf("it is not known whether it was agreed on: %w", err)
		}
		if outcome.Applied {
			for _, entry := range proposal.History {
				o.println(strings.TrimSpace(entry.Machine + " " + entry.Text))
			}
			return nil
		}
	}
	return errors.New("others change the plan all the time")
}

// plan prints the dry run of the plan in a file, and returns its specification. While the plan is not feasible, it
// reads overviews for up to evidenceWait: each read makes the pooler probe databases for evidence.
func (o *operator) plan(path string) (spec maintenance.PlanSpec, err error) {
	spec, err = readSpec(path)
	if err == nil {
		err = spec.Check(nil)
	}
	if err != nil {
		return spec, err
	}
	for startedAt := time.Now(); ; time.Sleep(leaderInterval) {
		if err := o.readOverview(spec.Capacity); err != nil {
			return spec, err
		}
		order, err := dryRun(spec, o.overview.Snapshot)
		if err == nil {
			o.printOrder(order)
			return spec, nil
		}
		if time.Since(startedAt) > evidenceWait {
			o.printOrder(order)
			return spec, fmt.Errorf("%s: %w", path, err)
		}
	}
}

// dryRun checks a specification and simulates the plan.
func dryRun(spec maintenance.PlanSpec, snapshot maintenance.Snapshot) ([]maintenance.DryRunStep, error) {
	if err := spec.Check(snapshot.Machines); err != nil {
		return nil, err
	}
	return maintenance.DryRun(spec, snapshot)
}

// start prints the dry run of the plan in a file, and starts the plan.
func (o *operator) start(path string) error {
	spec, err := o.plan(path)
	if err != nil {
		return err
	}
	id := planID(clock.Wall())
	return o.change(func(record maintenance.Record, wall time.Duration) (maintenance.Proposal, error) {
		return maintenance.Start(wall, record, id, operatorName(), spec, o.overview.Snapshot)
	})
}

// planID returns an ID for a plan that starts now. The time is for operators. The random number keeps IDs unique if a
// clock is stepped back or plans are started from several machines.
func planID(now time.Time) string {
	return fmt.Sprintf("%s-%08x", now.UTC().Format("20060102T150405"), rand.Uint32())
}

// readSpec reads a plan's specification from a file. Errors name the line and the key.
func readSpec(path string) (spec maintenance.PlanSpec, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return spec, err
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return spec, tables.Located(path, err)
	}
	return spec, nil
}
