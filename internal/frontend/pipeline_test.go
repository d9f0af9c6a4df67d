package frontend_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// Answers are sent in the order of the commands, even if a later answer is ready first.
func TestAnswersKeepCommandOrder(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	// A request may wait for half of its time before it is sent.
	commands := testbed.Query(bed.Statement("write", "hang", 3*time.Second))
	commands = pg.AppendQuery(commands, "")
	commands = pg.AppendQuery(commands, bed.Statement("report", "a", testbed.Timeout))
	client.Send(commands)
	require.Equal(t, pg.CodeQueryCanceled, client.Next().Code)
	require.Equal(t, pg.Reply{Complete: true}, client.Next())
	require.NotEmpty(t, client.Next().Value)
}

// A command behind a full pipeline is read when there is room again, although the client sends no more bytes. In this
// test one answer delays all others, which are then written together.
func TestCommandBeyondPipelineLimitIsServed(t *testing.T) {
	const wait = 10 * testbed.Timeout
	bed := testbed.Start(t)
	client := bed.Client()
	commands := testbed.Query(bed.Statement("write", "hold", wait))
	for range pipelineLimit {
		commands = pg.AppendQuery(commands, bed.Statement("report", "a", wait))
	}
	client.Send(commands)
	bed.Counters(func(counters testbed.Counters) bool {
		answers := counters.Core.Fronts[postgresFront]
		return answers.Taken == pipelineLimit && answers.Served == pipelineLimit-1
	})
	bed.Databases[0].Release()
	for range 1 + pipelineLimit {
		require.NotEmpty(t, client.Next().Value)
	}
}

// A client sends far more commands than the pipeline has room for, and closes its connection. The commands that were
// read are cancelled, and the rest are not forwarded.
func TestUnreadCommandsOfClosedClientAreDropped(t *testing.T) {
	const many = 2000
	bed := testbed.Start(t)
	client := bed.Client()
	var commands []byte
	for range many {
		commands = pg.AppendQuery(commands, bed.Statement("write", "hold", testbed.Timeout))
	}
	client.Send(commands)
	require.NoError(t, client.Close())
	bed.Counters(func(counters testbed.Counters) bool {
		answers := counters.Core.Fronts[postgresFront]
		return answers.Gone > 0 && answers.Gone == answers.Taken
	})
	bed.Databases[0].Release()
	for range 3 {
		require.NotEmpty(t, bed.Client().Ask(bed.Statement("write", "other", testbed.Timeout)).Value)
	}
	require.LessOrEqual(t, strings.Count(strings.Join(bed.Databases[0].Statements(), "\n"), "hold"), pipelineLimit)
}
