package store

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer by TCP. It dials from the address on which it listens, by which peers, and
// relays before them, identify this pooler.
type streamLayer struct {
	net.Listener
	source     *net.TCPAddr
	advertised net.Addr
}

// listen listens on one address; peers know this pooler by the public one.
func listen(bind, public string) (*streamLayer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", bind)
	if err != nil {
		return nil, err
	}
	advertised, err := net.ResolveTCPAddr("tcp", public)
	if err != nil {
		_ = listener.Close() // the address is the error to report
		return nil, err
	}
	source := &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}
	return &streamLayer{Listener: listener, source: source, advertised: advertised}, nil
}

// Addr implements net.Listener by the address that peers know.
func (s *streamLayer) Addr() net.Addr { return s.advertised }

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: s.source}).Dial("tcp", string(to))
}
