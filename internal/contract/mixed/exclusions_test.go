package mixed_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// awaitFigure waits until a pooler shows a figure with a value.
func awaitFigure(bed *testbed.Bed, figure string, value int) {
	bed.T.Helper()
	line := fmt.Sprintf("app.%s=%d\n", figure, value)
	bed.Eventually(func() bool {
		_, telemetry := bed.Call(http.MethodGet, "/api/telemetry")
		return strings.Contains(telemetry, line)
	}, line)
}

// awaitExcluded waits until a pooler takes so many databases for unavailable and has stored its exclusions.
func awaitExcluded(bed *testbed.Bed, count int) {
	bed.T.Helper()
	awaitFigure(bed, "members_unavailable", count)
	awaitFigure(bed, "bans_unsaved", 0)
}

// requireUnused requires that a pooler serves statements and that none of them reaches a database.
func requireUnused(bed *testbed.Bed, database *testbed.Database) {
	bed.T.Helper()
	const statements = 20
	client, before := bed.Client(), len(database.Statements())
	for range statements {
		require.True(bed.T, client.Ask(bed.Statement("report", "a", testbed.Timeout)).Complete)
	}
	require.Len(bed.T, database.Statements(), before)
}

// An exclusion that one build has stored holds in the other one, with its time, and is taken back there; the first one
// then reads that it is over, and one that the other has stored. It does not matter how a process ended.
func TestStoredExclusions(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		bed := testbed.Start(t, testbed.WithReplicas(1), testbed.WithProgram(order.first))
		bed.SetExcluded("db-1", true)
		bed.SetExcluded("db-2", true)
		bed.SetExcluded("db-2", false)
		awaitExcluded(bed, 1)
		stored := testbed.ReadExclusions(t, bed.Dir)
		require.Len(t, stored, 1)
		require.Positive(t, stored["db-1"])
		bed.Signal(syscall.SIGTERM)
		require.NoError(t, bed.Wait())

		replaceProgram(bed, order.second)
		bed.Run()
		awaitExcluded(bed, 1)
		requireUnused(bed, bed.Databases[1])
		require.Equal(t, stored, testbed.ReadExclusions(t, bed.Dir), "the time of the exclusion stays")
		bed.SetExcluded("db-1", false)
		awaitExcluded(bed, 0)
		bed.SetExcluded("db-2", true)
		awaitExcluded(bed, 1)
		stored = testbed.ReadExclusions(t, bed.Dir)
		bed.Signal(syscall.SIGKILL)
		require.ErrorContains(t, bed.Wait(), "killed")

		replaceProgram(bed, order.first)
		bed.Run()
		awaitExcluded(bed, 1)
		requireUnused(bed, bed.Databases[2])
		require.Equal(t, stored, testbed.ReadExclusions(t, bed.Dir))
	})
}

// While a process of each build runs, an exclusion at one holds at the other, and its end there holds at the first: the
// times by which they order two changes mean the same to both.
func TestSharedExclusions(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		bed := testbed.Start(t, testbed.WithListener, testbed.WithProgram(order.first))
		before := *bed // speaks to the first process
		replaceProgram(bed, order.second)
		end := bed.Upgrade()
		for range 3 {
			bed.SetExcluded("db-1", true)
			awaitExcluded(&before, 1)
			before.SetExcluded("db-1", false)
			awaitExcluded(bed, 0)
			before.SetExcluded("db-1", true)
			awaitExcluded(bed, 1)
			bed.SetExcluded("db-1", false)
			awaitExcluded(&before, 0)
		}
		require.NoError(t, end())
	})
}

// An exclusion that a process of one build cannot save is handed over to a process of the other one, which obeys and
// saves it.
func TestUnsavedExclusionIsHandedOver(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		bed := testbed.Start(t, testbed.WithListener, testbed.WithProgram(order.first))
		bed.FileLimit(1)
		bed.SetExcluded("db-1", true)
		awaitFigure(bed, "bans_unsaved", 1)
		require.Empty(t, testbed.ReadExclusions(t, bed.Dir))
		replaceProgram(bed, order.second)
		end := bed.Upgrade()
		require.NoError(t, end())
		awaitExcluded(bed, 1)
		requireUnused(bed, bed.Databases[1])
		require.Contains(t, testbed.ReadExclusions(t, bed.Dir), "db-1")
	})
}
