package flight

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/peer"
)

// Listen listens on the address of the frontend. The port is shared: at an upgrade the new process listens on it
// beside the old one.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: sharePort}
	return config.Listen(context.Background(), "tcp", address)
}

// sharePort is the control function of a socket that other processes may listen beside.
func sharePort(_, _ string, socket syscall.RawConn) error {
	var shareErr error
	err := socket.Control(func(fd uintptr) {
		shareErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, shareErr)
}

// clientSockets are the open connections of clients, by remote address: that is all that gRPC tells of the connection
// on which a call came.
// The zero value is ready for use.
type clientSockets struct {
	byAddress sync.Map
	accepted  atomic.Int64 // since the start
	open      atomic.Int64
}

// of returns the connection that a call came on, or nil if it is not known (any more).
func (sockets *clientSockets) of(ctx context.Context) *clientSocket {
	client, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	known, _ := sockets.byAddress.Load(client.Addr.String())
	socket, _ := known.(*clientSocket)
	return socket
}

// socketListener notes the connections that it accepts.
type socketListener struct {
	net.Listener
	sockets     *clientSockets
	lingerTimes lingerTimes
}

// Accept implements net.Listener.
func (listener socketListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted, nil
	}
	socket := &clientSocket{TCPConn: tcp, raw: raw, sockets: listener.sockets, lingerTimes: listener.lingerTimes}
	listener.sockets.byAddress.Store(tcp.RemoteAddr().String(), socket)
	listener.sockets.accepted.Add(1)
	listener.sockets.open.Add(1)
	return socket, nil
}
