package server

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// hungUp tells whether the peer has closed or reset a connection, also while bytes that it sent before are still
// unread.
func hungUp(c gnet.Conn) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(c.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	poll := []unix.PollFd{{Fd: int32(c.Fd()), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(poll, 0) // a peek alone sees no end behind unread bytes
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// sinceLastData returns how long ago the last bytes of a connection came to this machine, read or not; ok is false
// if the system does not tell.
func sinceLastData(c gnet.Conn) (age time.Duration, ok bool) {
	info, err := unix.GetsockoptTCPInfo(c.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
