package agent_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// hook is a program that logs when its calls begin and end. A call ends only after its gate file exists.
type hook struct {
	t     *testing.T
	calls string // path of its log
	gate  string // path of the gate file for all calls; with the suffix .MACHINE, for the calls for this machine
}

// hookScript is the format of the hook's program, with the paths of its log and gate. Its second argument is the name
// of the machine. The wait for the gate is limited, in case the test ends before.
const hookScript = `#!/bin/sh
calls=%s gate=%s
echo "$2 $CAPERCOVE_WORK begins $(date +%%s%%N)" >> "$calls"
n=0
while [ ! -e "$gate" ] && [ ! -e "$gate.$2" ] && [ $n -lt 6000 ]; do sleep 0.02; n=$((n+1)); done
sleep 0.3
echo "$2 $CAPERCOVE_WORK ends $(date +%%s%%N)" >> "$calls"
`

// newHook returns a hook, and the line of the table [works] that configures it.
func newHook(t *testing.T) (created hook, line string) {
	t.Helper()
	folder := t.TempDir()
	created = hook{t: t, calls: filepath.Join(folder, "calls"), gate: filepath.Join(folder, "gate")}
	program := filepath.Join(folder, "hook")
	script := fmt.Sprintf(hookScript, created.calls, created.gate)
	require.NoError(t, os.WriteFile(program, []byte(script), 0o700))
	return created, fmt.Sprintf("hook = [%q]\n", program)
}

// hookCall is one call of the hook. The machine is in maintenance from the begin to the end of the call.
type hookCall struct {
	machine string
	number  string // fencing number
	begin   time.Time
	end     time.Time // zero: the call has not ended, or was killed
}

func (c hookCall) ended() bool { return !c.end.IsZero() }

// open lets all calls end.
func (h hook) open() {
	h.t.Helper()
	require.NoError(h.t, os.WriteFile(h.gate, nil, 0o600))
}

// openFor lets the calls for one machine end.
func (h hook) openFor(machine string) {
	h.t.Helper()
	require.NoError(h.t, os.WriteFile(h.gate+"."+machine, nil, 0o600))
}

// wait waits until the calls satisfy a condition, and returns them.
func (h hook) wait(condition func(calls []hookCall) bool, what string) []hookCall {
	h.t.Helper()
	met := func() bool { return condition(h.read()) }
	require.Eventually(h.t, met, testbed.FleetTimeout, testbed.PollInterval, what)
	return h.read()
}

// awaitCalls waits until the hook has been called a number of times, and returns the calls.
func (h hook) awaitCalls(count int) []hookCall {
	h.t.Helper()
	what := fmt.Sprintf("%d calls of the hook", count)
	return h.wait(func(calls []hookCall) bool { return len(calls) >= count }, what)
}

// awaitLastEnd waits until the last call has ended, and returns the calls.
func (h hook) awaitLastEnd() []hookCall {
	h.t.Helper()
	return h.wait(func(calls []hookCall) bool {
		return len(calls) > 0 && calls[len(calls)-1].ended()
	}, "the hook ends")
}

// read returns the calls so far.
func (h hook) read() []hookCall {
	text, err := os.ReadFile(h.calls)
	if err != nil { // the hook was not called yet
		return nil
	}
	var calls []hookCall
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 { // the line is being written
			continue
		}
		nanoseconds, err := strconv.ParseInt(fields[3], 10, 64)
		if err != nil {
			continue
		}
		at := time.Unix(0, nanoseconds)
		if fields[2] == "begins" {
			calls = append(calls, hookCall{machine: fields[0], number: fields[1], begin: at})
		} else {
			endFirst(calls, fields[0], fields[1], at)
		}
	}
	return calls
}

// endFirst sets the end of the first call of a machine and number that has not ended.
func endFirst(calls []hookCall, machine, number string, at time.Time) {
	for i := range calls {
		if calls[i].machine == machine && calls[i].number == number && !calls[i].ended() {
			calls[i].end = at
			return
		}
	}
}
