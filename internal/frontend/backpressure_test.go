package frontend_test

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// Numbers of commands that eager clients send, and the length of each in bytes. All of manyCommands are far more than
// the program and the kernel together hold. Those of fewCommands just make the program pause, and the kernel holds the
// rest.
const (
	manyCommands = 200
	fewCommands  = 29
	commandBytes = 100 << 10
)

// eagerClient sends commands without waiting for answers.
type eagerClient struct {
	*testbed.Client
	sent chan error // receives the result when all commands have been sent
}

// newEagerClient starts a client that sends a number of commands, of which the primary holds the first. Further
// statements may follow the first one. It returns when the program has paused the client.
func newEagerClient(bed *testbed.Bed, count int, second ...string) *eagerClient {
	bed.T.Helper()
	client := &eagerClient{Client: bed.Client(), sent: make(chan error, 1)}
	paused := bed.Counters(func(testbed.Counters) bool { return true }).Front.Paused
	client.Send(testbed.Query(bed.Statement("write", "hold", 4*testbed.Timeout)))
	for _, statement := range second {
		client.Send(testbed.Query(statement))
	}
	commands := make([][]byte, count-1)
	for i := range commands {
		key := strings.Repeat("x", commandBytes)
		commands[i] = testbed.Query(bed.Statement("write", key, 4*testbed.Timeout))
	}
	go func() {
		for _, command := range commands {
			if _, err := client.Write(command); err != nil {
				client.sent <- err
				return
			}
		}
		client.sent <- nil
	}()
	bed.Counters(func(counters testbed.Counters) bool { return counters.Front.Paused > paused })
	return client
}

// Guards against requests that are lost because their client sends too far ahead: the client is slowed down, not
// closed. The program reads no more of it, other clients are served, and later each command is answered in order.
func TestClientThatSendsAheadIsSlowedDown(t *testing.T) {
	bed := testbed.Start(t)
	client := newEagerClient(bed, manyCommands)
	memory := bed.Memory()
	for range 3 {
		require.True(t, bed.Client().Ask(bed.Statement("report", "other", testbed.Timeout)).Complete)
	}
	require.Empty(t, client.sent, "the client cannot send on")
	require.Less(t, bed.Memory(), memory+manyCommands*commandBytes/4, "the program reads no more of it")
	bed.Databases[0].Release()
	for range manyCommands {
		require.Equal(t, "from db-0", string(client.Next().Value))
	}
	require.NoError(t, <-client.sent)
	require.True(t, client.Ask(bed.Statement("write", "after", testbed.Timeout)).Complete)
	require.Empty(t, bed.Line("frontend: bad input"))
}

// Guards against a long answer that never goes on, since its client is not read meanwhile: each piece is requested and
// written all the same, and what the client sent behind it is answered.
func TestLongAnswerOfPausedClientGoesOn(t *testing.T) {
	bed := testbed.Start(t)
	client := newEagerClient(bed, fewCommands, bed.Statement("report", "long", 4*testbed.Timeout))
	bed.Databases[0].Release()
	require.Equal(t, "from db-0", string(client.Next().Value))
	require.True(t, testbed.Long == string(client.Next().Value), "the long answer")
	for range fewCommands - 1 {
		require.Equal(t, "from db-0", string(client.Next().Value))
	}
	require.NoError(t, <-client.sent)
}

// A client that is not read closes its connection: its requests are cancelled, and none of what it has sent is
// forwarded any more.
func TestDepartureOfPausedClientIsNoticed(t *testing.T) {
	bed := testbed.Start(t)
	client := newEagerClient(bed, fewCommands)
	require.NoError(t, <-client.sent)
	others := testbed.Answers{Taken: pipelineLimit, Served: pipelineLimit - 1}
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront] == others })
	require.NoError(t, client.Close())
	others.Gone = 1
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront] == others })
	bed.Databases[0].Release()
	require.True(t, bed.Client().Ask(bed.Statement("write", "other", testbed.Timeout)).Complete)
	require.Len(t, bed.Databases[0].Statements(), pipelineLimit+1)
}

// A shutdown answers the requests of a client that is not read, and does not wait for the rest of what it sends.
func TestShutdownAnswersPausedClient(t *testing.T) {
	bed := testbed.Start(t)
	client := newEagerClient(bed, manyCommands)
	bed.Signal(syscall.SIGTERM)
	codes := map[string]int{}
	for range pipelineLimit {
		reply, err := client.TryNext(testbed.Timeout)
		require.NoError(t, err)
		codes[reply.Code]++
	}
	require.Equal(t, map[string]int{pg.CodeSystemError: 1, "": pipelineLimit - 1}, codes)
	require.NoError(t, bed.Wait())
}

// Guards against clients that are closed because all of them together send too far ahead: while the buffers fill, each
// may send less ahead, and is slowed down. None is closed, and a client with a long statement is served.
func TestClientsThatFillBuffersTogetherAreSlowedDown(t *testing.T) {
	const clients = 8 // that together send ahead more than the bound of all buffers
	program := testbed.Variant(t, testbed.Edit{
		File: "internal/limits/frontend.go",
		Old:  "int(granted.memoryBytes / clientBuffersDivisor)",
		New:  "6 << 20",
	})
	bed := testbed.Start(t, testbed.WithProgram(program))
	var eager []*eagerClient
	for range clients {
		eager = append(eager, newEagerClient(bed, fewCommands))
	}
	long := strings.Repeat("y", 200<<10)
	require.True(t, bed.Client().Ask(bed.Statement("report", long, testbed.Timeout)).Complete)
	bed.Databases[0].Release()
	for _, client := range eager {
		for range fewCommands {
			require.Equal(t, "from db-0", string(client.Next().Value))
		}
		require.NoError(t, <-client.sent)
	}
	require.Empty(t, bed.Line("frontend: bad input"))
}
