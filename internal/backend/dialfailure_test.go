package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/netretry"
	"capercove/routing"
)

// connectError returns the error of a dialer whose connect call fails with the given errno.
func connectError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// The error of a dial determines the cause of the failure and the status of the job that ends with it.
func TestDialErrorDeterminesFailureAndStatus(t *testing.T) {
	for name, test := range map[string]struct {
		err     error
		failure dialFailure
		status  routing.Status
	}{
		"no descriptor":     {connectError(syscall.EMFILE), dialLacksResource, routing.NotSent},
		"no port":           {connectError(syscall.EADDRNOTAVAIL), dialLacksResource, routing.NotSent},
		"event loop":        {fmt.Errorf("loop: %w", netretry.ErrShortage), dialLacksResource, routing.NotSent},
		"no route":          {connectError(syscall.EHOSTUNREACH), dialUnreachable, routing.ConnectFailed},
		"firewall":          {connectError(syscall.EPERM), dialUnreachable, routing.ConnectFailed},
		"refused":           {connectError(syscall.ECONNREFUSED), dialRefused, routing.ConnectRefused},
		"no answer":         {connectError(syscall.ETIMEDOUT), dialFailedOtherwise, routing.ConnectFailed},
		"reset":             {connectError(syscall.ECONNRESET), dialFailedOtherwise, routing.ConnectFailed},
		"closed":            {io.EOF, dialFailedOtherwise, routing.ConnectFailed},
		"closed locally":    {nil, dialFailedOtherwise, routing.ConnectFailed},
		"anything else":     {errors.New("something"), dialFailedOtherwise, routing.ConnectFailed},
		"shortage, wrapped": {fmt.Errorf("dial: %w", connectError(syscall.ENOMEM)), dialLacksResource, routing.NotSent},
	} {
		require.Equal(t, test.failure, classifyDialFailure(test.err), name)
		require.Equal(t, test.status, test.failure.status(), name)
	}
	require.Equal(t, routing.ConnectFailed, noDialFailure.status(), "no connection was established in time")
}

// Each failure has a distinct name. A value beyond the defined ones is printed as a number.
func TestDialFailureNamesAreDistinct(t *testing.T) {
	requireDistinctNames(t, dialFailureCount)
	require.Equal(t, "unreachable", dialUnreachable.String())
	require.Equal(t, "dialFailure(5)", dialFailureCount.String())
}
