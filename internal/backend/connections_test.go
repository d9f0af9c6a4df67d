package backend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// A healthy idle connection is reused. An idle connection that the database has closed carries no write.
func TestIdleConnectionIsReusedUnlessClosed(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	for range 20 {
		require.True(t, client.Ask(bed.Statement("write", "a", testbed.AnswerTimeout)).Complete)
	}
	require.Less(t, bed.Databases[0].Connections(), 5)
	bed.Databases[0].Cut()
	require.True(t, client.Ask(bed.Statement("write", "b", testbed.AnswerTimeout)).Complete)
}

// Timeouts detect a database that is frozen and closes no connection: each client gets an answer in time. The database
// is used again when it responds again.
func TestFrozenDatabaseTimesOutAndRecovers(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	require.True(t, client.Ask(bed.Statement("write", "a", testbed.AnswerTimeout)).Complete)
	bed.Databases[0].Freeze(true)
	reply := client.Ask(bed.Statement("write", "b", testbed.AnswerTimeout))
	require.Equal(t, pg.CodeQueryCanceled, reply.Code, "it may have run")
	for range 4 {
		require.NotEmpty(t, client.Ask(bed.Statement("write", "c", testbed.AnswerTimeout/2)).Code)
	}
	bed.Databases[0].Freeze(false)
	bed.Eventually(func() bool {
		return client.Ask(bed.Statement("write", "d", testbed.AnswerTimeout)).Complete
	}, "the database is used again")
}

// An address that refuses connections because no process listens there is counted separately from one that does not
// answer.
func TestRefusedConnectionCountsAsNoProcess(t *testing.T) {
	bed := testbed.Start(t)
	for i := range bed.Databases {
		gone := bed.Entry(i, "SERVING")
		gone.Addr = testbed.ReserveAddress(t)
		bed.List(gone)
	}
	client := bed.Client()
	report := func() pg.Reply { return client.Ask(bed.Statement("report", "a", testbed.AnswerTimeout/2)) }
	bed.Eventually(func() bool { return report().Code == pg.CodeTooManyConnections }, "the new list is in use")
	bed.Counters(func(counters testbed.Counters) bool { // on a busy machine a dial may time out before it is refused
		report()
		return counters.Core.NoProcess > 0
	})
}
