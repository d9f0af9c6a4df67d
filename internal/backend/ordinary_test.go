package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// Guards against requests that are lost behind an answer of ordinary length that breaks off: a value of 64 KiB is
// buffered until it is complete, so the read fails with an error, and the writes that the client sent behind it are
// answered.
func TestWritesBehindBrokenOrdinaryValueAreAnswered(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	commands := testbed.Query(bed.Statement("report", "snapped", testbed.AnswerTimeout))
	for range 3 {
		commands = pg.AppendQuery(commands, bed.Statement("write", "a", testbed.Timeout))
	}
	client.Send(commands)
	require.NotEmpty(t, client.Next().Code, "the read fails")
	for range 3 {
		require.Equal(t, "from db-0", string(client.Next().Value))
	}
}

// Guards against a read that is answered long after its deadline because its answer of ordinary length never ends: it
// fails at the deadline, and its connection stays open.
func TestUnfinishedOrdinaryValueFailsAtDeadline(t *testing.T) {
	const lateLimit = 5 * time.Second // on a busy machine; a streamed answer would end after 10 s
	bed := testbed.Start(t)
	client := bed.Client()
	begun := time.Now()
	reply := client.Ask(bed.Statement("report", "stalled", testbed.AnswerTimeout))
	require.NotEmpty(t, reply.Code, "the read fails")
	require.Less(t, time.Since(begun), testbed.AnswerTimeout+lateLimit)
	require.NotEmpty(t, client.Ask(bed.Statement("report", "a", testbed.Timeout)).Value)
}
