package admission_test

import (
	"fmt"
	"net/http" //nolint:depguard // the test calls the operators' API of a running pooler
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/metadata"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/flightclient"
)

// initialLimit is how many requests are in flight in a queue before its latency has been measured.
const initialLimit = 8

// tables are the tables of the operators' file for a pooler with two tenants.
const tables = `[door]
enabled = true
client = "user"
[[door.tenants]]
name = "office"
[[door.tenants]]
name = "members"
weight = 4.0
[[door.rules]]
tenant = "office"
comment = "from=office*"
[[door.rules]]
tenant = "office"
header = "x-from=office"
[[door.rules]]
tenant = "members"
front = "postgres"
user = "cli*"
address = "127.0.0.0/8"
`

// start starts a pooler with admission control.
func start(t *testing.T, options ...testbed.Option) *testbed.Bed {
	t.Helper()
	return testbed.Start(t, append(options, testbed.WithTables(tables))...)
}

// figure returns a figure of the telemetry, 0 if it is missing.
func figure(bed *testbed.Bed, name string) int {
	bed.T.Helper()
	code, text := bed.Call("GET", "/api/telemetry")
	require.Equal(bed.T, http.StatusOK, code)
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, "app.door."+name+"="); ok {
			number, err := strconv.Atoi(value)
			require.NoError(bed.T, err)
			return number
		}
	}
	return 0
}

// awaitFigure waits until a figure of the telemetry has the given value.
func awaitFigure(bed *testbed.Bed, name string, value int) {
	bed.T.Helper()
	bed.Eventually(func() bool { return figure(bed, name) == value }, fmt.Sprintf("%s is %d", name, value))
}

// requireServed requires that the next reply to each client is a complete answer.
func requireServed(t *testing.T, clients []*testbed.Client) {
	t.Helper()
	for _, client := range clients {
		require.True(t, client.Next().Complete)
	}
}

// officeReport returns a report of the tenant "office". The databases answer it after ReleaseDatabases.
func officeReport(bed *testbed.Bed) []byte {
	sql := bed.Statement("report", "hold", 20*time.Second)
	return pg.AppendQuery(nil, strings.Replace(sql, "cluster=3", "cluster=3,from=office-riga", 1))
}

// memberReport returns a report of the tenant "members". The databases answer it after ReleaseDatabases.
func memberReport(bed *testbed.Bed) []byte {
	return pg.AppendQuery(nil, bed.Statement("report", "hold", 20*time.Second))
}

// fill uses the whole concurrency limit with reports of the office, and queues the given number of further ones.
func fill(bed *testbed.Bed, queued int) (clients []*testbed.Client) {
	bed.T.Helper()
	for range initialLimit + queued {
		client := bed.Client()
		client.Send(officeReport(bed))
		clients = append(clients, client)
	}
	awaitFigure(bed, "queued", queued)
	return clients
}

// startFlightReport sends a report of the office over Flight SQL. The channel receives the error of the answer, or nil.
func startFlightReport(bed *testbed.Bed) <-chan error {
	bed.T.Helper()
	request := flightclient.Request{Class: "report", ID: "f1", Wait: 20 * time.Second}
	ctx := metadata.AppendToOutgoingContext(request.Context(), "x-from", "office")
	return flightclient.New(bed).StartQuery(ctx, "SELECT 'by flight'")
}

// Both frontends assign requests to tenants by comment, header, user and address. Waiting requests are admitted when
// there is capacity, and each gets one answer. Writes do not wait behind reports.
func TestBothFrontendsQueueByTenant(t *testing.T) {
	bed := start(t, testbed.WithFlight)
	clients := fill(bed, 2)
	member := bed.Client()
	member.Send(memberReport(bed))
	awaitFigure(bed, "tenants.members.queued", 1)
	awaitFigure(bed, "tenants.office.inside", initialLimit)
	write := bed.Client().Ask(bed.Statement("write", "a", 5*time.Second))
	require.True(t, write.Complete, "the primary's queue is free")

	answer := startFlightReport(bed)
	awaitFigure(bed, "tenants.office.queued", 3)
	bed.ReleaseDatabases()
	requireServed(t, append(clients, member))
	require.NoError(t, <-answer)
	awaitFigure(bed, "queued", 0)
	require.Equal(t, initialLimit+5, figure(bed, "offered"))
	require.Equal(t, initialLimit+5, figure(bed, "admitted"))
	bed.Counters(func(counters testbed.Counters) bool {
		fronts := counters.Core.Fronts
		return fronts["postgres"].Served == initialLimit+4 && fronts["flight"].Served == 1
	})
}

// A client that disconnects while its request waits frees its place, and the request reaches no database.
func TestDisconnectWhileQueuedSendsNothing(t *testing.T) {
	bed := start(t)
	clients := fill(bed, 3)
	for _, client := range clients[initialLimit:] {
		require.NoError(t, client.Close())
	}
	awaitFigure(bed, "left", 3)
	awaitFigure(bed, "queued", 0)
	bed.ReleaseDatabases()
	requireServed(t, clients[:initialLimit])
	require.Equal(t, initialLimit, bed.StatementCount())
}

// A request that cannot be admitted in time is rejected on arrival. The field D of the error has a Retry-After time
// within the platform's bound.
func TestRejectsLateRequestOnArrival(t *testing.T) {
	bed := start(t)
	fill(bed, 1)
	rejected := 0
	for range 200 {
		sql := bed.Statement("report", "hold", 20*time.Second)
		sql = strings.Replace(sql, "cluster=3", "cluster=3,from=office", 1)
		client := bed.Client()
		client.Send(pg.AppendQuery(nil, sql))
		bed.Eventually(func() bool {
			waiting, late := figure(bed, "queued"), figure(bed, "refused.late")
			return waiting+late+figure(bed, "admitted")+figure(bed, "left") == figure(bed, "offered")
		}, "the request waits, or has been admitted or rejected")
		if figure(bed, "refused.late") > 0 {
			reply := client.Next()
			require.Equal(t, pg.CodeTooManyConnections, reply.Code)
			retryAfterMS, err := strconv.Atoi(reply.Detail)
			require.NoError(t, err)
			require.Positive(t, retryAfterMS, reply.Detail)
			require.LessOrEqual(t, retryAfterMS, 2000, reply.Detail)
			rejected++
			break
		}
	}
	require.Equal(t, 1, rejected)
}

// New weights apply and the queue stays. An invalid table is rejected and changes nothing. If a class is removed, each
// of its waiting requests gets one answer, a rejection.
func TestReloadKeepsQueueExceptRemovedClass(t *testing.T) {
	bed := start(t)
	clients := fill(bed, 3)
	good := bed.Tables
	for key, bad := range map[string]string{
		"door.tenants[1].weight": strings.Replace(good, "weight = 4.0", "weight = -1.0", 1),
		"door.rules[0].tenant":   strings.Replace(good, `tenant = "office"`, `tenant = "nobody"`, 1),
		"unknown key door.odd":   strings.Replace(good, "[door]", "[door]\nodd = 1", 1),
	} {
		bed.Tables = bad
		bed.Reload()
		bed.Eventually(func() bool { return strings.Contains(bed.Line("reload: rejected"), key) }, key)
		bed.ClearLog()
	}
	bed.Tables = strings.Replace(good, "weight = 4.0", "weight = 2.0", 1)
	bed.Reload()
	bed.Counters(func(counters testbed.Counters) bool {
		return counters.Core.Reloads == 1 && counters.Core.ReloadErrors == 3
	})
	require.Equal(t, 3, figure(bed, "queued"))

	bed.Settings = strings.Replace(bed.Settings, `"name":"report"`, `"name":"renamed"`, 1)
	bed.Reload()
	awaitFigure(bed, "refused.class_gone", 3)
	for _, client := range clients[initialLimit:] {
		require.Equal(t, pg.CodeTooManyConnections, client.Next().Code)
	}
	bed.ReleaseDatabases()
	requireServed(t, clients[:initialLimit]) // requests in flight are not affected
}

// After SIGTERM each waiting request gets one answer, a rejection, if there is no capacity before the process ends.
func TestShutdownRejectsQueuedRequests(t *testing.T) {
	bed := start(t)
	clients := fill(bed, 3)
	bed.Signal(syscall.SIGTERM)
	for _, client := range clients[initialLimit:] {
		require.Equal(t, pg.CodeTooManyConnections, client.Next().Code)
	}
	for _, client := range clients[:initialLimit] {
		require.NotContains(t, []string{"", pg.CodeTooManyConnections}, client.Next().Code, "it may have run")
	}
	require.NoError(t, bed.Wait())
}
