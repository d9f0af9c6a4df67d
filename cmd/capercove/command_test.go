package main_test

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// runProgram runs the program with the arguments and waits until it ends.
func runProgram(t *testing.T, arguments ...string) (stdout, stderr string, status int) {
	t.Helper()
	program := exec.CommandContext(t.Context(), testbed.Binary(t), arguments...)
	program.Dir = t.TempDir()
	var out, err bytes.Buffer
	program.Stdout, program.Stderr = &out, &err
	_ = program.Run() // the caller checks the exit status
	return out.String(), err.String(), program.ProcessState.ExitCode()
}

// Each command prints its help text on standard output and ends with status 0.
func TestHelpOfCommands(t *testing.T) {
	for arguments, usage := range map[string]string{
		"--help":              "capercove COMMAND",
		"help":                "capercove COMMAND",
		"check --help":        "capercove check [FILE]",
		"fleet --help":        "capercove fleet [--all] [--json] ADDR",
		"fleet -h":            "capercove fleet [--all] [--json] ADDR",
		"help fleet":          "capercove fleet [--all] [--json] ADDR",
		"version --help":      "capercove version",
		"works --help":        "capercove works COMMAND",
		"works plan --help":   "capercove works plan FILE ADDR",
		"works status --help": "capercove works status [--json] [--watch] ADDR",
		"works skip -h":       "capercove works skip MACHINE ADDR",
	} {
		t.Run(arguments, func(t *testing.T) {
			stdout, stderr, status := runProgram(t, strings.Fields(arguments)...)
			require.Contains(t, stdout, "Usage:\n  "+usage+"\n")
			require.Empty(t, stderr)
			require.Zero(t, status)
		})
	}
}

// A wrong command line ends with status 2. Standard error shows the invalid argument and the usage.
func TestRejectsWrongCommandLine(t *testing.T) {
	for arguments, want := range map[string][2]string{
		"odd":                {`unknown command "odd" for "capercove"`, "capercove COMMAND"},
		"--odd":              {"unknown flag: --odd", "capercove COMMAND"},
		"--":                 {"COMMAND is missing", "capercove COMMAND"},
		"version odd":        {`unexpected argument "odd"`, "capercove version"},
		"check a.toml odd":   {`unexpected argument "odd"`, "capercove check [FILE]"},
		"fleet":              {"ADDR is missing", "capercove fleet [--all] [--json] ADDR"},
		"fleet --odd addr":   {"unknown flag: --odd", "capercove fleet [--all] [--json] ADDR"},
		"fleet addr --json":  {`unexpected argument "--json"`, "capercove fleet [--all] [--json] ADDR"},
		"works":              {"COMMAND is missing", "capercove works COMMAND"},
		"works odd addr":     {`unknown command "odd" for "capercove works"`, "capercove works COMMAND"},
		"works status":       {"ADDR is missing", "capercove works status [--json] [--watch] ADDR"},
		"works status --odd": {"unknown flag: --odd", "capercove works status [--json] [--watch] ADDR"},
		"works start a.toml": {"ADDR is missing", "capercove works start FILE ADDR"},
		"works pause a b":    {`unexpected argument "b"`, "capercove works pause ADDR"},
	} {
		t.Run(arguments, func(t *testing.T) {
			stdout, stderr, status := runProgram(t, strings.Fields(arguments)...)
			require.Equal(t, "capercove: "+want[0]+"\nusage: "+want[1]+"\n", stderr)
			require.Empty(t, stdout)
			require.Equal(t, 2, status)
		})
	}
}

// If no pooler answers, the fleet command ends with status 2, and standard error names the address. The command accepts
// flags with one dash or two.
func TestFleetCommandWithoutAnswer(t *testing.T) {
	address := testbed.ReserveAddress(t)
	for _, flag := range []string{"--all", "--json", "-all", "-json=true", "--all=false"} {
		stdout, stderr, status := runProgram(t, "fleet", flag, address)
		require.Contains(t, stderr, "capercove: ")
		require.Contains(t, stderr, address, flag)
		require.Empty(t, stdout, flag)
		require.Equal(t, 2, status, flag)
	}
}

// The shell completion offers all commands and flags.
func TestCompletionOfCommands(t *testing.T) {
	worksCommands := []string{
		"abort", "begin", "end", "forget", "history", "pause", "plan", "resume", "skip", "start", "status",
	}
	for typed, want := range map[string][]string{
		"":         {"check", "completion", "fleet", "help", "version", "works"},
		"works ":   worksCommands,
		"fleet --": {"--all", "--help", "--json"},
	} {
		words := strings.Split(typed, " ")
		stdout, _, status := runProgram(t, append([]string{"__complete"}, words...)...)
		require.Zero(t, status)
		var offered []string
		for line := range strings.Lines(stdout) {
			word, _, described := strings.Cut(line, "\t")
			if described {
				offered = append(offered, word)
			}
		}
		require.Equal(t, want, offered, typed)
	}
	stdout, stderr, status := runProgram(t, "completion", "bash")
	require.Contains(t, stdout, "__start_capercove")
	require.Empty(t, stderr)
	require.Zero(t, status)
}
