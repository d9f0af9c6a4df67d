package testbed

import (
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/membership/gossip"
)

// Fleet is several poolers of the shipped program on addresses of their own, with a relay for faults before each of
// them, and all with the same databases.
type Fleet struct {
	T     *testing.T
	Net   *faults.Net
	Names []string // n0 and so on
	Beds  map[string]*Bed

	own          map[string]string        // address that a pooler listens on
	public       map[string]string        // address of the relay before it
	apis         map[string]string        // address of a pooler's store
	table        func(name string) string // the pooler's tables of the operators' file
	options      []Option
	paused, down map[string]bool
}

// PollInterval is the interval at which a fleet is polled.
const PollInterval = 20 * time.Millisecond

// FleetTimeout is how long a fleet may take to converge on a busy machine.
const FleetTimeout = 120 * time.Second

// Public returns the address at which the others reach a pooler.
func (f *Fleet) Public(name string) string { return f.public[name] }

// API returns the address of a pooler's store.
func (f *Fleet) API(name string) string { return f.apis[name] }

// Start starts a pooler that has not run yet.
func (f *Fleet) Start(name string, more ...Option) *Bed {
	f.T.Helper()
	options := []Option{WithName(name), WithTables(f.table(name))}
	for _, other := range f.Beds { // all have the same databases
		options = append(options, Beside(other))
		break
	}
	f.Beds[name] = Start(f.T, slices.Concat(options, f.options, more)...)
	return f.Beds[name]
}

// StartAll starts all poolers, in the order of their names.
func (f *Fleet) StartAll() {
	f.T.Helper()
	for _, name := range f.Names {
		f.Start(name)
	}
}

// State returns a pooler's membership view.
func (f *Fleet) State(name string) (state gossip.State) {
	f.T.Helper()
	code, body := f.Beds[name].Call(http.MethodGet, "/fleet")
	require.Equal(f.T, http.StatusOK, code, body)
	require.NoError(f.T, json.Unmarshal([]byte(body), &state))
	return state
}

// WaitConverged waits until the views of these poolers have converged, with exactly these poolers live, and returns how
// long that took.
func (f *Fleet) WaitConverged(what string, names ...string) time.Duration {
	f.T.Helper()
	slices.Sort(names)
	begun := time.Now()
	converged := func() bool { return f.converged(names) }
	require.Eventually(f.T, converged, FleetTimeout, PollInterval, "%s: %v settle", what, names)
	took := time.Since(begun)
	f.Net.Note("%s: %v have settled after %.1f s", what, names, took.Seconds())
	return took
}

// converged returns whether these poolers, which are sorted, have the same view, and each takes exactly these for live.
func (f *Fleet) converged(names []string) bool {
	var first gossip.State
	for i, name := range names {
		state := f.State(name)
		if i == 0 {
			first = state
		}
		if state.Digest != first.Digest || !slices.Equal(state.Live, names) {
			return false
		}
		for _, pooler := range state.Poolers {
			if pooler.State == "live" && len(pooler.Published) == 0 || pooler.State == "suspected" {
				return false
			}
		}
	}
	return true
}

// Periods waits until each of these poolers, which run, has completed so many more gossip periods: time in which
// something could have happened, however slow the machine is.
func (f *Fleet) Periods(more int, names ...string) {
	f.T.Helper()
	target := map[string]int64{}
	for _, name := range names {
		target[name] = f.State(name).Periods + int64(more)
	}
	completed := func() bool {
		for name, periods := range target {
			if f.State(name).Periods < periods {
				return false
			}
		}
		return true
	}
	require.Eventually(f.T, completed, FleetTimeout, PollInterval, "%v go on for %d periods", names, more)
}

// Command runs a command of the program and returns what it prints and its exit status.
func (f *Fleet) Command(args ...string) (printed string, status int) {
	f.T.Helper()
	command := exec.CommandContext(context.Background(), Binary(f.T), args...)
	text, _ := command.CombinedOutput() // the status says the same as the error
	return string(text), command.ProcessState.ExitCode()
}

// Serve checks that each of these poolers serves a write.
func (f *Fleet) Serve(what string, names ...string) {
	f.T.Helper()
	for _, name := range names {
		bed := f.Beds[name]
		statement := bed.Statement("write", "a", Timeout)
		require.True(f.T, bed.Client().Ask(statement).Complete, "%s: %s serves", what, name)
	}
}

// Kill ends a pooler by SIGKILL and waits for its end.
func (f *Fleet) Kill(name string) {
	f.T.Helper()
	f.Net.Note("kill %s", name)
	require.NoError(f.T, f.Beds[name].Process().Kill())
	_ = f.Beds[name].Wait() // that it was killed
	f.down[name] = true
}

// Restart starts a pooler again that was killed or has ended.
func (f *Fleet) Restart(name string) {
	f.T.Helper()
	f.Net.Note("restart %s", name)
	f.Beds[name].Run()
	delete(f.down, name)
}

// Pause stops a pooler by SIGSTOP, until Resume.
func (f *Fleet) Pause(name string) {
	f.T.Helper()
	f.Net.Note("pause %s", name)
	f.Beds[name].Signal(syscall.SIGSTOP)
	f.paused[name] = true
}

// Resume continues a paused pooler.
func (f *Fleet) Resume(name string) {
	f.T.Helper()
	f.Net.Note("resume %s", name)
	f.Beds[name].Signal(syscall.SIGCONT)
	delete(f.paused, name)
}

// Terminate ends a pooler by SIGTERM and waits for its end, which must be an orderly one.
func (f *Fleet) Terminate(name string) {
	f.T.Helper()
	f.Net.Note("terminate %s", name)
	f.Beds[name].Signal(syscall.SIGTERM)
	require.NoError(f.T, f.Beds[name].Wait())
	f.down[name] = true
}

// Running returns the poolers that have been started and are neither paused nor have ended, in the order of Names.
func (f *Fleet) Running() (names []string) {
	for _, name := range f.Names {
		if f.Beds[name] != nil && !f.down[name] && !f.paused[name] {
			names = append(names, name)
		}
	}
	return names
}

// Apply carries out one step of a schedule of faults.
func (f *Fleet) Apply(step faults.Step) {
	f.T.Helper()
	switch step.What {
	case faults.Kill:
		f.Kill(step.Process)
	case faults.Restart:
		f.Restart(step.Process)
	case faults.Pause:
		f.Pause(step.Process)
	case faults.Resume:
		f.Resume(step.Process)
	default:
		f.Net.Apply(step)
	}
}

// Logs returns the first line with a text that each pooler has printed, for those that have.
func (f *Fleet) Logs(with string) (lines []string) {
	for _, name := range f.Names {
		bed := f.Beds[name]
		if bed == nil {
			continue
		}
		if line := bed.Line(with); line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}
