// Package eventloop runs one gnet event loop on one goroutine. Client connections, connections to databases and the
// request table (package core) are all served on that goroutine, so their state needs no lock. The package accepts and
// dials connections, and passes received bytes to the Socket of the connection. It does not depend on the protocol.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/limits"
	"capercove/internal/netretry"
)

// noAlarm is the alarm's delay while no timer is set: it never elapses in practice.
const noAlarm = time.Duration(math.MaxInt64)

// Timers is the set of timers that the loop drives, with their clock. Now must be safe for concurrent use. The other
// methods are called on the loop.
type Timers interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// Tick fires all timers that are due.
	Tick()
	// SetAlarm registers a function that is called with the time of the earliest timer whenever that time changes.
	SetAlarm(alarm func(at time.Duration))
}

// Socket receives the events of one connection. Its methods are called on the loop.
type Socket interface {
	// Received is called with the bytes that were received. They are valid only until it returns.
	Received(data []byte)
	// Closed is called once, when the connection has been closed by either side; err is nil if this process closed it.
	Closed(err error)
}

// DialedSocket is the Socket of a connection that this process opens.
type DialedSocket interface {
	Socket
	// Opened is called when the connection is established and the loop serves it.
	Opened(connection gnet.Conn)
}

// Loop is the event loop. Fields whose comment does not name a goroutine are set before Run and not changed afterwards.
type Loop struct {
	gnet.BuiltinEventEngine

	limits limits.EventLoop
	log    zerolog.Logger
	timers Timers
	accept func(connection gnet.Conn) Socket // returns the Socket of a client's connection

	listener       *netretry.Listener
	listen         func() error       // opens the listening socket
	listenFailed   chan error         // the error that kept the listener from opening; it ends Run
	accepting      sync.WaitGroup     // the goroutines that accept connections
	acceptFailures *netretry.Failures // failed accepts and failed enrollments of accepted connections

	backoff netretry.Backoff // between retries of an accept and of the start
	dialer  *net.Dialer
	client  *gnet.Client   // gnet's engine without a listener; connections are enrolled in it
	loop    gnet.EventLoop // the engine's only loop; set on the loop before started is closed
	started chan struct{}  // closed when loop is set
	stopped chan struct{}  // closed by Stop

	alarm      *time.Timer   // queues a tick when the earliest timer is due
	tickQueued atomic.Bool   // whether a tick is queued on the loop
	tickDue    time.Duration // when the earliest timer is due; the loop's goroutine only
	cpuUsed    time.Duration // CPU time of the process up to the last tick; the loop's goroutine only
}

// New returns an event loop that accepts clients from a listener. The dialer opens all connections to databases; nil
// means a net.Dialer without options. Attach must be called before Run.
func New(bounds limits.EventLoop, log zerolog.Logger, listener net.Listener, dialer *net.Dialer) *Loop {
	loop := &Loop{
		limits:       bounds,
		log:          log,
		listen:       func() error { return nil }, // an inherited socket is already listening
		listenFailed: make(chan error, 1),
		backoff:      netretry.NewBackoff(bounds.Retry),
		dialer:       dialer,
		started:      make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	if dialer == nil {
		loop.dialer = &net.Dialer{}
	}
	if lazy, ok := listener.(*lazyListener); ok {
		loop.listen = lazy.Listen
	}
	now := func() time.Duration { return loop.timers.Now() } // Attach sets the timers later
	loop.acceptFailures = netretry.NewFailures("accept", bounds.LogInterval, log, now)
	loop.listener = netretry.NewListener(listener, loop.backoff, loop.acceptFailures)
	return loop
}

// Attach sets the timers that the loop drives, and the function that returns the Socket of a client's connection. The
// function is called on the loop, once for each connection.
func (l *Loop) Attach(timers Timers, accept func(connection gnet.Conn) Socket) {
	l.timers, l.accept = timers, accept
}

// Run starts the loop on a new goroutine and calls start on the loop. It blocks until Stop is called or the listener
// cannot be opened. It returns the errors of starting the engine, opening the listener and stopping the engine.
// Failures to start the engine and momentary failures to listen are first retried for StartTimeout.
func (l *Loop) Run(start func()) (err error) {
	l.alarm = time.AfterFunc(noAlarm, l.queueTick)
	defer l.alarm.Stop()
	if err := netretry.Retry(l.limits.StartTimeout, l.backoff, netretry.Always, l.startEngine); err != nil {
		return err
	}
	if err := netretry.Retry(l.limits.StartTimeout, l.backoff, netretry.Always, l.findLoop); err != nil {
		return err
	}
	l.Do(start)
	l.Do(l.startTimers)
	select {
	case <-l.stopped:
	case err = <-l.listenFailed:
	}
	return errors.Join(err, l.client.Stop())
}

// Stop ends Run. It may be called from any goroutine, but only once.
func (l *Loop) Stop() { close(l.stopped) }

// Do queues a function to run on the loop. It may be called from any goroutine. It blocks until Run has started the
// loop, but does not wait for the function.
func (l *Loop) Do(f func()) {
	<-l.started
	err := l.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
	if err != nil && !errors.Is(err, gneterrors.ErrEngineInShutdown) {
		l.log.Error().Err(err).Msg("event loop")
	}
}

// startEngine creates and starts gnet's engine with one loop.
func (l *Loop) startEngine() (err error) {
	l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithSocketSendBuffer(l.limits.SocketBufferBytes), gnet.WithSocketRecvBuffer(l.limits.SocketBufferBytes),
		gnet.WithReadBufferCap(l.limits.ReadBytes), gnet.WithLogger(gnetLogger{l.log}))
	if err != nil {
		return err
	}
	return l.client.Start()
}

// errUnwatched is the error for a connection that gnet closed because epoll_ctl failed to watch its socket. gnet does
// not report the cause, which is assumed to be a shortage of epoll watches.
var errUnwatched = fmt.Errorf("the event loop cannot watch the socket: %w", netretry.ErrShortage)

// findLoop sets l.loop, the gnet.EventLoop. gnet returns its event loop only from a connection. findLoop therefore
// enrolls a temporary connection that sends nothing and that OnOpen closes at once. The connection uses UDP to the
// listener's own address, since platforms that permit only IP sockets reject a pair of Unix sockets.
func (l *Loop) findLoop() error {
	connection, err := l.dialer.Dial("udp", l.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("open the socket that finds the event loop: %w", err)
	}
	if _, err = l.client.Enroll(connection); err != nil {
		return fmt.Errorf("enroll the socket that finds the event loop: %w", err)
	}
	select {
	case <-l.started:
		return nil
	default:
		return errUnwatched
	}
}

// enrollment is the context of a gnet connection while it is being handed over to the loop. OnOpen replaces it with the
// connection's Socket.
type enrollment struct {
	dialed DialedSocket // nil for a client's connection
	opened bool         // set by OnOpen, before gnet reports that the connection is enrolled
}

// result returns errUnwatched if OnOpen was not called for an enrollment that gnet reports as done: gnet does not call
// OnOpen for a socket that it cannot watch.
func (enrolled *enrollment) result() error {
	if !enrolled.opened {
		return errUnwatched
	}
	return nil
}

// Dial opens a TCP connection, hands it over to the loop and blocks until the loop serves it. It must not be called on
// the loop. When it returns nil, the socket's Opened has been called. The context limits only the dial. gnet's own
// Register is not used, since it dials without a timeout and cannot be cancelled.
func (l *Loop) Dial(ctx context.Context, address string, socket DialedSocket) error {
	connection, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	pending := &enrollment{dialed: socket}
	// gnet reads the connection's context from a context.Context, which must outlive the context of the dial.
	registration := gnet.NewContext(context.WithoutCancel(ctx), pending)
	result, err := l.loop.Enroll(registration, connection)
	if err != nil {
		return err
	}
	if err := (<-result).Err; err != nil {
		return err
	}
	return pending.result()
}

// OnOpen is called by gnet on the loop when the loop begins to watch a connection.
func (l *Loop) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	enrolled, ok := connection.Context().(*enrollment)
	if !ok { // the socket of findLoop
		l.loop = connection.EventLoop()
		close(l.started)
		return nil, gnet.Close
	}
	enrolled.opened = true
	if enrolled.dialed == nil {
		connection.SetContext(l.accept(connection))
		return nil, gnet.None
	}
	connection.SetContext(enrolled.dialed)
	enrolled.dialed.Opened(connection)
	return nil, gnet.None
}

// allBytes makes gnet's Next return all bytes that a connection has received.
const allBytes = -1

// OnTraffic is called by gnet on the loop when a connection has received bytes.
func (l *Loop) OnTraffic(connection gnet.Conn) gnet.Action {
	data, _ := connection.Next(allBytes) // Next fails only for more bytes than were received
	if socket, ok := connection.Context().(Socket); ok {
		socket.Received(data)
	}
	return gnet.None
}

// OnClose is called by gnet on the loop when a connection has been closed.
func (l *Loop) OnClose(connection gnet.Conn, err error) gnet.Action {
	if socket, ok := connection.Context().(Socket); ok {
		socket.Closed(err)
	}
	return gnet.None
}

// queueTick queues a tick on the loop unless one is queued already, since ticks must not accumulate while the loop is
// busy. The alarm calls it on a separate goroutine.
func (l *Loop) queueTick() {
	if l.tickQueued.CompareAndSwap(false, true) {
		l.Do(l.tick)
	}
}

// startTimers makes the alarm follow the earliest timer. A periodic tick every few milliseconds would be simpler, but
// would use CPU time even while the pooler is idle.
func (l *Loop) startTimers() {
	l.timers.SetAlarm(func(at time.Duration) {
		l.tickDue = at
		l.alarm.Reset(max(at-l.timers.Now(), 0))
	})
}

// tick fires the timers that are due.
func (l *Loop) tick() {
	l.tickQueued.Store(false)
	l.logStall()
	l.timers.Tick()
}

// logStall logs a late tick, which shows that the loop stalled. It also logs the CPU time since the last tick: if that
// is short, the process was not scheduled; otherwise it was busy.
func (l *Loop) logStall() {
	cpuUsed, err := processCPUTime()
	if err != nil {
		return
	}
	late := l.timers.Now() - l.tickDue
	wasDue := l.tickDue > 0
	if wasDue && late > l.limits.StallThreshold {
		cpuSinceLastTick := cpuUsed - l.cpuUsed
		l.log.Warn().Int64("ms", late.Milliseconds()).Int64("cpu_ms", cpuSinceLastTick.Milliseconds()).
			Msg("event loop: stalled")
	}
	l.cpuUsed = cpuUsed
}

// processCPUTime returns the CPU time that the process has used in user and kernel mode.
func processCPUTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
