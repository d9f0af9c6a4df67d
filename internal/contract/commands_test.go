package contract_test

import (
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// The pooler's sub-commands end with these statuses; where they are used wrongly, or nobody answers, what they print is
// left open.
func TestStatusesOfCommands(t *testing.T) {
	t.Parallel()
	nobody := freeAddress(t)
	for _, c := range []struct {
		args   []string
		status int
	}{
		{[]string{"version"}, 0},
		{[]string{"odd"}, 2},
		{[]string{"--odd"}, 2},
		{[]string{"version", "odd"}, 2},
		{[]string{"check", "missing.toml"}, 1},
		{[]string{"check", "a.toml", "b.toml"}, 2},
		{[]string{"fleet"}, 2},
		{[]string{"fleet", "--odd", nobody}, 2},
		{[]string{"fleet", nobody}, 2},
		{[]string{"fleet", "--all", nobody}, 2},
		{[]string{"fleet", "--json", nobody}, 2},
		{[]string{"fleet", nobody, nobody}, 2},
		{[]string{"works"}, 2},
		{[]string{"works", "odd", nobody}, 2},
		{[]string{"works", "status"}, 2},
		{[]string{"works", "status", nobody}, 2},
		{[]string{"works", "status", "--json", nobody}, 2},
		{[]string{"works", "status", "--odd", nobody}, 2},
		{[]string{"works", "history", nobody}, 2},
		{[]string{"works", "plan", nobody}, 2},
		{[]string{"works", "plan", "wish.toml", nobody}, 2},
		{[]string{"works", "start", "wish.toml", nobody}, 2},
		{[]string{"works", "pause", nobody}, 2},
		{[]string{"works", "resume", nobody}, 2},
		{[]string{"works", "abort", nobody}, 2},
		{[]string{"works", "skip", "db-1", nobody}, 2},
		{[]string{"works", "begin", "db-1", nobody}, 2},
		{[]string{"works", "begin", nobody}, 2},
		{[]string{"works", "end", "db-1", nobody}, 2},
		{[]string{"works", "forget", "n1", nobody}, 2},
	} {
		require.Equal(t, c.status, command(t, c.args...).status, "%v", c.args)
	}
	require.Regexp(t, `^capercove \S+ go\S+, revision \w+(, changed since)?\n$`, command(t, "version").stdout)
}

// beside is the default of --binary: the pooler beside the lab.
var beside = regexp.MustCompile(`"[^"]*/capercove"`)

// The lab's help texts, and what it says and how it ends where it is used rightly and wrongly.
func TestLabCommands(t *testing.T) {
	t.Parallel()
	texts := ""
	for _, args := range [][]string{{"--help"}, {"run", "--help"}, {"fleet", "--help"}, {"compare", "--help"},
		{"check", "--help"}, {"table", "--help"}} {
		r := run(t, t.TempDir(), nil, "capercove-lab", args...)
		require.Zero(t, r.status, "%v", args)
		require.Empty(t, r.stderr, "%v", args)
		texts += "# " + args[0] + "\n" + steady(beside.ReplaceAllString(r.stdout, `"capercove"`))
	}
	golden(t, "commands/lab.txt", texts)
	for _, c := range []struct {
		args   []string
		status int
		said   string // on standard error, behind the program's name
	}{
		{[]string{"odd"}, 1, `unknown command "odd" for "capercove-lab"`},
		{[]string{"run"}, 2, "run SCENARIO: 0 arguments, want 1"},
		{[]string{"fleet", "a", "b"}, 2, "fleet SCENARIO: 2 arguments, want 1"},
		{[]string{"run", "--odd", "a"}, 2, "unknown flag: --odd"},
		{[]string{"compare", "--model", "a", "b", "c"}, 2,
			"compare A B SCENARIO with poolers, compare [--model] A B with scenario files"},
		{[]string{"compare", "a"}, 1, "accepts between 2 and 3 arg(s), received 1"},
		{[]string{"check"}, 1, "requires at least 1 arg(s), only received 0"},
		{[]string{"check", "missing.toml"}, 1, "open missing.toml: no such file or directory"},
	} {
		r := run(t, t.TempDir(), nil, "capercove-lab", c.args...)
		require.Equal(t, result{stderr: "capercove-lab: " + c.said + "\n", status: c.status}, r, "%v", c.args)
	}
	r := run(t, root, nil, "capercove-lab", "check", "scenarios/calm.toml", "scenarios/primary-killed.toml")
	require.Equal(t, result{stdout: "scenarios/calm.toml is good\nscenarios/primary-killed.toml is good\n"}, r)
}
