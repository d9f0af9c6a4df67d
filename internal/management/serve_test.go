package management_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/management"
	"capercove/internal/testbed/failing"
	"capercove/internal/testbed/loopback"
)

// answerTimeout is long enough for each answer that these tests expect.
const answerTimeout = time.Second

// readyPooler is a pooler that reports to be ready. Only its method Figures may be called.
type readyPooler struct{ management.Pooler }

func (readyPooler) Figures() core.Figures { return core.Figures{Ready: true} }

// A failed accept does not end the server, neither for an error that net/http treats as temporary nor for any other.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	listener := loopback.Listen(t)
	listening := &failing.Listener{Listener: listener, Errors: []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ECONNABORTED, syscall.EPERM, syscall.EMFILE,
	}}
	bounds := limits.Management{MaxConnections: 1, RequestTimeout: answerTimeout, CallTimeout: answerTimeout}
	server := management.New(bounds, zerolog.Nop(), readyPooler{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listening) }()
	require.Equal(t, http.StatusOK, loopback.GetStatus(t, listener, "/api/ready"))
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
