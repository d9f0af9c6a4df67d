package flight_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"capercove/internal/discovery"
	"capercove/internal/testbed"
)

// unsafeReads makes the statements of class read ones that must not run twice.
func unsafeReads(bed *testbed.Bed) {
	bed.Settings = strings.Replace(bed.Settings, `"idempotency":"safe"`, `"idempotency":"unsafe"`, 1)
}

// listAndAwait sends a change of the endpoint list, and waits until the program has received it.
func listAndAwait(bed *testbed.Bed, entry discovery.Entry) {
	bed.T.Helper()
	before := bed.Counters(func(testbed.Counters) bool { return true }).Core.Lists
	bed.List(entry)
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Lists > before })
}

// A database executes a statement as it is asked for the ticket, which may not be fetched by the time it comes. Guards
// against a statement that must not run twice, and runs again elsewhere or is refused as if it had not run.
func TestStatementOfUnfetchedTicketRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name, class string
		database    int // that gets the statement
		untilBarred func(bed *testbed.Bed)
	}{
		{"excluded", "write", 0, func(bed *testbed.Bed) { bed.SetExcluded("db-0", true) }},
		{"draining", "write", 0, func(bed *testbed.Bed) {
			listAndAwait(bed, bed.Entry(0, "DRAINING"))
			testbed.Pass(1200 * time.Millisecond) // over half of the grace
		}},
		{"gone", "write", 0, func(bed *testbed.Bed) { listAndAwait(bed, bed.Entry(0, "DELETED")) }},
		{"not fresh any more", "read", 1, func(*testbed.Bed) { testbed.Pass(600 * time.Millisecond) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			bed := testbed.Start(t, testbed.WithFlight, unsafeReads)
			client := newClient(bed)
			ended := client.StartQuery(headersWithID(test.class, "once", 4*testbed.Timeout), "planned ticket")
			bed.Eventually(func() bool { return bed.Databases[test.database].Tickets() == 1 }, "the statement has run")
			test.untilBarred(bed)
			bed.ReleaseDatabases()
			err := <-ended
			require.Contains(t, []codes.Code{codes.Internal, codes.DeadlineExceeded}, status.Code(err), "%v", err)
			require.Equal(t, 1, bed.Sent("planned"))
			_, err = client.Query(headersWithID(test.class, "once", 4*testbed.Timeout), "planned")
			require.Equal(t, codes.InvalidArgument, status.Code(err), "its id stays claimed: %v", err)
			require.Equal(t, 1, bed.Sent("planned"))
		})
	}
}

// A database executes a statement as it is asked for the ticket, and turns the fetch away. Guards against a statement
// that must not run twice, and runs again, as the answer to the fetch counted as a proof that nothing had run.
func TestAnswerToFetchIsNoProofThatStatementNeverRan(t *testing.T) {
	for word, code := range map[string]codes.Code{
		"full": codes.Internal, "miss": codes.Internal, "cut": codes.Internal, "unusable": codes.InvalidArgument,
	} {
		t.Run(word, func(t *testing.T) {
			bed := testbed.Start(t, testbed.WithFlight)
			client := newClient(bed)
			_, err := client.Query(headersWithID("write", "once", testbed.Timeout), "planned "+word)
			require.Equal(t, code, status.Code(err), "%v", err)
			require.Equal(t, 1, bed.Sent("planned"))
			_, err = client.Query(headersWithID("write", "once", testbed.Timeout), "planned")
			require.Equal(t, codes.InvalidArgument, status.Code(err), "its id stays claimed: %v", err)
			require.Equal(t, 1, bed.Sent("planned"))
		})
	}
}

// A statement that may be repeated is still sent to another database where a fetch is turned away.
func TestHarmlessStatementIsRetriedWhereItsFetchIsTurnedAway(t *testing.T) {
	bed := testbed.Start(t, testbed.WithFlight)
	_, err := newClient(bed).Query(headers("report", testbed.AnswerTimeout), "planned miss")
	require.Error(t, err)
	require.Greater(t, bed.Sent("planned"), 1)
}
