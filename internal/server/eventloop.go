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
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/internal/limits"
)

// EventLoop runs the event loop.
type EventLoop struct {
	gnet.BuiltinEventEngine
	Core  *core.Core
	Front *Front
	Pool  *Pool

	limits    limits.Limits
	log       zerolog.Logger
	listener  net.Listener
	client    *gnet.Client // gnet's name for a loop that takes connections as they are, and has no listener
	loop      gnet.EventLoop
	started   chan struct{}
	stopped   chan struct{}
	alarm     *time.Timer // set for the wheel's next timer
	ticking   atomic.Bool
	due       time.Duration // when the next tick is to come
	used      time.Duration // CPU time at the last one
	accepting sync.WaitGroup
	warned    atomic.Int64 // time of the last line on an accept that failed
}

// New returns an event loop for clients of a listener.
func New(l limits.Limits, log zerolog.Logger, listener net.Listener) *EventLoop {
	return &EventLoop{limits: l, log: log, listener: listener, started: make(chan struct{}), stopped: make(chan struct{})}
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
	if d.client, err = gnet.NewClient(d, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithSocketSendBuffer(d.limits.SocketBytes), gnet.WithSocketRecvBuffer(d.limits.SocketBytes),
		gnet.WithLogger(quiet{d.log})); err != nil {
		return err
	}
	if err := d.client.Start(); err != nil {
		return err
	}
	if err := d.meet(); err != nil {
		return err
	}
	d.Do(start)
	d.Do(d.wind)
	<-d.stopped
	return d.client.Stop()
}

// meet finds the loop: gnet hands it out only with a socket. This one sends nothing and is closed at once. It is UDP over
// the listener's own address: platforms that grant the IP families alone refuse a pair of Unix sockets.
func (d *EventLoop) meet() error {
	c, err := net.Dial("udp", d.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("a socket to meet the loop: %w", err)
	}
	_, err = d.client.Enroll(c)
	return err
}

// wind lets the wheel's timers come. Against a tick every few milliseconds in each of many idle poolers: the loop sleeps
// until the earliest timer.
func (d *EventLoop) wind() {
	d.Core.Wheel.Alarm(func(at time.Duration) {
		d.due = at
		d.alarm.Reset(max(at-d.Core.Now(), 0))
	})
}

// Accept begins to take clients in.
func (d *EventLoop) Accept() {
	for range d.limits.Accepting { // Each waits for the loop: a few at once, as each holds two descriptors.
		d.accepting.Add(1)
		go func() {
			defer d.accepting.Done()
			for {
				c, err := d.listener.Accept()
				switch {
				case errors.Is(err, net.ErrClosed):
					return
				case errors.Is(err, syscall.EADDRINUSE), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.EACCES):
					d.log.Fatal().Err(err).Msg("listen")
				case err != nil: // Against a busy loop, and a log of nothing else, while descriptors are short.
					now, last := int64(d.Core.Now()), d.warned.Load()
					if now-last >= int64(d.limits.LogEvery) && d.warned.CompareAndSwap(last, now) {
						d.log.Warn().Err(err).Msg("accept")
					}
					time.Sleep(d.limits.Tick)
				default:
					d.client.EnrollContext(c, accepted{})
				}
			}
		}()
	}
}

// Refuse stops to accept, and calls then on the loop when all that was accepted is on it. What is not accepted by then
// is left to whom else the listener belongs to.
func (d *EventLoop) Refuse(then func()) {
	go func() {
		d.listener.Close() // It waits for an accept that is under way; the loop must not.
		d.accepting.Wait()
		d.Do(then)
	}()
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

// accepted marks a client's connection that is yet to be taken in.
type accepted struct{}

func (d *EventLoop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	switch s := c.Context().(type) {
	case *serverConn:
		return s.opened(c), gnet.None
	case accepted:
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
