// Package net is the thin driver between sockets and the state machines of package pg. One gnet event loop
// carries the clients' connections, the databases' and the core, so nothing in it needs a lock.
package net

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/internal/limits"
)

// Driver runs the event loop.
type Driver struct {
	gnet.BuiltinEventEngine
	Core  *core.Core
	Front *Front
	Pool  *Pool

	limits  limits.Limits
	log     zerolog.Logger
	listen  string
	ready   func() // called on the loop once, before the first client is served
	engine  gnet.Engine
	loop    gnet.EventLoop
	started chan struct{}
	ticking atomic.Bool
}

// New returns a driver that will listen on an address and call ready on its loop once that runs.
func New(listen string, l limits.Limits, log zerolog.Logger, ready func()) *Driver {
	return &Driver{listen: listen, limits: l, log: log, ready: ready, started: make(chan struct{})}
}

// Run serves until Stop.
func (d *Driver) Run() error {
	// With reuse of the port and one loop, gnet accepts on that loop too, with no second goroutine. The address
	// must not be tried beforehand without reuse: connections of a program that has just ended still hold it.
	return gnet.Run(d, "tcp://"+d.listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(quiet{d.log}))
}

// OnBoot connects to the listener once: gnet hands out its loop only with a connection.
func (d *Driver) OnBoot(e gnet.Engine) gnet.Action {
	d.engine = e
	go func() {
		for {
			if c, err := net.DialTimeout("tcp", d.listen, time.Second); err == nil {
				<-d.started
				c.Close()
				break
			}
		}
		for range time.Tick(d.limits.Tick) {
			if d.ticking.CompareAndSwap(false, true) { // Against ticks piling up behind a busy loop.
				d.Do(d.tick)
			}
		}
	}()
	return gnet.None
}

func (d *Driver) tick() {
	d.ticking.Store(false)
	d.Core.Tick()
}

// Do runs a function on the loop, from any goroutine.
func (d *Driver) Do(f func()) {
	<-d.started
	err := d.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
	if err != nil && !errors.Is(err, gneterrors.ErrEngineInShutdown) {
		d.log.Error().Err(err).Msg("event loop")
	}
}

// Stop ends Run.
func (d *Driver) Stop() { go d.engine.Stop(context.Background()) }

// socket is what a gnet connection's context holds.
type socket interface {
	traffic(data []byte)
	closed(err error)
}

func (d *Driver) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if d.loop == nil {
		d.loop = c.EventLoop()
		close(d.started)
		d.ready()
	}
	if l, ok := c.Context().(*link); ok {
		return l.opened(c), gnet.None
	}
	c.SetContext(d.Front.accept(c))
	return nil, gnet.None
}

func (d *Driver) OnTraffic(c gnet.Conn) gnet.Action {
	data, _ := c.Next(-1)
	if s, ok := c.Context().(socket); ok {
		s.traffic(data)
	}
	return gnet.None
}

func (d *Driver) OnClose(c gnet.Conn, err error) gnet.Action {
	if s, ok := c.Context().(socket); ok {
		s.closed(err)
	}
	return gnet.None
}

// closeNow closes a connection before it returns; gnet's own Close waits for the loop's next turn.
func closeNow(c gnet.Conn) {
	if c != nil {
		c.EventLoop().Close(c)
	}
}

// silent tells whether a connection is open with nothing to read: the peer has neither closed nor spoken.
func silent(c gnet.Conn) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(c.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// quiet passes gnet's log on.
type quiet struct{ log zerolog.Logger }

func (q quiet) Debugf(string, ...any)          {}
func (q quiet) Infof(format string, a ...any)  { q.log.Debug().Msgf(format, a...) }
func (q quiet) Warnf(format string, a ...any)  { q.log.Warn().Msgf(format, a...) }
func (q quiet) Errorf(format string, a ...any) { q.log.Error().Msgf(format, a...) }
func (q quiet) Fatalf(format string, a ...any) { q.log.Fatal().Msgf(format, a...) }
