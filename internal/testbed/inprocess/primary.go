package inprocess

import (
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"capercove/internal/pg"
	"capercove/internal/testbed/loopback"
)

const (
	smallReceiveBuffer = 4 << 10 // bytes that the system holds of what a connection receives
	longestStatement   = 1 << 20 // bytes
)

// Primary is a database that answers all statements and notes them.
type Primary struct {
	Address string

	mutex      sync.Mutex
	statements []string
}

// NewPrimary starts a database that ends with the test. Each new connection is given to before, which may keep it
// from going on.
func NewPrimary(t *testing.T, before func(connection net.Conn)) *Primary {
	t.Helper()
	listener := ListenWithSmallBuffer(t)
	primary := &Primary{Address: listener.Addr().String()}
	go loopback.Accept(listener, func(connection net.Conn) { go primary.serve(connection, before) })
	return primary
}

// ListenWithSmallBuffer listens on loopback until the test ends. The system holds so little of what its connections
// receive that a long statement has to wait.
func ListenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	return loopback.ListenWith(t, net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return SetSocketOption(socket, unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer)
	}})
}

// serve answers the statements of a connection until it ends.
func (primary *Primary) serve(connection net.Conn, before func(connection net.Conn)) {
	defer func() { _ = connection.Close() }()
	session, buffer := pg.NewSession(longestStatement), make([]byte, 4<<10)
	for ready := false; ; {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			_, _ = connection.Write(primary.answer(command)) // the next read ends with the same error
		}
		if !ready && session.Started() {
			ready = true
			before(connection)
		}
	}
}

// answer is the answer to a command; a statement is noted.
func (primary *Primary) answer(command pg.Command) []byte {
	if command.Query == "" {
		return command.Reply
	}
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.statements = append(primary.statements, command.Query)
	return pg.AppendValue(pg.AppendParameter(nil, "mode", "read-write"), "value")
}

// Count is how many statements with a text have come.
func (primary *Primary) Count(text string) (n int) {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	for _, statement := range primary.statements {
		if strings.Contains(statement, text) {
			n++
		}
	}
	return n
}

// AtOnce lets a connection to a Primary go on at once.
func AtOnce(net.Conn) {}

// SetSocketOption sets an option of a socket.
func SetSocketOption(socket syscall.RawConn, level, option, value int) (err error) {
	failed := socket.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), level, option, value)
	})
	return errors.Join(failed, err)
}
