package agent

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two plans can have the same start time if the clock was stepped back. Their IDs must differ.
func TestPlanIDsOfTheSameTimeDiffer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first, second := planID(now), planID(now)
	require.NotEqual(t, first, second)
	require.Contains(t, first, "20270115T080000-")
}

// A command line has a command, its flags, its file, machine or pooler if any, and the address. Others are rejected.
func TestParseInvocation(t *testing.T) {
	for name, test := range map[string]struct {
		args string
		want invocation
		ok   bool
	}{
		"plan of a file": {"plan wish.toml :1", invocation{command: "plan", name: "wish.toml", address: ":1"}, true},
		"machine":        {"begin db-1 :1", invocation{command: "begin", name: "db-1", address: ":1"}, true},
		"about the plan": {"pause :1", invocation{command: "pause", address: ":1"}, true},
		"flags": {
			"status --json --watch :1",
			invocation{command: "status", address: ":1", asJSON: true, watch: true},
			true,
		},
		"no machine":          {"begin :1", invocation{}, false},
		"too many":            {"pause db-1 :1", invocation{}, false},
		"no address":          {"status", invocation{}, false},
		"nothing":             {"", invocation{}, false},
		"unknown flag":        {"status --all :1", invocation{}, false},
		"unknown command":     {"stop :1", invocation{}, false},
		"flag before command": {"--json status :1", invocation{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := parseInvocation(strings.Fields(test.args))
			require.Equal(t, test.ok, ok)
			if ok {
				require.Equal(t, test.want, got)
			}
		})
	}
}
