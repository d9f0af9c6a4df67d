package flight

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/peer"
)

// clientSockets are the open connections of clients, by remote address: gRPC tells a call no more of its connection.
type clientSockets struct{ byAddr sync.Map }

// of returns the connection that a call came on, nil if it is not known any more.
func (s *clientSockets) of(ctx context.Context) *clientSocket {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	c, _ := s.byAddr.Load(p.Addr.String())
	socket, _ := c.(*clientSocket)
	return socket
}

// socketListener notes the connections that it accepts.
type socketListener struct {
	net.Listener
	sockets *clientSockets
}

func (l socketListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c, nil
	}
	socket := &clientSocket{TCPConn: tcp, raw: raw, sockets: l.sockets}
	l.sockets.byAddr.Store(tcp.RemoteAddr().String(), socket)
	return socket, nil
}

// clientSocket is a client's connection that tells whether gRPC has taken in all that came on it, such as the
// cancelling of a call.
type clientSocket struct {
	*net.TCPConn
	raw     syscall.RawConn
	sockets *clientSockets

	mu    sync.Mutex // held over each read, so that idle and what the kernel holds belong together
	idle  bool       // gRPC has handled all that it has read, and waits for more
	ended bool       // the peer's end has been read
}

// Read reads as net.TCPConn does.
func (c *clientSocket) Read(p []byte) (n int, err error) {
	var failed error
	err = c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, failed = ignoringEINTR(func() (int, error) { return unix.Read(int(fd), p) })
		c.idle = failed == unix.EAGAIN
		c.ended = c.ended || n == 0 && len(p) > 0 && failed == nil
		return !c.idle
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failed}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// Close closes the connection.
func (c *clientSocket) Close() error {
	c.sockets.byAddr.CompareAndDelete(c.RemoteAddr().String(), c)
	return c.TCPConn.Close()
}

// look tells whether the peer has closed the connection, and whether all else that came on it has been handled.
func (c *clientSocket) look() (left, handled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left = c.ended
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := ignoringEINTR(func() (int, error) {
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return n, err
		})
		left = left || n == 0 && err == nil || err != nil && err != unix.EAGAIN
		handled = err == unix.EAGAIN && c.idle
	})
	return left || err != nil, handled
}

// sinceLastData returns how long ago the last bytes came to this machine; 0 if the system does not tell.
func (c *clientSocket) sinceLastData() (age time.Duration) {
	if c == nil {
		return 0
	}
	// A connection that is closed tells nothing.
	_ = c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// settle waits until all that came by now from the client has been handled, for so long at most: a call's cancelling
// may lie unread where the process was not let run.
func (c *clientSocket) settle(ctx context.Context, most time.Duration) {
	if c == nil {
		return
	}
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < most; time.Sleep(settleStep) {
		if left, handled := c.look(); left || handled {
			return
		}
	}
}

// settleStep is how often settle looks.
const settleStep = 500 * time.Microsecond

// ignoringEINTR makes a system call again while a signal interrupts it.
func ignoringEINTR(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
	}
}
