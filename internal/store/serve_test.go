package store

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
)

// failingListener fails the first accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// An accept that fails does not end the store's API, whether net/http takes the error for temporary or not.
func TestServeGoesOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := newReplicated(Config{}, "a", limits.For(limits.Machine{MemoryMB: 64, Sockets: 512}, 0, 0, 0), zerolog.Nop())
	r.serveOn(&failingListener{Listener: l, errs: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EPERM}})
	defer r.http.Close()
	answer, err := http.Get("http://" + l.Addr().String() + "/none") // a path that needs no raft
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusNotFound, answer.StatusCode)
}
