package store

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer over TCP. It dials from the IP address on which it listens, because peers,
// and relays in front of them, identify this pooler by that address.
type streamLayer struct {
	net.Listener
	source     *net.TCPAddr
	advertised net.Addr
}

// listen listens on the bind address. Peers reach this pooler at the public address.
func listen(bind, public string) (*streamLayer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", bind)
	if err != nil {
		return nil, err
	}
	advertised, err := net.ResolveTCPAddr("tcp", public)
	if err != nil {
		_ = listener.Close() // err is the error to report
		return nil, err
	}
	source := &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}
	return &streamLayer{Listener: listener, source: source, advertised: advertised}, nil
}

// Addr implements net.Listener. It returns the address at which peers reach this pooler.
func (s *streamLayer) Addr() net.Addr { return s.advertised }

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: s.source}).Dial("tcp", string(to))
}
