// Package server moves bytes between sockets and the state machines of package pg. One gnet event loop
// serves the clients' connections, the databases' and the core, so nothing in it needs a lock.
package server

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/netretry"
)

// EventLoop runs the event loop.
type EventLoop struct {
	gnet.BuiltinEventEngine
	Core  *core.Core
	Front *Front
	Pool  *Pool

	limits    limits.Limits
	log       zerolog.Logger
	listener  *netretry.Listener
	listen    func() error // begins to listen
	accepts   *netretry.Failures
	backoff   netretry.Backoff
	dialer    *net.Dialer
	client    *gnet.Client // gnet's name for a loop that takes connections as they are, and has no listener
	loop      gnet.EventLoop
	started   chan struct{}
	stopped   chan struct{}
	failed    chan error  // why it cannot begin to serve
	alarm     *time.Timer // set for the wheel's next timer
	ticking   atomic.Bool
	due       time.Duration // when the next tick is to come
	used      time.Duration // CPU time at the last one
	accepting sync.WaitGroup
}

// New returns an event loop for clients of a listener. The dialer makes all connections to databases; nil is the
// system's.
func New(l limits.Limits, log zerolog.Logger, listener net.Listener, dialer *net.Dialer) *EventLoop {
	d := &EventLoop{limits: l, log: log, backoff: netretry.BackoffOf(l), dialer: dialer,
		listen: func() error { return nil }, started: make(chan struct{}), stopped: make(chan struct{}),
		failed: make(chan error, 1)}
	if dialer == nil {
		d.dialer = &net.Dialer{}
	}
	if lazy, ok := listener.(*lazyListener); ok {
		d.listen = lazy.Listen
	}
	d.accepts = netretry.NewFailures("accept", l.LogEvery, log, func() time.Duration { return d.Core.Now() })
	d.listener = netretry.NewListener(listener, d.backoff, d.accepts)
	return d
}

// Listen takes over the listening socket that is inherited as a descriptor, or else listens on the address from the
// first Accept on. An inherited one is others' too: it is neither bound again nor shut down, and closing it
// closes only this copy.
func Listen(fd int, addr string, l limits.Limits) (net.Listener, error) {
	if fd == 0 {
		return listenLazily(addr)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	// Against an accept that nothing ends: who starts another process with this socket may make it blocking, for all that hold it.
	wait := unix.NsecToTimeval(l.AcceptBlocks.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &wait); err != nil {
		return nil, fmt.Errorf("descriptor %d, the listener: %w", fd, err)
	}
	return net.FileListener(f)
}

// Run calls start on the loop, and serves until Stop.
func (d *EventLoop) Run(start func()) (err error) {
	d.alarm = time.AfterFunc(math.MaxInt64, func() {
		if d.ticking.CompareAndSwap(false, true) { // Against ticks piling up behind a busy loop.
			d.Do(d.tick)
		}
	})
	defer d.alarm.Stop()
	if err := netretry.Within(d.limits.StartRetry, d.backoff, netretry.Always, d.begin); err != nil {
		return err
	}
	if err := netretry.Within(d.limits.StartRetry, d.backoff, netretry.Always, d.meet); err != nil {
		return err
	}
	d.Do(start)
	d.Do(d.wind)
	select {
	case <-d.stopped:
	case err = <-d.failed:
	}
	return errors.Join(err, d.client.Stop())
}

// begin makes the loop and sets it going.
func (d *EventLoop) begin() (err error) {
	d.client, err = gnet.NewClient(d, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithSocketSendBuffer(d.limits.SocketBytes), gnet.WithSocketRecvBuffer(d.limits.SocketBytes),
		gnet.WithLogger(quiet{d.log}))
	if err != nil {
		return err
	}
	return d.client.Start()
}

// errUnwatched tells that gnet has taken a connection and could not have it watched: epoll_ctl failed, and gnet drops
// why.
var errUnwatched = fmt.Errorf("the event loop cannot watch the socket: %w", netretry.ErrShortage)

// meet finds the loop: gnet hands it out only with a socket. This one sends nothing and is closed at once. It is UDP over
// the listener's own address: platforms that grant the IP families alone refuse a pair of Unix sockets.
func (d *EventLoop) meet() error {
	c, err := d.dialer.Dial("udp", d.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("a socket to meet the loop: %w", err)
	}
	if _, err = d.client.Enroll(c); err != nil {
		return fmt.Errorf("a socket to meet the loop: %w", err)
	}
	select {
	case <-d.started:
		return nil
	default:
		return errUnwatched
	}
}

// wind lets the wheel's timers come. Against a tick every few milliseconds in each of many idle poolers: the loop sleeps
// until the earliest timer.
func (d *EventLoop) wind() {
	d.Core.Wheel.Alarm(func(at time.Duration) {
		d.due = at
		d.alarm.Reset(max(at-d.Core.Now(), 0))
	})
}

// watch logs when the loop stood still. With little CPU used meanwhile, the process was not let run.
func (d *EventLoop) watch() {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return
	}
	now, cpu := d.Core.Now(), time.Duration(use.Utime.Nano()+use.Stime.Nano())
	if late := now - d.due; d.due > 0 && late > d.limits.StoodStill {
		d.log.Warn().Int64("ms", late.Milliseconds()).Int64("cpu_ms", (cpu - d.used).Milliseconds()).Msg("the event loop stood still")
	}
	d.used = cpu
}

func (d *EventLoop) tick() {
	d.ticking.Store(false)
	d.watch()
	d.Core.Tick()
}

// Do runs a function on the loop, from any goroutine.
func (d *EventLoop) Do(f func()) {
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
func (d *EventLoop) Stop() { close(d.stopped) }

// socket is what a gnet connection's context holds.
type socket interface {
	traffic(data []byte)
	closed(err error)
}

func (d *EventLoop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	switch s := c.Context().(type) {
	case *serverConn:
		s.opened(c)
	case *accepted:
		s.opened = true
		c.SetContext(d.Front.accept(c))
	default:
		d.loop = c.EventLoop()
		close(d.started)
		return nil, gnet.Close
	}
	return nil, gnet.None
}

func (d *EventLoop) OnTraffic(c gnet.Conn) gnet.Action {
	data, _ := c.Next(-1)
	if s, ok := c.Context().(socket); ok {
		s.traffic(data)
	}
	return gnet.None
}

func (d *EventLoop) OnClose(c gnet.Conn, err error) gnet.Action {
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
func silent(c gnet.Conn) bool { return peekedNothing(c.Fd(), unix.Recvfrom) }

// peekedNothing tells whether recvfrom says that there is nothing to read. An interrupted call says nothing yet: taken
// for an answer, a sound connection to a database would be closed, and a client without a request could not be.
func peekedNothing(fd int, recvfrom func(fd int, p []byte, flags int) (int, unix.Sockaddr, error)) bool {
	var b [1]byte
	for {
		_, _, err := recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN
		}
	}
}

// quiet passes gnet's log on. None of its lines ends the process: only the start may do that, by an error that it returns.
type quiet struct{ log zerolog.Logger }

func (q quiet) Debugf(string, ...any)          {}
func (q quiet) Infof(format string, a ...any)  { q.log.Debug().Msgf(format, a...) }
func (q quiet) Warnf(format string, a ...any)  { q.log.Warn().Msgf(format, a...) }
func (q quiet) Errorf(format string, a ...any) { q.log.Error().Msgf(format, a...) }
func (q quiet) Fatalf(format string, a ...any) { q.log.Error().Msgf(format, a...) }
