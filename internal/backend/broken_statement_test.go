package backend_test

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/inprocess"
	"capercove/internal/testbed/loopback"
)

// longStatement is a length in bytes that only the long write of the test exceeds.
const longStatement = 512

// breakingDatabase is a primary that calls breakOff when it has read a part of a long statement for the first time. Its
// receive buffer is small, so the pooler cannot send the rest of the statement yet.
type breakingDatabase struct {
	address  string
	breakOff func(connection *net.TCPConn) error
	broken   chan error   // the result of breakOff
	begun    atomic.Int32 // number of long statements of which a part has arrived
	complete atomic.Int32 // number of complete long statements
}

func newBreakingDatabase(t *testing.T, breakOff func(connection *net.TCPConn) error) *breakingDatabase {
	t.Helper()
	listener := inprocess.ListenWithSmallBuffer(t)
	database := &breakingDatabase{
		address:  listener.Addr().String(),
		breakOff: breakOff,
		broken:   make(chan error, 1),
	}
	go loopback.Accept(listener, func(connection net.Conn) { go database.serve(connection.(*net.TCPConn)) })
	return database
}

// serve answers all statements of a connection until it is closed.
func (database *breakingDatabase) serve(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }() // breakOff may have closed it
	session := pg.NewSession(maxMessageBytes)
	buffer := make([]byte, 1<<10)
	isInsideStatement := false
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			isInsideStatement = false
			database.answer(connection, command)
		}
		if session.Buffered() > longStatement && !isInsideStatement {
			isInsideStatement = true
			if database.begun.Add(1) == 1 {
				database.broken <- database.breakOff(connection)
			}
		}
	}
}

// answer answers one command and counts complete long statements.
func (database *breakingDatabase) answer(connection *net.TCPConn, command pg.Command) {
	if len(command.Query) > longStatement {
		database.complete.Add(1)
	}
	reply := command.Reply
	if command.Query != "" {
		reply = primaryAnswer(loadReport())
	}
	_, _ = connection.Write(reply) // the program or breakOff may have closed it
}

// withSmallSendBuffer builds the program with small send buffers towards databases: the rest of a statement has to
// wait.
func withSmallSendBuffer(t *testing.T) string {
	t.Helper()
	const dial = `connection, err := l.dialer.DialContext(ctx, "tcp", address)`
	const shrink = `connection.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(4 << 10)`
	return testbed.Variant(t, testbed.Edit{
		File: "internal/eventloop/loop.go",
		Old:  dial,
		New:  dial + "; if err == nil { " + shrink + " }",
	})
}

// A database answers, resets the connection or shuts down its sending side when it has received only a part of a write.
// Such an answer is not passed to the client. The rest of the write may still be sent: the write may have run, and it
// is not retried. After a reset or a shutdown the rest is not sent, even if the database continues to read: the write
// never ran, and it is retried.
func TestPartlySentWriteIsRetriedOnlyIfItNeverRan(t *testing.T) {
	program := withSmallSendBuffer(t)
	for name, test := range map[string]struct {
		breakOff func(connection *net.TCPConn) error
		begun    int // expected number of times that the statement begins to arrive
		code     string
	}{
		"answers": {
			breakOff: func(connection *net.TCPConn) error {
				_, err := connection.Write(primaryAnswer("of another"))
				return err
			},
			begun: 1,
			code:  pg.CodeSystemError,
		},
		"resets": {
			breakOff: func(connection *net.TCPConn) error {
				return errors.Join(connection.SetLinger(0), connection.Close())
			},
			begun: 2,
		},
		"ends": {breakOff: (*net.TCPConn).CloseWrite, begun: 2},
	} {
		t.Run(name, func(t *testing.T) {
			database := newBreakingDatabase(t, test.breakOff)
			bed := testbed.Start(t,
				testbed.WithProgram(program), withAddress(database.address, 0), testbed.WithLongDialTimeout(true))
			reply := bed.Client().Ask(bed.Statement("write", strings.Repeat("ab", 60<<10), testbed.Timeout))
			require.Equal(t, test.code, reply.Code, "%q", reply.Value)
			require.NoError(t, <-database.broken)
			require.EqualValues(t, test.begun, database.begun.Load())
			if test.code == "" {
				require.EqualValues(t, 1, database.complete.Load(), "the complete statement arrives once")
			}
			short := bed.Client().Ask(bed.Statement("write", "short", testbed.Timeout))
			require.NotEmpty(t, short.Value, "the database is still in use")
		})
	}
}
