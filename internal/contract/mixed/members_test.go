package mixed_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/membership"
	"capercove/internal/membership/gossip"
	"capercove/internal/testbed"
)

// fastGossip shortens the intervals: poolers on one machine answer sooner than over a network.
const fastGossip = "slower = 0.25"

// Poolers of one build remember each other in files. All are killed; two of them start again with the other build and
// find each other by these files, as the only seed does not run. Then the same holds the other way round.
func TestRememberedMembers(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		fleet, folder := testbed.NewFleet(t, 61, 3, []string{"n0"}, fastGossip), t.TempDir()
		for _, name := range fleet.Names {
			own := filepath.Join(folder, name)
			require.NoError(t, os.Mkdir(own, 0o700))
			fleet.Start(name, testbed.WithProgram(order.first), testbed.WithTables(fmt.Sprintf("dir = %q", own)))
		}
		fleet.WaitConverged("joined", fleet.Names...)
		var saved map[string]string
		for _, program := range []string{order.second, order.first} {
			saved = awaitRemembered(fleet, folder, saved)
			for _, name := range fleet.Names {
				fleet.Kill(name)
				replaceProgram(fleet.Beds[name], program)
			}
			fleet.Restart("n2")
			fleet.Restart("n1")
			fleet.WaitConverged("without the seed", "n1", "n2")
			for _, name := range []string{"n1", "n2"} {
				require.Zero(t, fleet.State(name).SaveErrors, "%s has read its file", name)
			}
			fleet.Restart("n0")
			fleet.WaitConverged("all", fleet.Names...)
		}
	})
}

// awaitRemembered waits until each pooler has saved the addresses of all others in another file than the one before, by
// its path, and returns the files.
func awaitRemembered(fleet *testbed.Fleet, folder string, before map[string]string) (saved map[string]string) {
	fleet.T.Helper()
	saved = map[string]string{}
	for _, name := range fleet.Names {
		path := filepath.Join(folder, name, "fleet-members")
		fleet.Beds[name].Eventually(func() bool {
			text, err := os.ReadFile(path)
			saved[path] = string(text)
			return err == nil && saved[path] != before[path] && remembersOthers(fleet, name, saved[path])
		}, name+" saves the others' addresses")
	}
	return saved
}

// remembersOthers returns whether a file of a pooler has the addresses of all others.
func remembersOthers(fleet *testbed.Fleet, name, text string) bool {
	for _, other := range fleet.Names {
		if other != name && !strings.Contains(text, fmt.Sprintf("\n%q %s ", other, fleet.Public(other))) {
			return false
		}
	}
	return true
}

// requireAgreement requires that the commands of both builds find at any pooler that all views agree and are complete.
func requireAgreement(fleet *testbed.Fleet, programs ...string) {
	fleet.T.Helper()
	for _, program := range programs {
		for _, name := range fleet.Names {
			bed := fleet.Beds[name]
			bed.Eventually(func() bool {
				agrees := runCommand(fleet.T, program, nil, "fleet", "--all", bed.Management)
				return agrees.status == 0 && strings.Count(agrees.output, "3 of 3  whole") == len(fleet.Names)
			}, "all views agree, asked at "+name)
		}
	}
}

// Three poolers of mixed builds join, see each other and agree, which the commands of both builds confirm, and serve.
// One after the other is replaced by a process of the other build, by an upgrade on the inherited listener or by an end
// and a start: none is ever taken for failed.
func TestMixedMembership(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		fleet := testbed.NewFleet(t, 62, 3, []string{"n0"}, "", testbed.WithListener)
		startAlternating(fleet, order)
		fleet.WaitConverged("joined", fleet.Names...)
		requireAgreement(fleet, order.first, order.second)
		fleet.Serve("joined", fleet.Names...)

		replaceProgram(fleet.Beds["n0"], order.second)
		end := fleet.Beds["n0"].Upgrade()
		require.NotEmpty(t, fleet.State("n0").WaitReason, "the process before still takes part")
		fleet.Serve("two processes", "n0")
		require.NoError(t, end())
		fleet.WaitConverged("n0 upgraded", fleet.Names...)
		for i, program := range []string{order.first, order.second} {
			name := fleet.Names[1+i]
			fleet.Terminate(name)
			replaceProgram(fleet.Beds[name], program)
			fleet.Restart(name)
			fleet.WaitConverged(name+" replaced", fleet.Names...)
		}
		requireAgreement(fleet, order.first, order.second)
		fleet.Serve("replaced", fleet.Names...)
		require.Empty(t, fleet.Logs("it does not answer"))
		for _, name := range fleet.Names {
			require.Zero(t, fleet.State(name).Refutations, "%s was taken for failed", name)
		}
	})
}

// observes returns whether a pooler knows that another one has observed a database as bad.
func observes(fleet *testbed.Fleet, at, observer, database string) bool {
	fleet.T.Helper()
	bad := func(observation membership.PeerObservation) bool {
		return observation.Pooler == observer && observation.State.Bad()
	}
	return slices.ContainsFunc(fleet.State(at).Databases, func(observed gossip.Database) bool {
		return observed.Name == database && slices.ContainsFunc(observed.Observations, bad)
	})
}

// What a pooler of one build observes of a database is known at those of the other build, each way: that it does not
// answer, and that it answers again. One that fails is known as failed to both builds, and as live when it is back.
func TestMixedObservations(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		fleet := testbed.NewFleet(t, 63, 3, []string{"n0"}, fastGossip)
		startAlternating(fleet, order)
		fleet.WaitConverged("joined", fleet.Names...)
		database := fleet.Beds["n0"].Databases[1]
		database.Freeze(true)
		for _, name := range []string{"n0", "n1"} { // one of each build
			awaitObservation(fleet, name, database.ID, true)
		}
		database.Freeze(false)
		for _, name := range []string{"n0", "n1"} {
			awaitObservation(fleet, name, database.ID, false)
		}
		fleet.Kill("n1")
		fleet.WaitConverged("n1 killed", "n0", "n2")
		fleet.Restart("n1")
		fleet.WaitConverged("n1 back", fleet.Names...)
		fleet.Serve("n1 back", fleet.Names...)
	})
}

// awaitObservation sends reads to a pooler until all poolers know that it has observed a database as bad, or as good.
func awaitObservation(fleet *testbed.Fleet, observer, database string, bad bool) {
	fleet.T.Helper()
	bed := fleet.Beds[observer]
	bed.Eventually(func() bool {
		bed.Client().Ask(bed.Statement("read", "k", testbed.AnswerTimeout/2)) // the answer does not matter
		for _, name := range fleet.Names {
			if observes(fleet, name, observer, database) != bad {
				return false
			}
		}
		return true
	}, fmt.Sprintf("all know that %s observes %s as bad: %v", observer, database, bad))
}
