package flight_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// pause stops the program, and returns when the system has.
func pause(b *testbed.Bed) (resume func()) {
	b.Signal(syscall.SIGSTOP)
	b.Eventually(func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.Process().Pid))
		require.NoError(b.T, err)
		_, state, _ := strings.Cut(string(stat), ") ")
		return strings.HasPrefix(state, "T")
	}, "it stands still")
	return func() { b.Signal(syscall.SIGCONT) }
}

// pass lets real time pass.
func pass(d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; {
		time.Sleep(time.Millisecond)
	}
}

// What a database is told of the client's time is what is left of it, however it was spent: between its ticket and
// the fetching of that, or unread while the program was not let run.
func TestTimeTold(t *testing.T) {
	const wait, spent, slack = 10 * testbed.Patience, 2 * time.Second, 150 * time.Millisecond
	millis := strconv.FormatInt(wait.Milliseconds(), 10)
	for name, test := range map[string]struct {
		spend func(b *testbed.Bed, c client)
		sql   string
		most  time.Duration
	}{
		"before the ticket comes": {sql: "ticket", most: wait - spent + slack, spend: func(b *testbed.Bed, c client) {
			go c.query(headers("report", millis), "ticket")
			asked := func() bool { return b.Databases[0].Tickets()+b.Databases[1].Tickets() == 1 }
			b.Eventually(asked, "a database is asked for a ticket")
			pass(spent)
			b.Databases[0].Release()
			b.Databases[1].Release()
		}},
		// How soon the library sends is not seen: half of the time is left for that.
		"while the program is paused": {sql: "unread", most: wait - spent/2, spend: func(b *testbed.Bed, c client) {
			require.NoError(t, c.update(headers("write", millis), "other")) // it is connected
			resume := pause(b)
			go c.update(headers("write", millis), "unread")
			pass(spent)
			resume()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := testbed.Start(t, testbed.WithFlight)
			test.spend(b, newClient(b))
			var told []string
			b.Eventually(func() bool {
				told = append(b.Databases[0].Told(test.sql), b.Databases[1].Told(test.sql)...)
				return len(told) == 1
			}, "it is sent")
			ms, err := strconv.ParseInt(told[0], 10, 64)
			require.NoError(t, err)
			require.LessOrEqual(t, ms, test.most.Milliseconds())
		})
	}
}

// A client cancels a call, or closes its connection, while the program is not let run, and the database breaks its
// connection: when the program goes on, whichever it sees first, the call is not sent again.
func TestCancelThatLiesUnread(t *testing.T) {
	for name, leave := range map[string]func(c client, cancel func()){
		"cancelled": func(_ client, cancel func()) { cancel() },
		"closed":    func(c client, _ func()) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := testbed.Start(t, testbed.WithFlight)
			for round := range 8 { // it is not sure to go wrong each time
				c, other := newClient(b), newClient(b)
				millis := strconv.FormatInt(testbed.Patience.Milliseconds(), 10)
				ctx, cancel := context.WithCancel(headers("report", millis))
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					c.query(ctx, "hang")
				}()
				b.Eventually(func() bool { return sent(b, "hang") == round+1 }, "it is out")
				resume := pause(b)
				leave(c, cancel)
				<-ended
				for _, d := range b.Databases {
					d.Cut()
				}
				pass(300 * time.Millisecond)
				resume()
				b.Eventually(func() bool { return other.update(headers("write", millis), "other") == nil }, "it serves")
				b.Counters(func(c testbed.Counters) bool { return c.Core.Fronts["flight"].Gone == round+1 })
				require.Equal(t, round+1, sent(b, "hang"))
				cancel()
			}
		})
	}
}
