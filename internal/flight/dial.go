package flight

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/netretry"
)

// keepAliveBySystem leaves the times of TCP's keep-alive to the system.
const keepAliveBySystem = -1 // as net.Dialer.KeepAlive has it: Go does not set them

// dialer opens connections for gRPC as gRPC's own dialer does, and retries a dial that failed for a moment: gRPC, and
// with it the router, would take that for the database's failure.
type dialer struct {
	system    net.Dialer
	backoff   netretry.Backoff
	retryFor  time.Duration      // how long a dial to an unreachable address is retried
	shortages *netretry.Failures // counts and logs dials that failed for a shortage on this machine
}

// newDialer returns a dialer on top of another one; nil is the system's.
func newDialer(bounds limits.Flight, log zerolog.Logger, requests *core.Core, system *net.Dialer) *dialer {
	created := &dialer{
		backoff:  netretry.NewBackoff(bounds.Retry),
		retryFor: bounds.ConnectTimeout,
		shortages: netretry.NewFailures(
			"flight: dial: short of system resources", bounds.LogInterval, log, requests.Now),
	}
	if system != nil {
		created.system = *system
	}
	created.system.KeepAlive = keepAliveBySystem
	created.system.Control = keepAlive(created.system.Control)
	return created
}

// control is a dialer's control function.
type control = func(network, address string, socket syscall.RawConn) error

// keepAlive returns a control function that turns TCP's keep-alive on, as gRPC's own dialer does, and calls the next
// one.
func keepAlive(next control) control {
	return func(network, address string, socket syscall.RawConn) error {
		err := socket.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1) // ignored, as gRPC does
		})
		if err != nil || next == nil {
			return err
		}
		return next(network, address, socket)
	}
}

// dial opens a connection. It retries for as long as this machine lacks something, and sets localShortage meanwhile; it
// retries for a bounded time while the address is unreachable.
func (dialer *dialer) dial(ctx context.Context, address string, localShortage *atomic.Bool) (net.Conn, error) {
	begun := time.Now()
	for failures := 1; ; failures++ {
		opened, err := dialer.system.DialContext(ctx, "tcp", address)
		isShortage := netretry.IsShortage(err)
		localShortage.Store(isShortage)
		if isShortage {
			dialer.shortages.Note(err)
		}
		stillUnreachable := netretry.IsUnreachable(err) && time.Since(begun) < dialer.retryFor
		isRetryable := isShortage || stillUnreachable
		if !isRetryable {
			return opened, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		case <-time.After(dialer.backoff.After(failures)):
		}
	}
}
