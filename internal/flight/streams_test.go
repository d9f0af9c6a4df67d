package flight_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// The databases of these tests allow a number of calls at once on a connection, and long calls take all of them.
const (
	streamsMemory = 1024 // MiB; for more calls at once than the databases allow
	maxAge        = 500 * time.Millisecond
	drainGrace    = 2 * time.Second
	slack         = 150 * time.Millisecond
)

var streamLimits = []uint32{1, 4, 8}

// startOccupied starts a bed whose database with this index has long calls of a class on all streams of a connection.
func startOccupied(t *testing.T, limit uint32, class string, database int) *testbed.Bed {
	t.Helper()
	bed := testbed.Start(t, testbed.WithFlightStreams(limit), testbed.WithMemory(streamsMemory))
	client := newClient(bed)
	for number := range int(limit) {
		ctx := headersWithID(class, fmt.Sprint("occupant-", number), testbed.Timeout)
		if class == "write" {
			client.StartUpdate(ctx, "hold")
		} else {
			client.StartQuery(ctx, "hold")
		}
	}
	bed.Eventually(func() bool {
		return len(bed.Databases[database].Statements()) == int(limit)
	}, "all streams are in use")
	return bed
}

// Guards against a read that waits for a free stream to a database, and begins there when its data may be too old.
func TestReadBehindLongCallsIsFresh(t *testing.T) {
	for _, limit := range streamLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			bed := startOccupied(t, limit, "report", 1)
			begun := time.Now()
			ended := newClient(bed).StartQuery(headersWithID("read", "r", testbed.AnswerTimeout), "planned")
			testbed.Pass(maxAge + 2*slack)
			bed.ReleaseDatabases()
			require.NoError(t, <-ended)
			late := bed.Databases[1].Between(begun.Add(maxAge+slack), begun.Add(testbed.Timeout))
			require.NotContains(t, late, "planned")
		})
	}
}

// Guards against a write that waits for a free stream to the primary, and begins there after that has left.
func TestWriteBehindLongCallsStaysAwayFromLeavingDatabase(t *testing.T) {
	for _, limit := range streamLimits {
		for name, leave := range map[string]func(bed *testbed.Bed){
			"draining": func(bed *testbed.Bed) { bed.List(bed.Entry(0, "DRAINING")) },
			"gone":     func(bed *testbed.Bed) { bed.List(bed.Entry(0, "DELETED")) },
			"excluded": func(bed *testbed.Bed) { bed.SetExcluded("db-0", true) },
		} {
			t.Run(fmt.Sprint(limit, " ", name), func(t *testing.T) {
				t.Parallel()
				bed := startOccupied(t, limit, "write", 0)
				ended := newClient(bed).StartUpdate(headersWithID("write", "w", longWait), "later")
				leave(bed)
				left := time.Now()
				testbed.Pass(drainGrace + slack)
				bed.ReleaseDatabases()
				<-ended //nolint:errcheck // it may be served, rejected or late
				late := bed.Databases[0].Between(left.Add(drainGrace), left.Add(testbed.Timeout))
				require.NotContains(t, late, "later")
			})
		}
	}
}

// Guards against a write that waits for a free stream to the primary, which is told of time that has passed by then.
func TestDatabaseIsToldOfTimeThatIsLeft(t *testing.T) {
	const wait, delay = 3 * time.Second, 600 * time.Millisecond
	for _, limit := range streamLimits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			bed := startOccupied(t, limit, "write", 0)
			begun := time.Now()
			ended := newClient(bed).StartUpdate(headersWithID("write", "w", wait), "later")
			testbed.Pass(delay)
			bed.ReleaseDatabases()
			require.NoError(t, <-ended)
			told, err := strconv.Atoi(bed.Databases[0].Deadlines("later")[0])
			require.NoError(t, err)
			left := wait
			if arrivedAtOnce := bed.Databases[0].Between(begun, begun.Add(delay)); len(arrivedAtOnce) == 0 {
				left -= delay
			}
			require.LessOrEqual(t, time.Duration(told)*time.Millisecond, left+slack)
		})
	}
}

// Guards against a new configuration that lowers the calls on a connection to a database, and is not followed.
func TestReloadLimitsStreamsOfConnection(t *testing.T) {
	const calls = 4
	bed := testbed.Start(t, testbed.WithFlight, testbed.WithMemory(streamsMemory))
	client, primary := newClient(bed), bed.Databases[0]
	require.NoError(t, client.Update(headers("write", longWait), "first"))
	before := primary.Open()
	bed.Settings = strings.Replace(bed.Settings, `"sendCap":10`, `"sendCap":10,"streamsPerConn":1`, 1)
	bed.Reload()
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Reloads == 1 })
	for range calls {
		client.StartUpdate(headers("write", longWait), "hold")
	}
	bed.Eventually(func() bool { return bed.Sent("hold") == calls }, "all calls are at the primary")
	require.GreaterOrEqual(t, primary.Open(), before+calls-1, "each has a connection")
	bed.ReleaseDatabases()
}
