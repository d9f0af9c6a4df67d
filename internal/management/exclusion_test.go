package management_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// requireServed sends count reads of a client, one after another, and requires that each is served.
func requireServed(t *testing.T, bed *testbed.Bed, client *testbed.Client, count int) {
	t.Helper()
	for range count {
		require.True(t, client.Ask(bed.Statement("report", "a", testbed.AnswerTimeout)).Complete)
	}
}

// telemetry returns the pooler's answer to GET /api/telemetry.
func telemetry(bed *testbed.Bed) string {
	bed.T.Helper()
	_, figures := bed.Call(http.MethodGet, "/api/telemetry")
	return figures
}

// Each request is answered with the HTTP status for its path, its method and the database that it names.
func TestAnswersWithHTTPStatus(t *testing.T) {
	bed := testbed.Start(t)
	for _, test := range []struct {
		method, path string
		want         int
	}{
		{http.MethodGet, "/api/ready", http.StatusOK},
		{http.MethodPut, "/api/exclude/nobody", http.StatusNotFound},
		{http.MethodPut, "/api/include/nobody", http.StatusNotFound},
		{http.MethodGet, "/api/exclude/db-1", http.StatusMethodNotAllowed},
		{http.MethodPut, "/api/exclude/", http.StatusNotFound},
		{http.MethodGet, "/", http.StatusNotFound},
		{http.MethodPut, "/api/ready", http.StatusMethodNotAllowed},
		{http.MethodPut, "/api/include/db-1", http.StatusOK},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			code, body := bed.CallAgain(test.method, test.path)
			require.Equal(t, test.want, code, body)
		})
	}
}

// An excluded database receives no new statements and no health checks until it is included again. The exclusion
// survives an update of the endpoint list and a restart of the pooler.
func TestExcludedDatabaseReceivesNoTraffic(t *testing.T) {
	bed := testbed.Start(t)
	client, excluded := bed.Client(), bed.Databases[1]
	requireServed(t, bed, client, 20)
	require.NotEmpty(t, excluded.Statements())
	for range 2 {
		bed.SetExcluded("db-1", true)
	}
	testbed.Pass(100 * time.Millisecond) // statements and probes in transit have arrived
	before, probes := len(excluded.Statements()), excluded.Probes()
	bed.List(bed.Entry(1, "DELETED"))
	bed.List(bed.Entry(1, "SERVING"))
	requireServed(t, bed, client, 50)
	bed.Signal(syscall.SIGKILL)
	require.Error(t, bed.Wait())
	bed.Run()
	client = bed.Client()
	requireServed(t, bed, client, 50)
	testbed.Pass(2 * time.Second) // health checks are sent once a second
	require.Len(t, excluded.Statements(), before)
	require.Equal(t, probes, excluded.Probes())
	isUnavailable := func() bool { return strings.Contains(telemetry(bed), "members_unavailable=1\n") }
	bed.Eventually(isUnavailable, "the excluded database counts as unavailable")
	bed.SetExcluded("db-1", false)
	bed.Eventually(func() bool {
		requireServed(t, bed, client, 1)
		return len(excluded.Statements()) > before
	}, "the included database receives statements again")
}

// An unreadable exclusions file is logged. The exclusions in memory still apply, and the next change replaces the file.
func TestKeepsExclusionsWhenFileIsUnreadable(t *testing.T) {
	bed := testbed.Start(t)
	client, excluded := bed.Client(), bed.Databases[1]
	bed.SetExcluded("db-1", true)
	file := filepath.Join(bed.Dir, testbed.ExclusionsFile)
	testbed.Pass(500 * time.Millisecond) // the pooler has checked the file since the change
	require.NoError(t, os.WriteFile(file, []byte(`{"db-`), 0o600))
	bed.AwaitLine("exclusions: cannot be read", "the unreadable file is logged")
	before := len(excluded.Statements())
	requireServed(t, bed, client, 20)
	require.Len(t, excluded.Statements(), before)
	bed.SetExcluded("db-1", true)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Regexp(t, `^{"db-1":\d+}$`, string(text))
}

// A request that waits for a connection to a database is sent to another database when the first one is excluded.
func TestExclusionReroutesWaitingRequest(t *testing.T) {
	bed := testbed.Start(t, func(b *testbed.Bed) { // the request would wait for a minute
		b.Settings = strings.Replace(testbed.Settings, `"connectTimeoutMs":250`, `"connectTimeoutMs":60000`, 1)
	})
	client := bed.Client()
	preferred := bed.Databases[0]
	if string(client.Ask(bed.Statement("report", "a", testbed.AnswerTimeout)).Value) == "from db-1" {
		preferred = bed.Databases[1]
	}
	preferred.Freeze(true) // new connections are accepted, but the handshake gets no answer
	preferred.Cut()
	client.Send(testbed.Query(bed.Statement("report", "a", 10*time.Second)))
	bed.Eventually(func() bool { return preferred.Open() > 0 }, "the request waits for a connection")
	bed.SetExcluded(preferred.ID, true)
	require.True(t, client.Next().Complete)
}
