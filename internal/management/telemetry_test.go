package management_test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// openUnfinishedRequests opens count connections to the management address and sends an incomplete request on each.
func openUnfinishedRequests(t *testing.T, bed *testbed.Bed, count int) {
	t.Helper()
	for range count {
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", bed.Management)
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		_, err = connection.Write([]byte("GET /api/te"))
		require.NoError(t, err)
	}
}

// showsFigures reports whether the telemetry contains the figures, and the same number of sent statements as the
// program's counters.
func showsFigures(bed *testbed.Bed, figures ...string) bool {
	bed.T.Helper()
	shown := telemetry(bed)
	for _, figure := range figures {
		if !strings.Contains(shown, "app."+figure+"\n") {
			return false
		}
	}
	written := bed.Counters(func(testbed.Counters) bool { return true }).Core.Written
	return strings.Contains(shown, fmt.Sprintf("app.upstream_requests=%d\n", written))
}

// withLongDeadlines sets the latency objective and the deadline of class report to ten minutes. A database that doesn't
// answer then counts as available for the whole test.
func withLongDeadlines(bed *testbed.Bed) {
	bed.Settings = strings.Replace(bed.Settings,
		`"aimMs":5000,"deadlineMs":10000`, `"aimMs":600000,"deadlineMs":600000`, 1)
}

// The telemetry shows the counters of each class. Operators' connections with unfinished requests don't block other
// requests.
func TestTelemetryShowsCounters(t *testing.T) {
	const pendingTime = 10 * testbed.Timeout
	bed := testbed.Start(t, withLongDeadlines)
	openUnfinishedRequests(t, bed, 40)
	client := bed.Client()
	for range 5 {
		require.True(t, client.Ask(bed.Statement("write", "a", testbed.Timeout)).Complete)
	}
	require.NotEmpty(t, client.Ask(bed.Statement("write", "fail", testbed.Timeout)).Code)
	rejected := client.Ask(bed.Statement("write", "full", testbed.Timeout)) // the answer follows the last retry
	require.Equal(t, pg.CodeTooManyConnections, rejected.Code)
	bed.Signal(syscall.SIGHUP)
	bed.AwaitLine("reload: done", "the first reload is done")
	bed.Configure("{")
	bed.Signal(syscall.SIGHUP)
	require.NotEmpty(t, telemetry(bed), "answered in spite of unfinished requests")
	bed.Client().Send(testbed.Query(bed.Statement("report", "hang", pendingTime)))
	bed.Eventually(func() bool {
		return showsFigures(bed,
			"downstream_requests.write.completed=5", "downstream_requests.write.failed=1",
			"downstream_requests.write.rejected=1", "downstream_requests.read.completed=0", "pending=1",
			"members=2", "members_unavailable=0", "config_reloads=1", "config_reload_errors=1",
		)
	}, "the telemetry shows the figures")
	require.Equal(t, 1, bed.Sent("hang"), "the statement was pending all the time")
}
