// Package mixed_test proves that two builds of the program work together: an older one, whose path the environment
// variable CAPERCOVE_OLDER_PROGRAM holds, and that of this source tree. Both run as processes on loopback: they read
// what the other one has stored, share a listening socket, and are members of one fleet and of one replicated store.
// Without the variable the tests are skipped.
package mixed_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// olderVariable is the environment variable with the absolute path of the older program.
const olderVariable = "CAPERCOVE_OLDER_PROGRAM"

// builds are the paths of the two programs, in the order in which they run.
type builds struct {
	first  string
	second string
}

// olderProgram returns the path of the older program. Without one the test is skipped.
func olderProgram(t *testing.T) string {
	t.Helper()
	path := os.Getenv(olderVariable)
	if path == "" {
		t.Skip(olderVariable + " is not set: without an older program nothing is proven")
	}
	require.True(t, filepath.IsAbs(path), "%s is an absolute path: %s", olderVariable, path)
	require.FileExists(t, path, olderVariable)
	return path
}

// eachOrder runs a subtest in which the older program comes first, and one in which the newer one does.
func eachOrder(t *testing.T, run func(t *testing.T, order builds)) {
	t.Helper()
	older, newer := olderProgram(t), testbed.Binary(t)
	t.Run("the older before the newer", func(t *testing.T) { run(t, builds{first: older, second: newer}) })
	t.Run("the newer before the older", func(t *testing.T) { run(t, builds{first: newer, second: older}) })
}

// replaceProgram lets the pooler run another program from its next start on.
func replaceProgram(bed *testbed.Bed, program string) { testbed.WithProgram(program)(bed) }

// startAlternating starts all poolers of a fleet, with the first program and the second in turn: of three poolers the
// first and the last one run the first program.
func startAlternating(fleet *testbed.Fleet, order builds) {
	fleet.T.Helper()
	for i, name := range fleet.Names {
		program := order.first
		if i%2 == 1 {
			program = order.second
		}
		fleet.Start(name, testbed.WithProgram(program))
	}
}
