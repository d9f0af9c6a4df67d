package flight

import (
	"time"

	"capercove/internal/eventloop"
)

// lingerTimes bound how long Close of a client's connection waits. The zero value does not wait.
type lingerTimes struct {
	total         time.Duration // for the client to receive everything
	afterReceived time.Duration // for the client to close its side, once it has received everything
}

// lingerInterval is how often linger looks.
const lingerInterval = 5 * time.Millisecond

// Close shuts down the sending side, waits as linger does, and closes the connection. It blocks meanwhile, so that the
// end of gRPC's server, and with it that of the process, waits until clients have their answers. Further calls wait for
// the first one and return its result.
func (socket *clientSocket) Close() error {
	socket.closing.Do(func() {
		socket.sockets.byAddress.CompareAndDelete(socket.RemoteAddr().String(), socket)
		_ = socket.CloseWrite() // fails only if the connection has ended
		socket.linger()
		socket.closeErr = socket.TCPConn.Close()
		socket.sockets.open.Add(-1)
	})
	return socket.closeErr
}

// linger waits until the client has closed its side, or has received everything and has had time to close it. A close
// while bytes of the client are unread or still arriving sends a reset, and the kernel then drops everything that the
// client has not received.
func (socket *clientSocket) linger() {
	end := time.Now().Add(socket.lingerTimes.total)
	var received time.Time // when the client had received everything; zero: it has not
	for now := time.Now(); now.Before(end) && socket.state() != clientGone; now = time.Now() {
		switch {
		case socket.unacknowledged() > 0:
		case received.IsZero():
			received = now
		case now.Sub(received) >= socket.lingerTimes.afterReceived:
			return
		}
		time.Sleep(lingerInterval)
	}
}

// unacknowledged returns the number of bytes that the client's system has not confirmed.
func (socket *clientSocket) unacknowledged() (bytes int) {
	// A connection that is closed has none.
	_ = socket.raw.Control(func(fd uintptr) { bytes = eventloop.SendQueue(int(fd)) })
	return bytes
}
