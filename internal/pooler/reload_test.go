package pooler_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// reload has the program read its configuration with these settings again.
func reload(bed *testbed.Bed, settings string) {
	bed.T.Helper()
	bed.Settings = settings
	bed.Reload()
}

// servedBy tells which database serves a report with a key.
func servedBy(bed *testbed.Bed, client *testbed.Client, key string) string {
	bed.T.Helper()
	return string(client.Ask(bed.Statement("report", key, testbed.AnswerTimeout)).Value)
}

// SIGHUP moves to the discovery that the file names, whose versions begin anew; a bad file changes nothing.
func TestReload(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	client.Send(testbed.Query(bed.Statement("write", "hang", testbed.AnswerTimeout)))
	bed.Eventually(func() bool { return len(bed.Databases[0].Statements()) == 1 }, "the write is out")
	bed.Known = bed.Known[:1]
	bed.MoveDiscovery(0)
	bed.Configure("{")
	bed.Signal(syscall.SIGHUP)
	bed.AwaitLine("reload: rejected", "a bad file is logged")
	bed.Reload()
	require.Equal(t, pg.CodeQueryCanceled, client.Next().Code, "the write was not touched")
	bed.Eventually(func() bool {
		for key := range 8 {
			if servedBy(bed, client, fmt.Sprint(key)) != "from db-0" {
				return false
			}
		}
		return true
	}, "the new discovery's list counts")
	bed.List(bed.Entry(1, "SERVING"))
	bed.Eventually(func() bool {
		return servedBy(bed, client, fmt.Sprint(len(bed.Databases[0].Statements()))) == "from db-1"
	}, "and so do its changes")
}

// SIGHUP brings another class and other rules: they bind at once, and an open request keeps its class.
func TestReloadOfSettings(t *testing.T) {
	bed := testbed.Start(t)
	client, late := bed.Client(), bed.Client()
	late.Send(testbed.Query(bed.Statement("write", "hang", 2*time.Second)))
	bed.Eventually(func() bool { return len(bed.Databases[0].Statements()) == 1 }, "the write is out")
	ask := func(class, key string) pg.Reply {
		t.Helper()
		return client.Ask(bed.Statement(class, key, testbed.AnswerTimeout))
	}
	require.Equal(t, pg.CodeBadValue, ask("bulk", "a").Code)
	changed := strings.NewReplacer(`"name":"report"`, `"name":"bulk"`, `"sendCap":10`, `"sendCap":1`)
	reload(bed, changed.Replace(testbed.Settings))
	bed.Eventually(func() bool { return ask("bulk", "a").Complete }, "the new class")
	require.Equal(t, pg.CodeBadValue, ask("report", "a").Code)
	before := bed.StatementCount()
	require.Equal(t, pg.CodeTooManyConnections, ask("bulk", "fail").Code)
	got := append(bed.Databases[0].Statements(), bed.Databases[1].Statements()...)
	require.Len(t, got, before+1, "one attempt and no more")
	require.Equal(t, pg.CodeQueryCanceled, late.Next().Code)
	// A file that lacks something, or has a wrong value, is rejected whole.
	for i, change := range [][2]string{
		{`"deadlineMs":1200`, `"deadlineMs":0`},
		{`"deadlineMs":1200`, `"deadlineMs":"x"`},
		{`"deadlineMs":1200,`, ``},
		{`"aimMs":300,`, ``},
		{`"sendCap":10`, `"sendCap":-1`},
		{`"sendCap":10`, `"sendCap":null`},
		{`"connectTimeoutMs":250,`, ``},
		{`"fallMs":2000,`, ``},
	} {
		reload(bed, strings.Replace(testbed.Settings, change[0], change[1], 1))
		bed.Counters(func(counters testbed.Counters) bool {
			return counters.Core.ReloadErrors == i+1 && counters.Core.Reloads == 1
		})
	}
	require.True(t, ask("bulk", "a").Complete)
}

// Guards against a reload that is rejected as the running configuration has an optional key that the new one lacks.
func TestReloadWithoutOptionalKey(t *testing.T) {
	withKey := strings.Replace(testbed.Settings, `"drainGraceMs"`, `"drainBindsAlone":true,"drainGraceMs"`, 1)
	bed := testbed.Start(t, func(bed *testbed.Bed) { bed.Settings = withKey })
	reload(bed, testbed.Settings)
	counters := bed.Counters(func(counters testbed.Counters) bool {
		return counters.Core.Reloads+counters.Core.ReloadErrors == 1
	})
	require.Equal(t, 1, counters.Core.Reloads)
}

// A configuration that cannot be read to its end holds up a reload, and not the shutdown, however many signals wait
// before SIGTERM.
func TestShutdownDuringAReload(t *testing.T) {
	bed := testbed.Start(t)
	bed.ConfigurePipe()
	for range 50 {
		bed.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond) // so that the system does not make one of them all
	}
	bed.Signal(syscall.SIGTERM)
	require.NoError(t, bed.Wait())
}

// New settings that come after SIGTERM do not change when the program ends: here what is open has a minute, and not the
// two seconds that the new settings would leave it.
func TestReloadDuringAShutdown(t *testing.T) {
	program := testbed.Variant(t, testbed.Edit{
		File: "internal/limits/constants.go",
		Old:  "longestDrain = 3 * time.Second",
		New:  "longestDrain = time.Hour",
	})
	long := func(bed *testbed.Bed) {
		bed.Settings = strings.Replace(bed.Settings, `"deadlineMs":10000`, `"deadlineMs":600000`, 1)
	}
	bed := testbed.Start(t, testbed.WithProgram(program), long)
	client, waiting := bed.Client(), bed.Client()
	waiting.Send(testbed.Query(bed.Statement("report", "hold", 10*testbed.Timeout)))
	bed.Eventually(func() bool { return bed.StatementCount() == 1 }, "the report is out")
	bed.Signal(syscall.SIGTERM)
	bed.AwaitLine("stopping", "it has the signal")
	reload(bed, strings.NewReplacer(`"deadlineMs":600000`, `"deadlineMs":600`, `"aimMs":5000`, `"aimMs":500`,
		`"deadlineMs":3000`, `"deadlineMs":1000`).Replace(bed.Settings))
	bed.AwaitLine("reload: done", "it has the new settings")
	for _, database := range bed.Databases {
		database.Cores(1)
	}
	for range 125 { // the databases' own work: 2.5 s of it
		require.True(t, client.Ask(bed.Statement("write", "takes20", testbed.Timeout)).Complete)
	}
	bed.ReleaseDatabases()
	require.NotEmpty(t, waiting.Next().Value)
}

// Guards against a process that follows a discovery which is gone, without a word: the configuration that names the new
// one was rejected. The log and the telemetry say so until one is applied.
func TestDiscoveryIsGoneWhileConfigurationIsRejected(t *testing.T) {
	bed := testbed.Start(t)
	age := func() string {
		_, figures := bed.Call(http.MethodGet, "/api/telemetry")
		return regexp.MustCompile(`app\.config_rejected_age_ms=(\d+)\n`).FindStringSubmatch(figures)[1]
	}
	require.Equal(t, "0", age())
	reload(bed, strings.Replace(testbed.Settings, `"sendCap":10`, `"sendCap":-1`, 1))
	bed.Eventually(func() bool { return age() != "0" }, "the age is shown")
	bed.MoveDiscovery(1)
	bed.AwaitLine("discovery: unreachable while a newer configuration is rejected", "the log tells the cause")
	reload(bed, testbed.Settings)
	bed.Eventually(func() bool { return age() == "0" }, "the newest configuration is running")
}
