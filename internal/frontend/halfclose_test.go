package frontend_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// withLongRejectionTimeout builds the program with a RejectionTimeout that no stall of the machine exceeds.
func withLongRejectionTimeout(t *testing.T) testbed.Option {
	t.Helper()
	return testbed.WithProgram(testbed.Variant(t, testbed.Edit{
		File: "internal/limits/constants.go",
		Old:  "rejectionTimeout = 250 * time.Millisecond",
		New:  "rejectionTimeout = time.Hour",
	}))
}

// Bytes that the client sends while the program closes the connection are read and dropped. The client reads its answer
// and then the end of the connection. It gets no reset, which could destroy the answer.
func TestBytesSentDuringCloseCauseNoReset(t *testing.T) {
	bed := testbed.Start(t, withLongRejectionTimeout(t))
	client := bed.Client()
	client.Send([]byte("!\x00\x00\x00\x04"))
	require.Equal(t, pg.CodeProtocol, client.Next().Code)
	for range 3 {
		testbed.RequireEnd(t, client)
		client.Send(testbed.Query(bed.Statement("write", "late", testbed.AnswerTimeout)))
	}
	require.Empty(t, bed.Databases[0].Statements())
	require.NoError(t, client.Close())
	bed.Eventually(func() bool {
		return bed.Client().Ask(bed.Statement("write", "a", testbed.AnswerTimeout)).Complete
	}, "other clients are served")
}

// Requests that a client sends during its eviction are dropped: the client reads the end of the connection and no
// reset, and no database receives the statement.
func TestRequestSentDuringEvictionIsDropped(t *testing.T) {
	bed := testbed.Start(t, withLongRejectionTimeout(t), withFewSockets)
	bad := bed.Client()
	require.Equal(t, pg.CodeSyntax, bad.Ask("SELECT 1").Code)
	full := make(chan struct{})
	go func() { // opens connections with pending requests until one is rejected
		defer close(full)
		for range 60 {
			client, admitted := bed.TryDial(testbed.Timeout)
			if !admitted {
				return
			}
			t.Cleanup(func() { _ = client.Close() }) // the program may have closed it
			deadline := (10 * testbed.Timeout).Milliseconds()
			sql := fmt.Sprintf("SELECT val FROM state WHERE uid = 'hold' /* id=%p,c=report,d=%d,cluster=3 */",
				client, deadline)
			_, _ = client.Write(testbed.Query(sql)) // the program may have closed it
		}
	}()
	for range 3 {
		testbed.RequireEnd(t, bad)
		bad.Send(testbed.Query(bed.Statement("write", "late", testbed.AnswerTimeout)))
	}
	<-full
	for _, database := range bed.Databases {
		require.NotContains(t, strings.Join(database.Statements(), "\n"), "late")
		database.Release()
	}
}
