package eventloop

import (
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// CloseNow closes a connection, and calls the Closed method of its Socket before it returns. gnet's own Close would be
// deferred to the next iteration of the loop. A nil connection is ignored. CloseNow must be called on the loop.
func CloseNow(connection gnet.Conn) {
	if connection != nil {
		// The Socket's Closed gets the error; there is nothing else to do about it.
		_ = connection.EventLoop().Close(connection)
	}
}

// peekFlags make recvfrom leave the bytes in the kernel's buffer, and return at once if there are none.
const peekFlags = unix.MSG_PEEK | unix.MSG_DONTWAIT

// recvfromFunc is the signature of unix.Recvfrom.
type recvfromFunc func(descriptor int, buffer []byte, flags int) (n int, from unix.Sockaddr, err error)

// HasNothingToRead reports whether a connection is open with nothing to read: the peer has not closed it, and every
// byte that it sent has been read.
func HasNothingToRead(connection gnet.Conn) bool {
	return hasNothingToRead(connection.Fd(), unix.Recvfrom)
}

// hasNothingToRead reports whether a peek finds a connection open with nothing to read. An interrupted peek is
// repeated, since it shows neither bytes nor a close. Taken for either, it would cause a healthy connection to a
// database to be closed, or the connection of an idle client to stay open.
func hasNothingToRead(descriptor int, recvfrom recvfromFunc) bool {
	var peeked [1]byte
	for {
		_, _, err := recvfrom(descriptor, peeked[:], peekFlags)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
}

// hangUpEvents are the poll events of a connection that the peer has closed or reset.
const hangUpEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// IsClosedByPeer reports whether the peer has closed or reset the connection of a socket, even if earlier bytes of the
// peer are still unread. It returns false if the peek or the poll is interrupted; the loop then learns of the close a
// little later.
func IsClosedByPeer(descriptor int) bool {
	var peeked [1]byte
	n, _, err := unix.Recvfrom(descriptor, peeked[:], peekFlags)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return false
	case err != nil || n == 0:
		return true
	}
	// A peek does not show a close that follows unread bytes; poll does.
	poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&hangUpEvents != 0
}

// WriteNow writes to a socket as many bytes as the kernel takes at once, and returns their number.
func WriteNow(descriptor int, data []byte) (int, error) {
	for {
		n, err := unix.Write(descriptor, data)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		default:
			return n, nil
		}
	}
}

// SendQueue returns the number of bytes in the kernel's send queue of a TCP socket: those that the system of the peer
// has not confirmed. A close may lose all of them. After the sending side has been shut down, the end of the connection
// counts as one byte. If the kernel does not report the size of its queue, the queue counts as empty.
func SendQueue(descriptor int) int {
	queued, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return queued
}

// SinceLastData returns the time since the kernel received the last bytes of a connection, whether or not they have
// been read, in whole milliseconds. ok is false if the kernel does not report the time.
func SinceLastData(connection gnet.Conn) (age time.Duration, ok bool) {
	info, err := unix.GetsockoptTCPInfo(connection.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
