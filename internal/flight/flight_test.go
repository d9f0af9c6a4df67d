package flight_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	wire "capercove/internal/flight"
	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// client is a Flight SQL client of the program.
type client struct {
	*flightsql.Client
	b *testbed.Bed
}

func newClient(b *testbed.Bed) client {
	c, err := flightsql.NewClient(b.Flight, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	require.NoError(b.T, err)
	b.T.Cleanup(func() { c.Close() })
	return client{c, b}
}

func headers(class string, wait string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), wire.KeyClass, class, wire.KeyGroup, "3",
		wire.KeyID, "1", wire.KeySession, "s", wire.KeyDeadline, wait)
}

// query runs a statement and returns how many batches came before its end.
func (c client) query(ctx context.Context, sql string) (batches int, err error) {
	r, err := c.open(ctx, sql)
	if err != nil {
		return 0, err
	}
	defer r.Release()
	for r.Next() {
		batches++
	}
	return batches, r.Err()
}

func (c client) open(ctx context.Context, sql string) (*flight.Reader, error) {
	info, err := c.Execute(ctx, sql)
	require.NoError(c.b.T, err, "a ticket is given out without a database")
	return c.DoGet(ctx, info.Endpoint[0].Ticket)
}

func (c client) update(ctx context.Context, sql string) error {
	n, err := c.ExecuteUpdate(ctx, sql)
	if err == nil {
		require.EqualValues(c.b.T, 1, n)
	}
	return err
}

// sent counts the statements that reached the databases.
func sent(b *testbed.Bed, sql string) (n int) {
	for _, d := range b.Databases {
		n += strings.Count(strings.Join(d.Got(), "\n"), sql)
	}
	return n
}

// The same requests over both wires, in turn, have the same answers, and the program counts the same.
func TestBothWiresCountAlike(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	postgres, arrow := b.Client(), newClient(b)
	for round := range 3 {
		for _, r := range []struct{ class, key, answer string }{
			{"read", "a", "served"}, {"report", "b", "served"}, {"write", "c", "served"},
			{"report", "full", "refused"}, {"write", "full", "refused"}, {"write", "fail", "failed"},
			{"report", "unusable", "unusable"}, {"write", "d", "served"}, {"write", "hang", "deadline"}, {"write", "e", "served"},
		} {
			wait := 3 * time.Second
			if r.answer == "refused" || r.answer == "deadline" { // held until then
				wait = 500 * time.Millisecond
			}
			reply := postgres.Ask(b.Statement(r.class, r.key, wait))
			ctx, err := headers(r.class, strconv.FormatInt(wait.Milliseconds(), 10)), error(nil)
			if r.class == "write" {
				err = arrow.update(ctx, r.key)
			} else {
				_, err = arrow.query(ctx, r.key)
			}
			require.Equal(t, r.answer, map[string]string{"": "served", pg.CodeFull: "refused",
				pg.CodeSystemError: "failed", pg.CodeSyntax: "unusable", pg.CodeQueryCanceled: "deadline"}[reply.Code], "%d: %v", round, r)
			require.Equal(t, r.answer, map[codes.Code]string{codes.OK: "served", codes.ResourceExhausted: "refused",
				codes.Internal: "failed", codes.InvalidArgument: "unusable", codes.DeadlineExceeded: "deadline"}[status.Code(err)], "%d: %v", round, r)
		}
	}
	require.Equal(t, 6, sent(b, "unusable"), "each is sent once")
	want := testbed.Answers{Taken: 30, Served: 15, Refused: 6, Failed: 9}
	counters := b.Counters(func(c testbed.Counters) bool { return c.Core.Fronts["flight"].Taken == 30 })
	require.Equal(t, map[string]testbed.Answers{"postgres": want, "flight": want}, counters.Core.Fronts)
}

// A stream that breaks halfway is one failure: it is not sent again into the same answer, nor shown as whole.
func TestCutHalfway(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	r, err := newClient(b).open(headers("report", "5000"), "half")
	require.NoError(t, err)
	require.True(t, r.Next())
	b.Databases[0].Cut()
	b.Databases[1].Cut()
	require.False(t, r.Next())
	require.Equal(t, codes.Internal, status.Code(r.Err()), "%v", r.Err())
	require.Equal(t, 1, sent(b, "half"))
	b.Counters(func(c testbed.Counters) bool {
		return c.Core.Fronts["flight"] == testbed.Answers{Taken: 1, Failed: 1}
	})
}

// A stream that breaks before its first batch goes to another database; a write that may have run does not.
func TestCutBeforeTheAnswer(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	c := newClient(b)
	_, err := c.query(headers("report", "1000"), "cut")
	require.Error(t, err)
	require.Greater(t, sent(b, "cut"), 1)
	b = testbed.Start(t, testbed.WithFlight)
	require.Equal(t, codes.Internal, status.Code(newClient(b).update(headers("write", "2000"), "cut")))
	require.Equal(t, 1, sent(b, "cut"))
}

// A client that cancels stops the database's stream, and counts once. It reads slowly, and so does the program.
func TestCancel(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	ctx, cancel := context.WithCancel(headers("report", "10000"))
	r, err := newClient(b).open(ctx, "endless")
	require.NoError(t, err)
	require.True(t, r.Next())
	cancel()
	b.Eventually(func() bool { return b.Databases[0].Ended()+b.Databases[1].Ended() == 1 }, "the stream is stopped")
	b.Counters(func(c testbed.Counters) bool {
		return c.Core.Fronts["flight"] == testbed.Answers{Taken: 1, Gone: 1}
	})
}

// The deadline ends an answer that has begun, and one that has not; the call's own deadline counts too.
func TestDeadline(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	c := newClient(b)
	_, err := c.query(headers("report", "300"), "endless")
	require.Equal(t, codes.DeadlineExceeded, status.Code(err), "%v", err)
	require.Equal(t, codes.DeadlineExceeded, status.Code(c.update(headers("write", "300"), "hang")))
	ctx, cancel := context.WithTimeout(headers("write", "60000"), 300*time.Millisecond)
	defer cancel()
	require.Equal(t, codes.DeadlineExceeded, status.Code(c.update(ctx, "hang")))
	b.Eventually(func() bool { return b.Databases[0].Ended()+b.Databases[1].Ended() == 3 }, "all are stopped")
}

// A refusal, and it alone, says when to come back.
func TestRefusal(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	_, err := newClient(b).query(headers("report", "500"), "full")
	s := status.Convert(err)
	require.Equal(t, codes.ResourceExhausted, s.Code())
	require.IsType(t, &errdetails.RetryInfo{}, s.Details()[0])
}

// Bad input gets a plain error.
func TestBadInput(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	c := newClient(b)
	for _, bad := range [][]string{{wire.KeyClass, "none"}, {wire.KeyGroup, "x"}, {wire.KeyGroup, "9"},
		{wire.KeyDeadline, "0"}, {wire.KeyAfter, "-1"}, {wire.KeyID, ""}} {
		md, _ := metadata.FromOutgoingContext(headers("read", "500"))
		md.Set(bad[0], bad[1])
		_, err := c.query(metadata.NewOutgoingContext(context.Background(), md), "a")
		require.Equal(t, codes.InvalidArgument, status.Code(err), "%v: %v", bad, err)
	}
	ctx, cancel := context.WithCancel(headers("write", "3000"))
	defer cancel()
	go c.update(ctx, "hang")
	b.Eventually(func() bool { return sent(b, "hang") == 1 }, "the write is out")
	require.Equal(t, codes.InvalidArgument, status.Code(c.update(headers("write", "500"), "a")), "its id is open")
	cancel()
	_, err := c.DoGet(context.Background(), &flight.Ticket{Ticket: []byte("foreign")})
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	_, err = c.GetTables(context.Background(), &flightsql.GetTablesOpts{})
	require.Equal(t, codes.Unimplemented, status.Code(err))
	b.Eventually(func() bool {
		batches, err := c.query(headers("read", "500"), "a")
		return err == nil && batches == testbed.Batches
	}, "the id is free again")
}

// SIGTERM finishes a stream that has begun.
func TestStop(t *testing.T) {
	b := testbed.Start(t, testbed.WithFlight)
	c := newClient(b)
	done := make(chan error)
	go func() { done <- c.update(headers("write", "1500"), "hang") }()
	b.Eventually(func() bool { return sent(b, "hang") == 1 }, "the write is out")
	b.Signal(syscall.SIGTERM)
	require.Equal(t, codes.DeadlineExceeded, status.Code(<-done))
	require.NoError(t, b.Wait())
}

// gate stands before a database's Flight address: connections come up and nothing passes until it is opened.
func gate(t *testing.T, to *string) (came chan struct{}, open func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	real, opened := *to, make(chan struct{})
	*to, came = l.Addr().String(), make(chan struct{}, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came <- struct{}{}
			go func() {
				defer c.Close()
				select {
				case <-opened:
				case <-t.Context().Done():
					return
				}
				d, err := net.Dial("tcp", real)
				if err != nil {
					return
				}
				defer d.Close()
				go func() {
					io.Copy(d, c)
					d.Close() // Against a database that waits for two minutes for what never comes, and holds up the test's end.
				}()
				io.Copy(c, d)
			}()
		}
	}()
	return came, func() { close(opened) }
}

// A client cancels while its request waits for a connection to come up: nothing is sent for it when that does, whether the site calls
// attempts off or not.
func TestCancelWhileADialIsUnderWay(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		var came chan struct{}
		var open func()
		b := testbed.Start(t, testbed.WithFlight, func(b *testbed.Bed) {
			came, open = gate(t, &b.Databases[0].Flight)
			patient(b, cancels)
		})
		c := newClient(b)
		wait := strconv.FormatInt(testbed.Patience.Milliseconds(), 10)
		ctx, cancel := context.WithCancel(headers("write", wait))
		first := make(chan error, 1)
		go func() {
			_, err := c.ExecuteUpdate(ctx, "first")
			first <- err
		}()
		<-came
		cancel()
		require.Equal(t, codes.Canceled, status.Code(<-first))
		b.Counters(func(c testbed.Counters) bool { return c.Core.Fronts["flight"].Gone == 1 })
		open()
		_, err := c.ExecuteUpdate(headers("write", wait), "second")
		require.NoError(t, err)
		require.Equal(t, []string{"second"}, b.Databases[0].Got(), "cancels %v", cancels)
	}
}

// patient lets a connection take as long as it likes to come up, with attempts that are called off or not.
func patient(b *testbed.Bed, cancels bool) {
	b.Settings = strings.Replace(b.Settings, `"cancel":true,"connectTimeoutMs":250`,
		fmt.Sprintf(`"cancel":%v,"connectTimeoutMs":%d`, cancels, (10*testbed.Patience).Milliseconds()), 1)
}

// A replica is banned, or gone, while a report waits for a connection to it: the report goes to the primary at once, and the replica gets
// nothing when the connection comes up.
func TestDatabaseOutWhileADialIsUnderWay(t *testing.T) {
	for how, out := range map[string]func(b *testbed.Bed){
		"banned": func(b *testbed.Bed) {
			b.Ban("db-1", true)
		},
		"gone": func(b *testbed.Bed) { b.List(b.Entry(1, "DELETED")) },
	} {
		var came chan struct{}
		var open func()
		b := testbed.Start(t, testbed.WithFlight, func(b *testbed.Bed) {
			came, open = gate(t, &b.Databases[1].Flight)
			patient(b, true)
		})
		c := newClient(b)
		wait := strconv.FormatInt((4 * testbed.Patience).Milliseconds(), 10)
		first := make(chan error, 1)
		go func() {
			_, err := c.query(headers("report", wait), "first")
			first <- err
		}()
		<-came
		out(b)
		select {
		case err := <-first:
			require.NoError(t, err, how)
		case <-time.After(testbed.Patience):
			require.Fail(t, "it waits on", how)
		}
		open()
		_, err := c.query(headers("report", wait), "second")
		require.NoError(t, err, how)
		require.Len(t, b.Databases[0].Got(), 2, how)
		require.Empty(t, b.Databases[1].Got(), how)
	}
}

// Between asking a database for a ticket and fetching it the client cancels, whether the site calls attempts off or not, or the database is
// banned: it is not fetched.
func TestBetweenTicketAndFetch(t *testing.T) {
	for _, what := range []string{"cancel", "cancel without calling off", "ban"} {
		b := testbed.Start(t, testbed.WithFlight, func(b *testbed.Bed) { patient(b, what == "cancel") })
		c := newClient(b)
		wait := strconv.FormatInt((4 * testbed.Patience).Milliseconds(), 10)
		ctx, cancel := context.WithCancel(headers("report", wait))
		defer cancel()
		first := make(chan error, 1)
		go func() {
			_, err := c.query(ctx, "ticket")
			first <- err
		}()
		b.Eventually(func() bool { return b.Databases[1].Tickets() == 1 }, "the replica is asked for a ticket")
		if what == "ban" {
			b.Ban("db-1", true)
			b.Databases[0].Release() // where it goes next
			b.Databases[1].Release()
			require.NoError(t, <-first)
			require.Len(t, b.Databases[0].Got(), 1)
		} else {
			cancel()
			require.Equal(t, codes.Canceled, status.Code(<-first))
			b.Counters(func(c testbed.Counters) bool { return c.Core.Fronts["flight"].Gone == 1 })
			b.Databases[1].Release()
			_, err := c.query(headers("report", wait), "second")
			require.NoError(t, err)
		}
		for _, d := range b.Databases {
			for _, sql := range d.Got() {
				require.False(t, d == b.Databases[1] && sql == "ticket", what)
			}
		}
	}
}
