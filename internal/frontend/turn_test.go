package frontend_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
	"capercove/internal/testbed"
)

// Commands of a connection that are handled within one round of the event loop.
const (
	commandsPerRound     = 64
	commandsPerLongRound = 1
)

// syncReplyBytes is the length of the reply to syncCommand.
const syncReplyBytes = 6

var syncCommand = []byte{'S', 0, 0, 0, 4}

// handled returns how many Sync commands of a client have been answered.
func (socket *fakeSocket) handled() int { return len(socket.written) / syncReplyBytes }

// Guards against an event loop that serves some clients for so long that others wait for seconds: a client gets one
// turn in a round, however long the round lasts, and short turns once it has lasted long.
func TestClientHasOneTurnInRound(t *testing.T) {
	harness := newHarness(t, nil)
	first, second := harness.start(), harness.start()
	harness.pass(5 * time.Millisecond)
	flood := bytes.Repeat(syncCommand, 2*commandsPerRound)
	first.receive(flood)
	require.Equal(t, commandsPerRound, first.handled())
	harness.now += 50 * time.Millisecond // the round goes on
	first.receive(flood)
	require.Equal(t, commandsPerRound, first.handled(), "its turn is over")
	second.receive(flood)
	require.Equal(t, commandsPerLongRound, second.handled(), "the round is long")
	harness.pass(time.Second)
	require.Equal(t, 4*commandsPerRound, first.handled(), "all are handled in later rounds")
	require.Equal(t, 2*commandsPerRound, second.handled())
}

// Guards against an order of clients by chance: those that have sent one request each have asked equally, however long
// they took for it. The one that has waited longest is rejected first then.
func TestClientsWithOneRequestHaveAskedEqually(t *testing.T) {
	harness := newHarness(t, nil)
	for _, pause := range []time.Duration{0, time.Second} {
		client := harness.start()
		harness.pass(pause)
		client.receive(harness.statement())
		harness.core.Flush()
	}
	require.Len(t, harness.attempts, 2)
	for _, attempt := range harness.attempts {
		require.Equal(t, 1, attempt.Request.RecentWork)
	}
}

// Guards against clients with short statements that are rejected for the memory that others hold.
func TestClientWithinItsShareIsNotRejectedForMemory(t *testing.T) {
	const (
		bound = 64 << 10
		short = 300 // bytes, within the share
	)
	harness := newHarness(t, func(bounds *limits.Frontend) {
		bounds.MaxBufferedBytes, bounds.MaxConnections = bound, 32
	})
	padded := func(length int) []byte { return testbed.Query(strings.Repeat(" ", length) + harness.statementText()) }
	free := func() int { return bound - harness.frontend.Buffers().Total() }
	for free() > short {
		harness.start().receive(padded(max(free()/2-short, 0))) // it is held twice while it is read
	}
	harness.core.Flush()
	sent := len(harness.attempts)
	client := harness.start()
	client.receive(padded(short))
	harness.core.Flush()
	require.Len(t, harness.attempts, sent+1, "%q", client.written)
}
