package frontend_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// departureLimit is the maximum time after a client's close in which an attempt may still begin.
const departureLimit = 100 * time.Millisecond

// unreadCloseCase is a case of TestNoAttemptBeginsAfterUnreadClose.
type unreadCloseCase struct {
	text   string                                         // in the statement for which no further attempt may begin
	taken  int                                            // number of requests of before that the program reads
	before func(bed *testbed.Bed, client *testbed.Client) // sends requests before the program is paused; may be nil
	during func(bed *testbed.Bed, client *testbed.Client) // called during the pause, just before the client closes
}

// unreadCloseCases are named by the state of the client's requests when the client closes its connection.
var unreadCloseCases = map[string]unreadCloseCase{
	"the request is unread too": {
		text: "gone",
		during: func(bed *testbed.Bed, client *testbed.Client) {
			client.Send(testbed.Query(bed.Statement("write", "gone", testbed.Timeout)))
		},
	},
	"more requests than fit one read are unread too": {
		text: "gone",
		during: func(bed *testbed.Bed, client *testbed.Client) {
			var commands []byte
			for range 600 {
				key := "gone" + strings.Repeat("x", 100)
				commands = pg.AppendQuery(commands, bed.Statement("report", key, testbed.Timeout))
			}
			client.Send(commands)
		},
	},
	"the request is behind a full pipeline": {
		text:  "gone",
		taken: pipelineLimit,
		before: func(bed *testbed.Bed, client *testbed.Client) {
			commands := testbed.Query(bed.Statement("write", "hang", testbed.Timeout))
			for range pipelineLimit - 1 {
				commands = pg.AppendQuery(commands, bed.Statement("report", "other", testbed.Timeout))
			}
			client.Send(pg.AppendQuery(commands, bed.Statement("write", "gone", testbed.Timeout)))
		},
		during: func(bed *testbed.Bed, _ *testbed.Client) { bed.Databases[0].Cut() },
	},
	"the request may be retried": {
		text:  "hang",
		taken: 1,
		before: func(bed *testbed.Bed, client *testbed.Client) {
			client.Send(testbed.Query(bed.Statement("report", "hang", testbed.Timeout)))
		},
		during: func(bed *testbed.Bed, _ *testbed.Client) { bed.CutDatabases() },
	},
}

// A client closes its connection while the program is paused. When the program resumes, it has not read the close yet,
// and perhaps not the requests before it. In each state of the requests, no further attempt may begin.
func TestNoAttemptBeginsAfterUnreadClose(t *testing.T) {
	for name, test := range unreadCloseCases {
		t.Run(name, func(t *testing.T) {
			bed := testbed.Start(t)
			for range 5 { // a fault may not show in every round
				test.run(t, bed)
			}
		})
	}
}

func (test unreadCloseCase) run(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	serves := func() bool { return bed.Client().Ask(bed.Statement("write", "a", testbed.Timeout)).Complete }
	bed.Eventually(serves, "the program serves a request") // leaves an idle connection to the database
	taken, hanging := awaitNoneOpen(bed), bed.Sent("hang")
	client := bed.Client()
	if test.before != nil {
		test.before(bed, client)
		bed.Counters(func(counters testbed.Counters) bool {
			return counters.Core.Fronts[postgresFront].Taken == taken+test.taken
		})
		bed.Eventually(func() bool { return bed.Sent("hang") == hanging+1 }, "the statement has been sent")
	}
	before := bed.Sent(test.text)
	resume := bed.Pause()
	test.during(bed, client)
	require.NoError(t, client.Close())
	testbed.Pass(3 * departureLimit)
	resume()
	bed.Eventually(serves, "the program serves a request")
	require.Equal(t, before, bed.Sent(test.text))
}

// awaitNoneOpen waits until no request is open, and returns how many the program has read so far.
func awaitNoneOpen(bed *testbed.Bed) (taken int) {
	bed.T.Helper()
	return bed.Counters(func(counters testbed.Counters) bool {
		answers := counters.Core.Fronts[postgresFront]
		return answers.Taken == answers.Served+answers.Refused+answers.Failed+answers.Gone
	}).Core.Fronts[postgresFront].Taken
}

// A client that shuts down its sending side is treated as having left, because its FIN cannot be distinguished from
// that of a full close. Its connection is closed, and its attempt is cancelled.
func TestClientHalfCloseCancelsAttempt(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	client.Send(testbed.Query(bed.Statement("report", "hang", 4*testbed.Timeout)))
	bed.Eventually(func() bool { return bed.Sent("hang") == 1 }, "the statement has been sent")
	require.NoError(t, client.Conn.(*net.TCPConn).CloseWrite())
	_, err := client.TryNext(testbed.Timeout)
	require.ErrorIs(t, err, io.EOF)
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront].Gone == 1 })
	bed.Eventually(func() bool {
		return bed.Databases[0].Abandoned()+bed.Databases[1].Abandoned() == 1
	}, "the database's attempt is cancelled")
}

// When a client closes its connection, its attempt is cancelled by closing the connection to the database.
func TestClientCloseCancelsAttempt(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	client.Send(testbed.Query(bed.Statement("write", "hang", 3*time.Second)))
	bed.Eventually(func() bool { return len(bed.Databases[0].Statements()) == 1 }, "the statement has been sent")
	require.NoError(t, client.Close())
	bed.Eventually(func() bool { return bed.Databases[0].Abandoned() == 1 }, "the attempt is cancelled")
	bed.Counters(func(counters testbed.Counters) bool {
		return counters.Core.Fronts[postgresFront] == testbed.Answers{Taken: 1, Gone: 1}
	})
}
