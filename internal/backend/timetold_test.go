package backend_test

import (
	"net"
	"regexp"
	"strconv"
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

// readPause is how long a pausingPrimary reads nothing.
const readPause = 700 * time.Millisecond

// timeTold finds the time that a statement tells its database to be left, in milliseconds.
var timeTold = regexp.MustCompile(`,d=(\d+)`)

// pausingPrimary is a primary that reads nothing for the readPause, once a part of the first long statement has come.
type pausingPrimary struct {
	address string
	paused  sync.Once

	mutex    sync.Mutex
	arrivals []arrival
}

// arrival is a whole long statement.
type arrival struct {
	at   time.Time
	told time.Duration // to be left
}

func newPausingPrimary(t *testing.T) *pausingPrimary {
	t.Helper()
	listener := inprocess.ListenWithSmallBuffer(t)
	primary := &pausingPrimary{address: listener.Addr().String()}
	go loopback.Accept(listener, func(connection net.Conn) { go primary.serve(connection) })
	return primary
}

// serve answers a connection until it ends.
func (primary *pausingPrimary) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the program may have closed it
	session, buffer := pg.NewSession(maxMessageBytes), make([]byte, 1<<10)
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			reply := command.Reply
			if command.Query != "" {
				reply = primaryAnswer(loadReport())
				primary.note(command.Query)
			}
			if _, err := connection.Write(reply); err != nil {
				return
			}
		}
		if session.Buffered() > longStatement {
			primary.paused.Do(func() { testbed.Pass(readPause) })
		}
	}
}

// note records a long statement.
func (primary *pausingPrimary) note(query string) {
	match := timeTold.FindStringSubmatch(query)
	if len(query) < longStatement || match == nil {
		return
	}
	milliseconds, _ := strconv.Atoi(match[1]) // digits
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.arrivals = append(primary.arrivals, arrival{time.Now(), time.Duration(milliseconds) * time.Millisecond})
}

// Guards against a database that is told of more time than is left: a part of the statement waits in a full socket, and
// arrives long after the time was written.
func TestDatabaseIsToldOfTimeThatIsLeft(t *testing.T) {
	const wait, allowedSlack = 3 * time.Second, 150 * time.Millisecond
	primary := newPausingPrimary(t)
	bed := testbed.Start(t, testbed.WithProgram(withSmallSendBuffer(t)), withAddress(primary.address, 0),
		testbed.WithLongDialTimeout(true))
	begun := time.Now()
	reply := bed.Client().Ask(bed.Statement("write", strings.Repeat("ab", 60<<10), wait))
	require.Empty(t, reply.Code, "the write is served")
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	require.NotEmpty(t, primary.arrivals)
	for _, each := range primary.arrivals {
		left := wait - each.at.Sub(begun)
		require.LessOrEqual(t, each.told, left+allowedSlack)
	}
}
