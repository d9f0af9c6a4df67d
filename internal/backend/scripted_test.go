package backend_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/loopback"
)

// scriptedDatabase is a database that the test drives step by step: it reads and answers nothing until the test calls
// answerUntil.
type scriptedDatabase struct {
	t           *testing.T
	address     string
	connections chan net.Conn // in the order in which the program opened them
}

func newScriptedDatabase(t *testing.T) *scriptedDatabase {
	t.Helper()
	listener := loopback.Listen(t)
	database := &scriptedDatabase{
		t:           t,
		address:     listener.Addr().String(),
		connections: make(chan net.Conn, 64),
	}
	go loopback.Accept(listener, func(connection net.Conn) {
		t.Cleanup(func() { _ = connection.Close() }) // the test may have closed it
		database.connections <- connection
	})
	return database
}

// withAddress changes the address of the testbed's database with the given index.
func withAddress(address string, index int) testbed.Option {
	return func(bed *testbed.Bed) { bed.Known[index].Addr = address }
}

// replacing replaces the testbed's database with the given index by this one.
func (database *scriptedDatabase) replacing(index int) testbed.Option {
	return withAddress(database.address, index)
}

// nextConnection waits for the next connection that the program opens and returns it.
func (database *scriptedDatabase) nextConnection() net.Conn {
	database.t.Helper()
	select {
	case connection := <-database.connections:
		require.NoError(database.t, connection.SetDeadline(time.Now().Add(testbed.Timeout)))
		return connection
	case <-time.After(testbed.Timeout):
		require.FailNow(database.t, "no connection")
		return nil
	}
}

// answerUntil answers the startup message and all statements of a connection as a primary does. It returns the
// statements up to the first one that contains the text last; health checks are left out.
func (database *scriptedDatabase) answerUntil(connection net.Conn, last string) (got []string) {
	database.t.Helper()
	session, buffer := pg.NewSession(maxMessageBytes), make([]byte, 64<<10)
	for {
		n, err := connection.Read(buffer)
		require.NoError(database.t, err, "after %q", got)
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			reply := command.Reply
			if command.Query != "" {
				reply = primaryAnswer(loadReport())
			}
			_, err := connection.Write(reply)
			require.NoError(database.t, err)
			if command.Query != "" && command.Query != "SHOW stats" {
				got = append(got, command.Query)
			}
			if strings.Contains(command.Query, last) {
				return got
			}
		}
	}
}

// maxMessageBytes is the length of the longest message that the databases of these tests accept.
const maxMessageBytes = 1 << 20

// primaryAnswer returns the answer of a primary with a value.
func primaryAnswer(value string) []byte {
	return pg.AppendValue(pg.AppendParameter(nil, "mode", "read-write"), value)
}

// loadReport returns a primary's answer to a health check. Its replication position is the current time.
func loadReport() string {
	position := clock.Monotonic()() / time.Second // Unix time in seconds
	return fmt.Sprintf("x0=%d,x1=1", int64(position))
}
