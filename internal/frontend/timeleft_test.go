package frontend_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// The time that a command waits unread behind a full pipeline is subtracted from the time left that is sent to its
// database.
func TestTimeLeftExcludesWaitBehindFullPipeline(t *testing.T) {
	const spent, wait = 300 * time.Millisecond, 10 * testbed.Timeout
	bed := testbed.Start(t)
	client := bed.Client()
	commands := testbed.Query(bed.Statement("write", "hold", wait))
	for range pipelineLimit - 1 {
		commands = pg.AppendQuery(commands, bed.Statement("report", "a", wait))
	}
	// All commands are sent in one write, so that the last arrives with the first.
	client.Send(pg.AppendQuery(commands, bed.Statement("write", "unread", wait)))
	bed.Counters(func(counters testbed.Counters) bool {
		return counters.Core.Fronts[postgresFront].Taken == pipelineLimit
	})
	testbed.Pass(spent)
	bed.Databases[0].Release()
	for range pipelineLimit + 1 {
		require.NotEmpty(t, client.Next().Value)
	}
	got := bed.Databases[0].Statements()
	last := got[len(got)-1]
	require.Contains(t, last, "unread")
	require.LessOrEqual(t, timeLeftOf(t, last), wait-spent)
}

// The time that a request waits in the kernel, while the program is paused or cannot accept its connection, is
// subtracted from the time left that is sent to its database.
func TestTimeLeftExcludesWaitInKernel(t *testing.T) {
	const wait, spent, slack = 10 * testbed.Timeout, time.Second, 150 * time.Millisecond
	for name, test := range map[string]struct {
		block func(bed *testbed.Bed) (resume func()) // keeps the program from reading the request
		isNew bool                                   // the request is sent on a new connection
	}{
		"paused, on an open connection":           {block: (*testbed.Bed).Pause},
		"paused, on a new connection":             {block: (*testbed.Bed).Pause, isNew: true},
		"out of descriptors, on a new connection": {block: withoutDescriptors, isNew: true},
	} {
		t.Run(name, func(t *testing.T) {
			bed := testbed.Start(t)
			require.True(t, bed.Client().Ask(bed.Statement("write", "a", wait)).Complete)
			for round := range 3 {
				key := fmt.Sprintf("round%d", round)
				sql := bed.Statement("write", key, wait)
				message := testbed.Query(sql)
				client := bed.Client()
				resume := test.block(bed)
				if test.isNew {
					client.Conn = bed.Dial()
					message = testbed.StartupAndQuery(sql)
				}
				client.Send(message)
				testbed.Pass(spent)
				resume()
				bed.Eventually(func() bool { return bed.Sent(key) == 1 }, "the statement has been sent")
				require.LessOrEqual(t, timeLeftOf(t, statementWith(bed, key)), wait-spent+slack)
				require.NoError(t, client.Close())
			}
		})
	}
}

// withoutDescriptors prevents the program from opening descriptors until resume is called. New connections wait in the
// kernel until then.
func withoutDescriptors(bed *testbed.Bed) (resume func()) {
	bed.T.Helper()
	var before unix.Rlimit
	limit := func(now, old *unix.Rlimit) {
		require.NoError(bed.T, unix.Prlimit(bed.Process().Pid, unix.RLIMIT_NOFILE, now, old))
	}
	limit(nil, &before)
	limit(&unix.Rlimit{Cur: standardStreams, Max: before.Max}, nil)
	return func() { limit(&before, nil) }
}

// standardStreams is the number of descriptors of the standard streams, which every process has.
const standardStreams = 3

// statementWith returns the first statement that reached a database and contains a text.
func statementWith(bed *testbed.Bed, text string) string {
	bed.T.Helper()
	for _, database := range bed.Databases {
		for _, sql := range database.Statements() {
			if strings.Contains(sql, text) {
				return sql
			}
		}
	}
	require.FailNow(bed.T, "the statement has not been sent")
	return ""
}

// timeLeftOf returns the time left that a statement announces to its database in its parameter d.
func timeLeftOf(t *testing.T, sql string) time.Duration {
	t.Helper()
	_, rest, _ := strings.Cut(sql, ",d=")
	milliseconds, err := strconv.Atoi(strings.Split(rest, ",")[0])
	require.NoError(t, err)
	return time.Duration(milliseconds) * time.Millisecond
}
