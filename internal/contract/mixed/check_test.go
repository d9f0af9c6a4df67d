package mixed_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// wording names the texts that the newer program words otherwise than the older one, each older text before the newer
// one. In all other words the two say the same.
var wording = strings.NewReplacer()

// moduleRoot is the module's folder, from that of these tests.
const moduleRoot = "../../.."

// result is how a command ended.
type result struct {
	output string // on standard output and standard error
	status int
}

// runCommand runs a sub-command of a program to its end, with more variables of the environment.
func runCommand(t *testing.T, program string, variables []string, arguments ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testbed.Timeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, arguments...)
	command.Env = append(os.Environ(), variables...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	_ = command.Run() // the caller checks the status
	require.NoError(t, ctx.Err(), "%s %v ends", program, arguments)
	return result{output: output.String(), status: command.ProcessState.ExitCode()}
}

// requireSameCheck checks an operators' file, with a platform's file if one is named, by both programs. They end with
// the same status and the same output but for the wording, which are returned.
func requireSameCheck(t *testing.T, platformFile, operatorsFile string) result {
	t.Helper()
	older, newer := olderProgram(t), testbed.Binary(t)
	variables := []string{"GW_CONFIG=" + platformFile}
	before := runCommand(t, older, variables, "check", operatorsFile)
	after := runCommand(t, newer, variables, "check", operatorsFile)
	before.output = wording.Replace(before.output)
	require.Equal(t, before, after, "%s, %s", platformFile, operatorsFile)
	return after
}

// good is what a check without a fault ends with.
var good = result{output: "good\n"}

// copyEdited copies a file with a text replaced that it has once.
func copyEdited(t *testing.T, path, before, after string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(text), before), "%s has %q once", path, before)
	edited := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.WriteFile(edited, []byte(strings.Replace(string(text), before, after, 1)), 0o600))
	return edited
}

// Both programs find the platform's settings of the test bed good, and the operators' file that is shipped; they find
// the same faults in files with one, and say the same of them.
func TestSameChecks(t *testing.T) {
	t.Parallel()
	olderProgram(t)
	bed := testbed.Start(t)
	platform := filepath.Join(bed.Dir, "config.json")
	operators := filepath.Join(moduleRoot, "deploy", "capercove.toml")
	complete := filepath.Join(moduleRoot, "internal", "contract", "testdata", "platform", "complete.json")
	require.Equal(t, good, requireSameCheck(t, platform, operators))
	require.Equal(t, good, requireSameCheck(t, complete, operators))
	for _, fault := range [][2]string{
		{`"sendCap":10`, `"sendCap":0`},
		{`"credit":6`, `"credit":-6`},
		{`"aimMs":300,`, ``},
		{`"behind":"none"`, `"behind":"odd"`},
		{`"listRole":"static"`, `"listRole":7`},
		{`"connectTimeoutMs":250`, `"connectTimeoutMs":0`},
		{`"name":"report"`, `"name":"read"`},
	} {
		checked := requireSameCheck(t, copyEdited(t, platform, fault[0], fault[1]), operators)
		require.Equal(t, 1, checked.status, "%s: %s", fault[1], checked.output)
	}
	for _, fault := range [][2]string{
		{"lease_ms = 5000", "lease_ms = 0"},
		{"slower = 1.0", "slower = \"much\""},
		{"join = false", "join = true"},
		{"limit = \"gradient\"", "limit = \"odd\""},
		{"hook_calls = 1", "calls = 1"},
	} {
		edited := copyEdited(t, operators, fault[0], fault[1])
		checked := requireSameCheck(t, platform, edited)
		require.NotEmpty(t, checked.output, fault[1])
	}
	requireSameCheck(t, "missing.json", operators)
	requireSameCheck(t, platform, "missing.toml")
}
