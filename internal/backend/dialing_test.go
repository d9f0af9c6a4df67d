package backend_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// A client disconnects while its request waits for a connection. When the connection is established, nothing is sent
// for that client, whether the settings allow attempts to be cancelled or not. The connection serves the next client.
func TestNothingIsSentForClientGoneDuringDial(t *testing.T) {
	for name, cancel := range map[string]bool{"attempts are cancelled": true, "no attempt is cancelled": false} {
		t.Run(name, func(t *testing.T) {
			database := newScriptedDatabase(t)
			bed := testbed.Start(t, testbed.WithLongDialTimeout(cancel), database.replacing(0))
			first, second := bed.Client(), bed.Client()
			first.Send(testbed.Query(bed.Statement("write", "first", testbed.Timeout)))
			connection := database.nextConnection()
			require.NoError(t, first.Close())
			bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront].Gone == 1 })
			second.Send(testbed.Query(bed.Statement("write", "second", testbed.Timeout)))
			bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront].Taken == 2 })
			got := database.answerUntil(connection, "second")
			require.Len(t, got, 1)
			require.Contains(t, got[0], "second")
			require.True(t, second.Next().Complete)
		})
	}
}

// The endpoint list gives a database a new address while a request waits for a connection to it: the dial to the old
// address is cancelled, and the new address is dialed.
func TestNewAddressIsDialedAfterMoveDuringDial(t *testing.T) {
	database := newScriptedDatabase(t)
	bed := testbed.Start(t, testbed.WithLongDialTimeout(true), database.replacing(0))
	client := bed.Client()
	client.Send(testbed.Query(bed.Statement("write", "a", 4*testbed.Timeout)))
	database.nextConnection()
	bed.List(bed.Entry(0, "SERVING"))
	require.Equal(t, "from db-0", string(client.Next().Value))
}

// A replica is removed from the endpoint list, or excluded, while a request waits for a connection to it: the request
// goes to the primary at once, and no statement is sent to the replica.
func TestRequestMovesToPrimaryIfReplicaIsRemovedDuringDial(t *testing.T) {
	for name, takeOut := range map[string]func(bed *testbed.Bed){
		"gone":     func(bed *testbed.Bed) { bed.List(bed.Entry(1, "DELETED")) },
		"excluded": func(bed *testbed.Bed) { bed.SetExcluded("db-1", true) },
	} {
		t.Run(name, func(t *testing.T) {
			database := newScriptedDatabase(t)
			bed := testbed.Start(t, testbed.WithLongDialTimeout(true), database.replacing(1))
			client := bed.Client()
			client.Send(testbed.Query(bed.Statement("report", "a", 4*testbed.Timeout)))
			connection := database.nextConnection()
			takeOut(bed)
			require.Equal(t, "from db-0", string(client.Next().Value))
			// This is AuthenticationOk and ReadyForQuery. The program may have closed the connection already.
			_, _ = connection.Write(pg.AppendReady([]byte{'R', 0, 0, 0, 8, 0, 0, 0, 0}))
			text, _ := io.ReadAll(connection) // until the connection is closed or reset
			require.NotContains(t, string(text), "SELECT val")
		})
	}
}
