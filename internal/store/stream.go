package store

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// stream is what raft's transport stands on. It dials from the own address, so that peers, and relays before them, can tell who it is.
type stream struct {
	net.Listener
	own    *net.TCPAddr
	public net.Addr
}

// listen binds one address; peers know this pooler by the public one.
func listen(bind, public string) (*stream, error) {
	l, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveTCPAddr("tcp", public)
	if err != nil {
		l.Close()
		return nil, err
	}
	return &stream{l, &net.TCPAddr{IP: l.Addr().(*net.TCPAddr).IP}, at}, nil
}

func (s *stream) Addr() net.Addr { return s.public }

func (s *stream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: s.own}).Dial("tcp", string(to))
}
