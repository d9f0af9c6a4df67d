package backend_test

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/inprocess"
	"capercove/internal/testbed/loopback"
)

// withKeyedWrites makes databases discard repeats of the class "write" within a window.
func withKeyedWrites(bed *testbed.Bed) {
	bed.Settings = strings.Replace(bed.Settings, `"idempotency":"unsafe"`,
		`"idempotency":"keyed","group":"all","dedupWindowMs":800`, 1)
}

// dedupWindow is the window of withKeyedWrites, and slack is how long after it the protocol still allows a copy.
const (
	dedupWindow = 800 * time.Millisecond
	slack       = 200 * time.Millisecond
)

// delayingPrimary is a primary that resets the connection on which a write arrives for the first time. It delays the
// later connections until the window of that write is over.
type delayingPrimary struct {
	address string
	delay   delayedStep
	over    chan struct{} // closed when the window of the first write is over, with its slack

	mutex    sync.Mutex
	arrivals []time.Time // of whole copies of the write
}

// delayedStep is what a delayingPrimary delays.
type delayedStep bool

const (
	delaysStartup   delayedStep = false // the answer to the startup
	delaysStatement delayedStep = true  // the reading of a statement of which a part has arrived
)

func newDelayingPrimary(t *testing.T, delay delayedStep) *delayingPrimary {
	t.Helper()
	listener := inprocess.ListenWithSmallBuffer(t)
	primary := &delayingPrimary{address: listener.Addr().String(), delay: delay, over: make(chan struct{})}
	go loopback.Accept(listener, func(connection net.Conn) { go primary.serve(connection.(*net.TCPConn)) })
	return primary
}

// copies returns the number of whole copies of the write that have arrived, and how long after the first one the last
// one came.
func (primary *delayingPrimary) copies() (count int, after time.Duration) {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	count = len(primary.arrivals)
	if count > 0 {
		after = primary.arrivals[count-1].Sub(primary.arrivals[0])
	}
	return count, after
}

// noteWrite records the arrival of a copy of the write, and reports whether it is the first one.
func (primary *delayingPrimary) noteWrite() (isFirst bool) {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.arrivals = append(primary.arrivals, time.Now())
	if len(primary.arrivals) > 1 {
		return false
	}
	time.AfterFunc(dedupWindow+slack, func() { close(primary.over) })
	return true
}

// serve answers a connection until it ends.
func (primary *delayingPrimary) serve(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }() // the program may have closed it
	session, buffer := pg.NewSession(maxMessageBytes), make([]byte, 1<<10)
	if count, _ := primary.copies(); count > 0 && primary.delay == delaysStartup {
		<-primary.over
	}
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			if !primary.answer(connection, command) {
				return
			}
		}
		count, _ := primary.copies()
		if count > 0 && session.Buffered() > longStatement && primary.delay == delaysStatement {
			<-primary.over
		}
	}
}

// answer answers a command. It returns false if it has reset the connection instead.
func (primary *delayingPrimary) answer(connection *net.TCPConn, command pg.Command) bool {
	reply := command.Reply
	if command.Query != "" {
		reply = primaryAnswer(loadReport())
	}
	if len(command.Query) > longStatement && primary.noteWrite() {
		_ = connection.SetLinger(0) // the close resets the connection
		return false
	}
	_, err := connection.Write(reply)
	return err == nil
}

// Guards against a copy of a keyed write that arrives after its window: the connection that is to carry it comes up
// late, or the database takes the statement late from a socket that has no room for all of it. The write is not sent
// again then.
func TestNoCopyOfWriteArrivesAfterItsWindow(t *testing.T) {
	program := withSmallSendBuffer(t)
	for name, delay := range map[string]delayedStep{
		"the connection comes up late": delaysStartup, "the statement waits for room": delaysStatement,
	} {
		t.Run(name, func(t *testing.T) {
			primary := newDelayingPrimary(t, delay)
			bed := testbed.Start(t, testbed.WithProgram(program), withAddress(primary.address, 0),
				testbed.WithLongDialTimeout(true), withKeyedWrites)
			reply := bed.Client().Ask(bed.Statement("write", strings.Repeat("ab", 60<<10), 3*dedupWindow))
			require.NotEmpty(t, reply.Code, "the write that may have run is not served")
			count, after := primary.copies()
			require.Equal(t, 1, count, "a copy has arrived %v after the first, the window is %v", after, dedupWindow)
		})
	}
}
