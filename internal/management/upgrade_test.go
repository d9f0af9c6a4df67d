package management_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// During an upgrade the old and the new process share the clients' listener. No client is rejected. An exclusion at the
// new process also applies to the old process. The old process finishes the requests that it has received.
func TestUpgradeServesAllClients(t *testing.T) {
	bed := testbed.Start(t, testbed.WithListener, testbed.WithFlight) // both processes listen for both protocols
	busy, idle := bed.Client(), bed.Client()
	end := bed.Upgrade()
	bed.SetExcluded("db-1", true)
	unused := 0
	bed.Eventually(func() bool {
		before := len(bed.Databases[1].Statements())
		requireServed(t, bed, idle, 10)
		unused++
		if len(bed.Databases[1].Statements()) > before {
			unused = 0
		}
		return unused == 3
	}, "the old process applies the exclusion")
	received := len(bed.Databases[0].Statements())
	busy.Send(testbed.Query(bed.Statement("write", "hang", testbed.AnswerTimeout)))
	bed.Eventually(func() bool { return len(bed.Databases[0].Statements()) > received }, "the write has been sent")
	ended := make(chan error, 1)
	go func() { ended <- end() }()
	for range 50 { // some arrive on the last connections of the old process
		require.True(t, bed.AskWithRetry(bed.Statement("write", "a", testbed.Timeout)).Complete)
	}
	require.Equal(t, pg.CodeQueryCanceled, busy.Next().Code, "the old process finishes the write")
	require.NoError(t, <-ended)
	require.True(t, bed.Client().Ask(bed.Statement("write", "a", testbed.AnswerTimeout)).Complete)
}

// A process that shares the listening socket can set it to blocking mode for all processes. A running accept then waits
// for the next client. The pooler still serves clients and shuts down in time.
func TestShutdownWithBlockingListener(t *testing.T) {
	bed := testbed.Start(t, testbed.WithListener)
	bed.MakeListenerBlocking()
	client := bed.Client() // the accept after this one blocks
	bed.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- bed.Wait() }()
	// The write is answered, or the connection is closed between requests.
	_, _ = client.Write(testbed.Query(bed.Statement("write", "a", testbed.AnswerTimeout)))
	require.NoError(t, <-ended)
	require.Empty(t, bed.Line("event loop: stalled"))
}

// During an upgrade the two processes together never exceed their limit of open descriptors, however many clients
// connect. This applies if the old process ends, is killed, or is stopped forever. The new process then uses the
// descriptors that are free.
func TestUpgradeWithinDescriptorLimit(t *testing.T) {
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(end.String(), func(t *testing.T) { runUpgradeWithinLimit(t, end) })
	}
}

// runUpgradeWithinLimit upgrades a process while clients connect, and sends the given signal to the old process.
func runUpgradeWithinLimit(t *testing.T, end syscall.Signal) {
	t.Helper()
	const limit = 192
	const quota = limit * 7 / 8 // of a process that runs alone
	bed := testbed.Start(t, testbed.WithListener, func(b *testbed.Bed) { b.Sockets = limit })
	old := bed.Process()
	t.Cleanup(func() { // errors mean that the process has ended
		_ = old.Signal(syscall.SIGCONT)
		_ = old.Kill()
	})
	requireWithinLimit := func() {
		t.Helper()
		require.LessOrEqual(t, openDescriptors(old)+openDescriptors(bed.Process()), limit)
	}
	connect := func(clients int) (served int) { // each client sends one statement and stays connected
		t.Helper()
		for range clients {
			client, started := bed.TryClient()
			if started && client.Ask(bed.Statement("write", "a", testbed.Timeout)).Complete {
				served++
			}
			requireWithinLimit()
		}
		return served
	}
	bed.Counters(func(counters testbed.Counters) bool { return counters.Takes == quota })
	require.Equal(t, 60, connect(60), "a process that runs alone uses all free descriptors")
	endOld := bed.Upgrade()
	connect(40)
	if end == syscall.SIGTERM {
		require.NoError(t, endOld())
	} else {
		require.NoError(t, old.Signal(end))
	}
	bed.Counters(func(counters testbed.Counters) bool { return end == syscall.SIGSTOP || counters.Takes == quota })
	require.Positive(t, connect(20), "the new process serves")
	requireWithinLimit()
}

// openDescriptors returns the number of open descriptors of a process, 0 if the process has ended.
func openDescriptors(process *os.Process) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
	return len(entries)
}
