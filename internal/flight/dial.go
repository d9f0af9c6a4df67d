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

// dials opens connections for gRPC as its own dialer does, and makes a dial again that failed for a moment: gRPC would
// take it for the database's failure, and so would the router.
type dials struct {
	dialer  net.Dialer
	backoff netretry.Backoff
	within  time.Duration // a dial is made again for so long
	short   *netretry.Failures
}

func newDials(l limits.Limits, log zerolog.Logger, c *core.Core, dialer *net.Dialer) dials {
	now := func() time.Duration { return c.Now() }
	d := dials{backoff: netretry.BackoffOf(l), within: l.ConnectTimeout,
		short: netretry.NewFailures("flight: dial: short of system resources", l.LogEvery, log, now)}
	if dialer != nil {
		d.dialer = *dialer
	}
	d.dialer.KeepAlive = -1 // as the system has it, see keepAlive
	d.dialer.Control = keepAlive(d.dialer.Control)
	return d
}

// control is a dialer's control function.
type control = func(network, address string, c syscall.RawConn) error

// keepAlive turns TCP's keep-alive on with the system's times, as gRPC's own dialer does, before a dialer's control
// function.
func keepAlive(next control) control {
	return func(network, address string, c syscall.RawConn) error {
		err := c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1) })
		if err != nil || next == nil {
			return err
		}
		return next(network, address, c)
	}
}

// dial opens a connection. While it is made again as this machine lacks something, short is true.
func (d *dials) dial(ctx context.Context, addr string, short *atomic.Bool) (net.Conn, error) {
	begun := time.Now()
	for failures := 1; ; failures++ {
		c, err := d.dialer.DialContext(ctx, "tcp", addr)
		lacks := netretry.IsShortage(err)
		if lacks {
			d.short.Note(err)
		}
		short.Store(lacks)
		if err == nil || !lacks && (!netretry.IsUnreachable(err) || time.Since(begun) >= d.within) {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		case <-time.After(d.backoff.After(failures)):
		}
	}
}
