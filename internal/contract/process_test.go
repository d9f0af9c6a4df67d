package contract_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// result is how a command ended.
type result struct {
	stdout, stderr string
	status         int
}

// said is all that a command printed. Which of the two streams carries an error is left open.
func (r result) said() string { return r.stdout + r.stderr }

// environment is that of the tests without what the programs read, with some lines more.
func environment(more ...string) (lines []string) {
	for _, line := range os.Environ() {
		if !strings.HasPrefix(line, "GW_") && !strings.HasPrefix(line, "CAPERCOVE_") && !strings.HasPrefix(line, "USER=") {
			lines = append(lines, line)
		}
	}
	return append(lines, more...)
}

// run runs a command to its end.
func run(t *testing.T, dir string, env []string, name string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	process := exec.CommandContext(ctx, program(name), args...)
	process.Dir, process.Env = dir, environment(env...)
	var stdout, stderr bytes.Buffer
	process.Stdout, process.Stderr = &stdout, &stderr
	_ = process.Run() // the status is looked at by the caller
	assert.NoError(t, ctx.Err(), "%s %v does not end", name, args)
	return result{stdout.String(), stderr.String(), process.ProcessState.ExitCode()}
}

// concurrently calls a function for each number below n, a few at a time. The function may fail the test with assert,
// but not with require.
func concurrently(n int, call func(i int)) {
	const atOnce = 4
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for i := range n {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			call(i)
		})
	}
	all.Wait()
}
