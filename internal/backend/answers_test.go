package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// A malformed answer fails its attempt. The attempt may have run and is not retried, and the database stays in use.
// Extra bytes after a complete answer are not taken for the answer to the next statement. In both cases the connection
// is not reused.
func TestMalformedAnswerIsNotRetriedAndClosesConnection(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	for _, key := range []string{"noise", "oversize", "misfit", "headless", "rowless"} {
		t.Run(key, func(t *testing.T) {
			before := len(bed.Databases[0].Statements())
			reply := client.Ask(bed.Statement("write", key, testbed.AnswerTimeout))
			require.Equal(t, pg.CodeSystemError, reply.Code)
			require.Len(t, bed.Databases[0].Statements(), before+1)
			next := client.Ask(bed.Statement("write", "a", 5*time.Second))
			require.Equal(t, "from db-0", string(next.Value))
		})
	}
	for _, key := range []string{"twice", "trailing"} {
		t.Run(key, func(t *testing.T) {
			for range 20 {
				commands := testbed.Query(bed.Statement("write", key, testbed.AnswerTimeout))
				client.Send(pg.AppendQuery(commands, bed.Statement("write", "a", testbed.AnswerTimeout)))
				require.Equal(t, "from db-0", string(client.Next().Value))
				require.Equal(t, "from db-0", string(client.Next().Value))
			}
		})
	}
}

// A load report in an answer that shows a long queue lowers the estimated capacity of the database. Invalid reports
// change nothing.
func TestLoadReportInAnswerLowersCapacity(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	for _, report := range []string{"backlog=", "backlog=NaN", "=,,backlog", "util=1,x0=a"} {
		bed.Databases[0].SetLoadReport(report)
		reply := client.Ask(bed.Statement("write", report[:1], testbed.AnswerTimeout))
		require.True(t, reply.Complete, report)
	}
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Size == 1 })
	bed.Databases[0].SetLoadReport("x0=1.5,x1=1,backlog=40")
	for range 10 {
		require.True(t, client.Ask(bed.Statement("write", "a", testbed.AnswerTimeout)).Complete)
	}
	bed.Counters(func(counters testbed.Counters) bool {
		return counters.Core.Size < 0.97 && counters.Core.Size > 0.9
	})
}
