package agent_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/maintenance"
	"capercove/internal/maintenance/agent"
	"capercove/internal/testbed"
)

// shortTimes holds lines of the table [works] with short times, for processes on one machine.
const shortTimes = "lease_ms = 1500\nskew_ms = 100\nsettle_ms = 300\n"

// settings are those of the testbed, with a short warm-up of databases and a long deadline of reports.
var settings = strings.NewReplacer(
	`"coldMs":18000`, `"coldMs":400`,
	`"deadlineMs":10000`, `"deadlineMs":120000`,
).Replace(testbed.Settings)

// heldReportTimeout is for how long a client waits for a report that a database does not answer before it is released.
const heldReportTimeout = 100 * time.Second

func withSettings(bed *testbed.Bed) { bed.Settings = settings }

// fleet is a fleet of poolers with maintenance and the same databases.
type fleet struct {
	*testbed.Fleet
	blindAtStart map[string]int // lines with blindLine by pooler, see awaitRecord
}

// newFleet prepares poolers and starts none. more holds further lines of the table [works].
func newFleet(t *testing.T, seed uint64, poolers int, more string, options ...testbed.Option) *fleet {
	t.Helper()
	options = append(options, withSettings)
	return &fleet{Fleet: testbed.NewMaintenanceFleet(t, seed, poolers, shortTimes+more, options...)}
}

// startFleet starts poolers with a primary and replicas, where replicas is the number beyond the first one. It waits
// until the poolers have converged and have read the record.
func startFleet(
	t *testing.T, seed uint64, poolers, replicas int, more string, options ...testbed.Option,
) *fleet {
	t.Helper()
	started := newFleet(t, seed, poolers, more, options...)
	started.Start(started.Names[0], testbed.WithReplicas(replicas))
	for _, name := range started.Names[1:] {
		started.Start(name)
	}
	started.WaitConverged("the start", started.Names...)
	started.awaitRecord()
	return started
}

// blindLine is part of the line that a pooler logs when its lease has expired and it may send to databases that could
// be in maintenance.
const blindLine = `"blind":`

// awaitRecord waits until all poolers have read the record. On a busy machine, the first poolers wait for a majority
// for longer than their lease, and are blind until then. wasBlind ignores the lines of that time.
func (f *fleet) awaitRecord() {
	f.T.Helper()
	f.blindAtStart = map[string]int{}
	for _, name := range f.Names {
		f.eventually(func() bool {
			overview, known := f.overview(name)
			return known && overview.Revision > 0 && len(overview.Blocked) == 0
		}, name+" has read the record")
		f.blindAtStart[name] = f.Beds[name].CountLines(blindLine)
	}
}

// wasBlind reports whether a pooler has been blind since the start.
func (f *fleet) wasBlind(name string) bool {
	bed, known := f.Beds[name]
	return known && bed.CountLines(blindLine) > f.blindAtStart[name]
}

// eventually waits for a condition, for as long as a fleet may take on a busy machine. The condition runs outside the
// test's goroutine, and must not fail the test.
func (f *fleet) eventually(condition func() bool, what string) {
	f.T.Helper()
	require.Eventually(f.T, condition, testbed.FleetTimeout, testbed.PollInterval, what)
}

// Exit statuses of the command.
const (
	exitNotPossible = 1
	exitNoAnswer    = 2
)

// Texts of the command's errors.
const (
	noMajorityText     = "no majority"
	unknownOutcomeText = "it is not known whether"
)

// command runs a maintenance command at a pooler.
func (f *fleet) command(at string, arguments ...string) (printed string, status int) {
	arguments = append([]string{"works"}, arguments...)
	printed, status = f.Command(append(arguments, f.Beds[at].Management)...)
	f.Net.Note("%s at %s: %d %s", strings.Join(arguments, " "), at, status, strings.TrimSpace(printed))
	return printed, status
}

// runUntilAnswered runs a command, and repeats it while there is no majority or no answer: such a run changes nothing.
// It also repeats a command whose outcome is unknown, because the leader may change on a busy machine. If the repeated
// command is then refused as one that has been applied, the status is 0, and the caller checks the effect.
func (f *fleet) runUntilAnswered(at string, arguments ...string) (printed string, status int) {
	f.T.Helper()
	unknown := false
	f.eventually(func() bool {
		printed, status = f.command(at, arguments...)
		if strings.Contains(printed, unknownOutcomeText) {
			unknown = true
			return false
		}
		return status != exitNoAnswer && !strings.Contains(printed, noMajorityText)
	}, "the record has a leader")
	if unknown && status == exitNotPossible && isRefusedAsApplied(printed, arguments...) {
		status = 0
	}
	return printed, status
}

// isRefusedAsApplied reports whether the reason for which a command was refused is what the same command leaves behind
// once it has been applied.
func isRefusedAsApplied(printed string, arguments ...string) bool {
	var reasons []string
	switch maintenance.Command(arguments[0]) {
	case maintenance.AbortPlan:
		reasons = []string{"there is no plan", fmt.Sprintf("the plan is %s", maintenance.Aborting)}
	case maintenance.EndWork:
		reasons = []string{"there is no plan"}
		for _, state := range []maintenance.State{maintenance.Recovering, maintenance.Done} {
			reasons = append(reasons, fmt.Sprintf("%s is %s", arguments[1], state))
		}
	}
	return slices.ContainsFunc(reasons, func(reason string) bool { return strings.Contains(printed, reason) })
}

// After an unknown outcome, only a refusal that the applied command explains counts as success.
func TestRefusalCountsAsAppliedByItsReason(t *testing.T) {
	for _, test := range []struct {
		command, printed string
		applied          bool
	}{
		{"abort", "the plan is aborting", true},
		{"abort", "there is no plan", true},
		{"abort", "the plan is paused", false},
		{"end db-1", "db-1 is back", true},
		{"end db-1", "db-1 is done", true},
		{"end db-1", "db-1 is waiting", false},
		{"end db-1", "db-1 is agreed", false},
		{"end db-1", "db-2 is done", false},
		{"end db-1", "the plan has no machine", false},
		{"skip db-1", "db-1 is done", false},
		{"pause", "the plan is paused", false},
	} {
		applied := isRefusedAsApplied("works: "+test.printed, strings.Fields(test.command)...)
		require.Equal(t, test.applied, applied, "%s: %s", test.command, test.printed)
	}
}

// execute runs a command that must succeed.
func (f *fleet) execute(at string, arguments ...string) (printed string) {
	f.T.Helper()
	printed, status := f.runUntilAnswered(at, arguments...)
	require.Zero(f.T, status, printed)
	return printed
}

// requireRefused runs a command that must be refused for a reason.
func (f *fleet) requireRefused(reason, at string, arguments ...string) {
	f.T.Helper()
	printed, status := f.runUntilAnswered(at, arguments...)
	require.Equal(f.T, exitNotPossible, status, printed)
	require.Contains(f.T, printed, reason)
}

// specFile writes text to a file, such as a plan's specification, and returns its path.
func (f *fleet) specFile(text string) string {
	f.T.Helper()
	path := filepath.Join(f.T.TempDir(), "wish.toml")
	require.NoError(f.T, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts a plan at a pooler. If the outcome of an attempt is unknown, an active plan counts as started.
func (f *fleet) start(at, spec string) {
	f.T.Helper()
	path := f.specFile(spec)
	unknown := false
	f.eventually(func() bool {
		printed, status := f.command(at, "start", path)
		unknown = unknown || strings.Contains(printed, unknownOutcomeText)
		if status == 0 || !unknown {
			return status == 0
		}
		current := f.status(at)
		return current.Agreed && current.Plan.Active()
	}, "the plan is started")
}

// startOutcome is the outcome of starting a plan.
type startOutcome uint8

const (
	planRefused             startOutcome = iota
	planRefusedAfterUnknown              // refused in a repeated attempt: an earlier one may have been accepted
	planAccepted
)

// tryStart starts a plan, and repeats that while there is no majority, no answer or no known outcome.
func (f *fleet) tryStart(at, path string) (outcome startOutcome) {
	f.T.Helper()
	refused := planRefused
	f.eventually(func() bool {
		printed, status := f.command(at, "start", path)
		switch {
		case strings.Contains(printed, unknownOutcomeText):
			refused = planRefusedAfterUnknown
			return false
		case status == exitNoAnswer || strings.Contains(printed, noMajorityText):
			return false
		case status == 0:
			outcome = planAccepted
		default:
			outcome = refused
		}
		return true
	}, "the record has a leader")
	return outcome
}

// beginWork waits until a machine is drained, begins the work on it and returns its name. If the machine was put back
// meanwhile, because its group did not look healthy or the leader changed, it uses the next machine that is drained.
func (f *fleet) beginWork(at string) string {
	f.T.Helper()
	for range workAttempts {
		machine := f.awaitDrained(at).Machine
		printed, status := f.runUntilAnswered(at, "begin", machine)
		if strings.Contains(printed, machine+" is waiting") {
			f.Net.Note("%s was put back", machine)
			continue
		}
		require.Zero(f.T, status, printed)
		return machine
	}
	require.Fail(f.T, "no machine stays drained until the work begins")
	return ""
}

// status returns the status of the plan, or the zero value if the pooler does not answer.
func (f *fleet) status(at string) agent.Status {
	var status agent.Status
	printed, _ := f.Command("works", "status", "--json", f.Beds[at].Management)
	if json.Unmarshal([]byte(printed), &status) != nil {
		return agent.Status{}
	}
	return status
}

// step returns the step of a machine, or the zero value if the pooler does not answer.
func (f *fleet) step(at, machine string) maintenance.Step {
	for _, step := range f.status(at).Steps {
		if step.Machine == machine {
			return step
		}
	}
	return maintenance.Step{}
}

// state returns the state of a machine of the plan, as a majority has stored it.
func (f *fleet) state(at, machine string) maintenance.State {
	f.T.Helper()
	var step maintenance.Step
	f.eventually(func() bool {
		status := f.status(at)
		for _, each := range status.Steps {
			if each.Machine == machine {
				step = each
			}
		}
		return status.Agreed
	}, "a majority answers")
	return step.State
}

// awaitState waits until a machine is in a state.
func (f *fleet) awaitState(at, machine string, state maintenance.State) {
	f.T.Helper()
	f.eventually(func() bool {
		step := f.step(at, machine)
		return step.Machine == machine && step.State == state
	}, machine+" is "+state.String())
	f.Net.Note("%s is %s", machine, state)
}

// awaitDrained waits until any machine is drained, and returns its step. The leader's observations decide the order.
func (f *fleet) awaitDrained(at string) maintenance.Step {
	f.T.Helper()
	var found maintenance.Step
	f.eventually(func() bool {
		for _, step := range f.status(at).Steps {
			if step.State == maintenance.Drained {
				found = step
				return true
			}
		}
		return false
	}, "a machine is drained")
	f.Net.Note("%s is drained", found.Machine)
	return found
}

// awaitPlanEnd waits until the plan has finished.
func (f *fleet) awaitPlanEnd(at string) {
	f.T.Helper()
	f.eventually(func() bool {
		status := f.status(at)
		return status.Agreed && status.Plan.State == maintenance.Finished
	}, "the plan ends")
}

// overview returns the overview of a pooler. It returns false if the pooler does not answer in time.
func (f *fleet) overview(name string) (overview agent.Overview, known bool) {
	code, body := f.Beds[name].CallAgain(http.MethodGet, "/works")
	known = code == http.StatusOK && json.Unmarshal([]byte(body), &overview) == nil
	return overview, known
}

// leader waits until a pooler reports that it leads the record, and returns its name.
func (f *fleet) leader() string {
	f.T.Helper()
	leader := ""
	f.eventually(func() bool {
		for _, name := range f.Running() {
			if overview, known := f.overview(name); known && overview.Leads {
				leader = name
				return true
			}
		}
		return false
	}, "a pooler leads")
	return leader
}

// callingHookLine is part of the line that a pooler logs when it calls the hook.
const callingHookLine = "maintenance: calling hook"

// uninvolvedPooler returns a pooler that neither leads the record nor has called the hook. The plan can continue
// without it. The hook must have been called. Only its caller knows its result, and on a busy machine the leader may
// have changed since the call.
func (f *fleet) uninvolvedPooler() string {
	f.T.Helper()
	leader := f.leader()
	called := func(name string) bool { return f.Beds[name].CountLines(callingHookLine) > 0 }
	running := f.Running()
	require.True(f.T, slices.ContainsFunc(running, called), "the hook was called")
	index := slices.IndexFunc(running, func(name string) bool { return name != leader && !called(name) })
	return running[index]
}

// databases returns the databases, which all poolers share.
func (f *fleet) databases() []*testbed.Database { return f.Beds[f.Names[0]].Databases }

func (f *fleet) database(name string) *testbed.Database {
	all := f.databases()
	return all[slices.IndexFunc(all, func(database *testbed.Database) bool { return database.ID == name })]
}

// release lets the databases answer the statements with heldWord.
func (f *fleet) release() {
	for _, database := range f.databases() {
		database.Release()
	}
}

// promote replaces the primary by another database.
func (f *fleet) promote(from, to string) {
	f.database(from).Lead(false)
	f.database(to).Lead(true)
}
