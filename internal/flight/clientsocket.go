package flight

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/eventloop"
)

// clientSocket is a client's connection that reports whether gRPC has handled all that came on it, such as the
// cancelling of a call. It is safe for concurrent use.
type clientSocket struct {
	*net.TCPConn
	raw     syscall.RawConn
	sockets *clientSockets // that it is removed from when it closes

	lingerTimes lingerTimes
	closing     sync.Once
	closeErr    error // of the close; set by closing

	mu      sync.Mutex // locked over each read, so that reading and the kernel's buffer are seen together
	reading readState
}

// readState is how far gRPC has got with what came on a connection.
type readState uint8

// The states of reading.
const (
	// readBusy: gRPC handles what it has read, or is about to read.
	readBusy readState = iota
	// readIdle: gRPC has handled all that it has read, and waits for more.
	readIdle
	// readEnded: the peer's end has been read. It is the last state.
	readEnded
)

// String returns the name of the state.
func (state readState) String() string { return [...]string{"busy", "idle", "ended"}[state] }

// after returns the state after a read of at most size bytes that returned n and an error.
func (state readState) after(n, size int, err error) readState {
	switch {
	case state == readEnded, err == nil && isEndOfStream(n, size):
		return readEnded
	case errors.Is(err, unix.EAGAIN):
		return readIdle
	}
	return readBusy
}

// isEndOfStream reports whether a read of at most size bytes that succeeded with n shows that the peer has closed.
func isEndOfStream(n, size int) bool { return n == 0 && size > 0 }

// clientState is what a connection shows of its client.
type clientState uint8

// The states of a client.
const (
	// clientPending: something that the client has sent is not handled yet.
	clientPending clientState = iota
	// clientHandled: all that the client has sent is handled.
	clientHandled
	// clientGone: the client has closed the connection.
	clientGone
)

// String returns the name of the state.
func (state clientState) String() string { return [...]string{"pending", "handled", "gone"}[state] }

// Read reads as net.TCPConn does.
func (socket *clientSocket) Read(buffer []byte) (n int, err error) {
	var readErr error
	err = socket.raw.Read(func(fd uintptr) (done bool) {
		socket.mu.Lock()
		defer socket.mu.Unlock()
		n, readErr = ignoringEINTR(func() (int, error) { return unix.Read(int(fd), buffer) })
		socket.reading = socket.reading.after(n, len(buffer), readErr)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		local, remote := socket.LocalAddr(), socket.RemoteAddr()
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: local, Addr: remote, Err: readErr}
	case isEndOfStream(n, len(buffer)):
		return 0, io.EOF
	}
	return n, nil
}

// state reports whether the client has closed the connection, and whether all else that came on it has been handled.
func (socket *clientSocket) state() (state clientState) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	err := socket.raw.Control(func(fd uintptr) { state = socket.peek(int(fd)) })
	if err != nil || socket.reading == readEnded {
		return clientGone
	}
	return state
}

// peek looks at what the kernel holds for the connection, without taking it. The caller holds the mutex.
func (socket *clientSocket) peek(fd int) clientState {
	var next [1]byte
	n, err := ignoringEINTR(func() (int, error) {
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
	switch {
	case errors.Is(err, unix.EAGAIN) && socket.reading == readIdle:
		return clientHandled
	case errors.Is(err, unix.EAGAIN):
		return clientPending
	case n > 0 && !eventloop.IsClosedByPeer(fd): // the end may lie behind what is unread
		return clientPending
	}
	return clientGone
}

// sinceLastData returns how long ago the last bytes came to this machine; 0 if the system does not know.
func (socket *clientSocket) sinceLastData() (age time.Duration) {
	if socket == nil {
		return 0
	}
	// A connection that is closed has no such time.
	_ = socket.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// settleInterval is how often settle looks.
const settleInterval = 500 * time.Microsecond

// settle waits until all that came from the client by now has been handled, but not longer than a limit: the cancelling
// of a call may lie unread where the process was not scheduled.
func (socket *clientSocket) settle(ctx context.Context, limit time.Duration) {
	if socket == nil {
		return
	}
	begun := time.Now()
	for ctx.Err() == nil && time.Since(begun) < limit {
		if socket.state() != clientPending {
			return
		}
		time.Sleep(settleInterval)
	}
}

// ignoringEINTR repeats a system call while a signal interrupts it.
func ignoringEINTR(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
