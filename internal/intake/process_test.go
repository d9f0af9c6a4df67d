package intake_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/flightclient"
)

const enforce = "[statements]\nmode = \"enforce\"\nwriters = [\"app.note\"]\n"

var (
	ids   int
	idsMu sync.Mutex
)

// labelled returns a statement with a label of the class and a new id.
func labelled(class, sql string) string {
	idsMu.Lock()
	defer idsMu.Unlock()
	ids++
	return fmt.Sprintf("%s /* id=s%d,c=%s,d=5000,cluster=3 */", sql, ids, class)
}

// statementReport is the part of the operators' view of statements that the tests check.
type statementReport struct {
	Read, MayWrite, OnlyRead, Forged, ToPrimary, ToReplicas int
	ByCalls, ByDisagreement                                 []struct {
		Text, Why string
		Calls     int
	}
}

// reportOf returns the report of the testbed's pooler.
func reportOf(bed *testbed.Bed) (report statementReport) {
	code, text := bed.Call("GET", "/api/statements")
	require.Equal(bed.T, http.StatusOK, code)
	require.NoError(bed.T, json.Unmarshal([]byte(text), &report))
	return report
}

// A statement that is labelled as a read but may write goes to the primary only, and is not retried once it may have
// run. A statement that certainly only reads is routed by its label and retried.
func TestMislabelledReadRunsOnceAtThePrimary(t *testing.T) {
	bed := testbed.Start(t, testbed.WithTables(enforce))
	client := bed.Client()
	for _, sql := range []string{
		"SELECT nextval('s')", "SELECT pg_catalog.nextval('s') FROM t",
		"WITH d AS (DELETE FROM t RETURNING a) SELECT a FROM d",
		"SELECT a FROM t FOR UPDATE", "SELECT app.note(1)", "SELECT unlisted(1)", `SELECT "nextval"('s')`,
	} {
		for _, class := range []string{"read", "report"} {
			answer := client.Ask(labelled(class, sql))
			require.Equal(t, "from db-0", string(answer.Value), "%s: %s %s", sql, answer.Code, answer.Message)
		}
	}
	require.Empty(t, bed.Databases[1].Statements())
	before := len(bed.Databases[0].Statements())
	answer := client.Ask(labelled("report", "SELECT nextval('cut')"))
	require.NotContains(t, []string{"", pg.CodeTooManyConnections}, answer.Code, "it may have run")
	require.Equal(t, before+1, len(bed.Databases[0].Statements()), "sent once")
	bed.Eventually(func() bool {
		return client.Ask(labelled("read", "SELECT nextval('s')")).Complete
	}, "the primary is available again")
	client.Ask(labelled("report", "SELECT lower('cut')"))
	require.Greater(t, bed.StatementCount(), before+3, "a plain read is retried")
	bed.Eventually(func() bool {
		return client.Ask(labelled("write", "SELECT 1")).Complete
	}, "a labelled write is routed as a write")

	got := reportOf(bed)
	require.GreaterOrEqual(t, got.ToPrimary, 15)
	require.Equal(t, got.MayWrite, got.ToPrimary)
	require.Positive(t, got.OnlyRead)
	require.Zero(t, got.ToReplicas)
	require.NotEmpty(t, got.ByDisagreement)
	for _, s := range got.ByCalls {
		require.NotContains(t, s.Text, "'s'", "values are not reported")
	}
	require.Contains(t, bed.Line("statements: label does not match"), `"enforced":true`)
}

// A label inside a string or another comment is rejected. A second label before the last one is allowed.
func TestForgedLabelIsRejected(t *testing.T) {
	bed := testbed.Start(t, testbed.WithTables(enforce))
	client := bed.Client()
	for _, sql := range []string{
		"SELECT nextval('s') -- /* id=f1,c=read,d=500,cluster=3 */",
		"INSERT INTO t VALUES ('/* id=f2,c=read,d=500,cluster=3 */",
		"SELECT 1 /* /* id=f3,c=read,d=500,cluster=3 */",
	} {
		require.Equal(t, pg.CodeSyntax, client.Ask(sql).Code, sql)
	}
	require.Equal(t, 3, reportOf(bed).Forged)
	labelledTwice := labelled("read", "SELECT nextval('s') /* id=a,c=write,d=500,cluster=3 */")
	require.Equal(t, "from db-0", string(client.Ask(labelledTwice).Value))
	require.Empty(t, bed.Databases[1].Statements())
}

// Mode observe counts statements and does not change their routes. A reload changes the mode or turns the analysis off,
// and an invalid table is rejected.
func TestReloadChangesTheMode(t *testing.T) {
	bed := testbed.Start(t, testbed.WithTables("[statements]\nmode = \"observe\"\n"))
	client := bed.Client()
	goesToReplica := func() bool {
		for range 20 {
			if string(client.Ask(labelled("report", "SELECT unlisted(1)")).Value) == "from db-1" {
				return true
			}
		}
		return false
	}
	require.True(t, goesToReplica())
	got := reportOf(bed)
	require.Positive(t, got.MayWrite)
	require.Zero(t, got.ToPrimary)
	observe := bed.Tables
	reload := func(tables string, reloads, errors int) {
		bed.Tables = tables
		bed.Reload()
		bed.Counters(func(counters testbed.Counters) bool {
			return counters.Core.Reloads == reloads && counters.Core.ReloadErrors == errors
		})
	}
	reload(strings.Replace(observe, "observe", "odd", 1), 0, 1)
	require.True(t, goesToReplica())
	reload(strings.Replace(observe, `mode = "observe"`, "mode = \"enforce\"\nwrites = \"read\"", 1), 1, 1)
	require.False(t, goesToReplica())
	require.True(t, client.Ask(labelled("write", "SELECT 1")).Complete)
	require.Equal(t, 1, reportOf(bed).ToReplicas)
	reload(strings.Replace(observe, "observe", "off", 1), 2, 1)
	require.True(t, goesToReplica())
	code, _ := bed.Call("GET", "/api/statements")
	require.Equal(t, http.StatusNotFound, code)
}

// Statements over Arrow Flight are analysed as well, and an update is a write whatever its class.
func TestFlightStatementsAreAnalysed(t *testing.T) {
	bed := testbed.Start(t, testbed.WithFlight, testbed.WithTables(enforce))
	client := flightclient.New(bed)
	for i := range 6 {
		request := flightclient.Request{Class: "report", ID: fmt.Sprint("f", i), Wait: 5 * time.Second}
		if i%2 == 0 {
			require.NoError(t, client.Update(request.Context(), "SELECT 'by flight'"))
			continue
		}
		_, err := client.Query(request.Context(), "SELECT nextval('s')")
		require.NoError(t, err)
	}
	require.Empty(t, bed.Databases[1].Statements())
	require.Equal(t, 6, reportOf(bed).ToPrimary)
}

// The group fails over while clients send a thousand different statements, a fifth of them mislabelled writes. Every
// write runs at a primary, and none runs twice.
func TestWritesRunOnceDuringFailover(t *testing.T) {
	bed := testbed.Start(t, testbed.WithTables(enforce))
	var wait sync.WaitGroup
	answered := make([]map[string]bool, 8)
	for i := range answered {
		answered[i] = map[string]bool{}
		client := bed.Client()
		wait.Go(func() {
			for n := range 250 {
				sql := fmt.Sprintf("SELECT a%d FROM t", (i*250+n)%1000)
				if n%5 == 0 {
					sql = fmt.Sprintf("SELECT nextval('s'), b%d", (i*250+n)%1000)
				}
				sql = labelled("report", sql)
				client.Send(pg.AppendQuery(nil, sql))
				if answer := client.Next(); n%5 == 0 && answer.Complete {
					id, _, _ := strings.Cut(sql[strings.Index(sql, "id=")+3:], ",")
					answered[i][id] = true
				}
			}
		})
	}
	bed.Eventually(func() bool { return len(bed.Databases[0].Executions()) > 80 }, "some writes have run")
	require.Zero(t, bed.Databases[1].Misrouted(), "the replica has received no write")
	bed.Databases[1].Lead(true)
	bed.Databases[0].Lead(false)
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(testbed.Timeout * 2):
		require.Fail(t, "not all requests were answered")
	}
	ran := bed.Databases[0].Executions()
	for id, n := range bed.Databases[1].Executions() {
		ran[id] += n
	}
	total := 0
	for id, n := range ran {
		require.Equal(t, 1, n, id)
	}
	for _, a := range answered {
		for id := range a {
			require.Equal(t, 1, ran[id], id)
			total++
		}
	}
	require.Positive(t, total)
	require.NotEmpty(t, bed.Databases[1].Executions(), "the new primary executes writes")
	require.Equal(t, 2000, reportOf(bed).Read)
}
