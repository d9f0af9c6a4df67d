// Package contract_test holds the outer behaviour of the programs still: what operators, clients, databases and the
// simulator see. It starts the built programs and looks at files, sockets, HTTP, standard input and output alone, and
// imports no package of the project, so that code can be renamed and moved while these tests stay as they are.
//
// Golden files lie under testdata. CONTRACT_UPDATE=1 writes them anew; in CI it fails the run. See testdata/README.md.
package contract_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// patience is how long anything that must happen may take on a busy machine.
const patience = 30 * time.Second

// poll is how often a condition is looked at.
const poll = 5 * time.Millisecond

// updating is set where the golden files are to be written anew.
var updating = os.Getenv("CONTRACT_UPDATE") == "1"

// programs is the folder of the built programs, and simulated the command that the deploy file names for the simulator.
var programs, simulated string

func TestMain(m *testing.M) {
	flag.Parse()
	status, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "contract:", err)
		status = 1
	}
	os.Exit(status)
}

// buildAndRun builds all programs once for all tests, runs these, and removes what was built.
func buildAndRun(m *testing.M) (status int, err error) {
	if updating && os.Getenv("CI") != "" {
		return 1, errors.New("CONTRACT_UPDATE is set in CI: golden files are written anew by hand alone")
	}
	dir, err := os.MkdirTemp("", "capercove-contract")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("%w: %s", err, out)
	}
	programs = dir
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return 1, err
	}
	var deploy struct {
		Sim string `toml:"sim"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return 1, err
	}
	simulated = filepath.Base(strings.TrimPrefix(deploy.Sim, "exec "))
	return m.Run(), nil
}

// root is the module's folder, from that of the tests.
const root = "../.."

// program returns the path of a built program.
func program(name string) string { return filepath.Join(programs, name) }

// golden compares a text with a golden file, or writes that anew.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if updating {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "%s: the outer behaviour has changed", path)
}

// eventually waits for a condition that must come true.
func eventually(t *testing.T, condition func() bool, what string) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(poll) {
		if time.Now().After(end) {
			require.FailNow(t, "not in time: "+what)
		}
	}
}
