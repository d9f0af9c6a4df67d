package flight

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// Backend carries attempts to databases that speak Flight SQL. It implements core.Backend and core.Watcher. Its
// methods are called on the core's goroutine; each attempt has a goroutine of its own.
type Backend struct {
	config Config
	limits limits.Limits
	log    zerolog.Logger
	core   *core.Core
	do     func(func()) // runs on the core's goroutine
	conns  map[routing.NodeID]*conn
	dials  dials
}

// conn is a connection to a database, which carries many calls. It is closed when the last one has ended.
type conn struct {
	addr    string
	grpc    *grpc.ClientConn
	uses    int
	used    time.Duration // when it was last taken into use
	retired bool
	short   atomic.Bool     // the last dial failed for want of something on this machine, and is made again
	here    context.Context // over once the database is gone, banned or elsewhere: nothing is begun on it from then on
	leave   context.CancelFunc
}

// NewBackend returns a backend. The dialer makes all its connections; nil is the system's.
func NewBackend(cfg Config, l limits.Limits, log zerolog.Logger, c *core.Core, do func(func()),
	dialer *net.Dialer) *Backend {
	return &Backend{config: cfg, limits: l, log: log, core: c, do: do, conns: map[routing.NodeID]*conn{},
		dials: newDials(l, log, c, dialer)}
}

// Changed drops the connection to a database that is gone, banned or elsewhere. What has been sent on it goes on. What still waits for it
// is handed back to the router: against a wait for nothing, work that reaches a database after the operators' yes, and a statement
// that reaches whoever has its address now.
func (b *Backend) Changed(m *core.Member) {
	c := b.conns[m.ID]
	if c != nil && (m.State == routing.Gone || m.Excluded || c.addr != b.config.addr(m.Name, m.Addr)) {
		c.leave()
		b.retire(m.ID, c)
	}
}

// Forgotten has nothing to drop: the connection went when the database did.
func (b *Backend) Forgotten(*core.Member) {}

func (b *Backend) retire(id routing.NodeID, c *conn) {
	if b.conns[id] == c {
		delete(b.conns, id)
	}
	c.retired = true
	if c.uses == 0 {
		c.grpc.Close()
	}
}

// errFull tells that there is no room for one more connection, as all that there are carry calls.
var errFull = errors.New("too many connections to databases")

// conn returns the connection to a database.
func (b *Backend) conn(m *core.Member, now time.Duration) (*conn, error) {
	if c := b.conns[m.ID]; c != nil {
		c.used = now
		return c, nil
	}
	if len(b.conns) >= b.limits.FlightServers && !b.evict() { // Against running out of descriptors.
		return nil, errFull
	}
	addr := b.config.addr(m.Name, m.Addr)
	c := &conn{addr: addr, used: now}
	// No retries of the library's, by service config or by itself (see oneTry): the router alone sends again.
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return b.dials.dial(ctx, addr, &c.short)
		}),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(oneTry{}),
		grpc.WithNoProxy(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(b.limits.FlightMessage)))
	if err != nil {
		return nil, err
	}
	c.grpc = cc
	c.here, c.leave = context.WithCancel(context.Background())
	b.conns[m.ID] = c
	return c, nil
}

// evict closes the connection without a call that was used least lately.
func (b *Backend) evict() bool {
	var oldest *conn
	var of routing.NodeID
	for id, c := range b.conns {
		if c.uses == 0 && (oldest == nil || c.used < oldest.used) {
			oldest, of = c, id
		}
	}
	if oldest != nil {
		b.retire(of, oldest)
	}
	return oldest != nil
}

// Send begins an attempt.
func (b *Backend) Send(a *core.Attempt) {
	c, err := b.conn(a.Member, b.core.Now())
	if err != nil {
		status := routing.ConnectFailed
		if errors.Is(err, errFull) { // it tells nothing of the database
			status = routing.NotSent
		}
		b.core.Done(a, status, routing.Evidence{}, nil)
		return
	}
	c.uses++
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline-b.core.Now())
	a.Handle = cancel
	go func() {
		t := &try{b: b, conn: c, ctx: ctx, a: a, s: a.Request.Payload.(*statement), cancel: cancel}
		result, answer := t.carry()
		cancel()
		b.do(func() {
			// Against a database that was cut off: its connection stays open and silent for ever.
			if result == routing.TimedOut && !t.heard {
				b.retire(a.Member.ID, c)
			}
			if c.uses--; c.retired && c.uses == 0 {
				c.grpc.Close()
			}
			if t.unusable {
				b.core.DoneUnusable(a, t.note)
			} else {
				b.core.Done(a, result, t.note, answer)
			}
		})
	}()
}

// Cancel ends an attempt; the database's stream is reset.
func (b *Backend) Cancel(a *core.Attempt) {
	if cancel, ok := a.Handle.(context.CancelFunc); ok {
		cancel()
	}
}

// oneTry stops a call that gRPC is about to send again on its own.
type oneTry struct{}

type tryKey struct{}

func (oneTry) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (oneTry) HandleRPC(ctx context.Context, s stats.RPCStats) {
	t, ok := ctx.Value(tryKey{}).(*try)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if s.IsTransparentRetryAttempt {
			t.cancel()
		}
	case *stats.OutPayload:
		t.handed.Store(true)
		t.b.do(func() { t.b.core.Written(t.a) })
	}
}
func (oneTry) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (oneTry) HandleConn(context.Context, stats.ConnStats)                       {}

// try is one attempt, on its goroutine.
type try struct {
	b      *Backend
	conn   *conn
	ctx    context.Context
	cancel context.CancelFunc
	a      *core.Attempt
	s      *statement
	heard  bool        // the database has answered
	handed atomic.Bool // a message of it has been handed to the connection, and may arrive
	note   routing.Evidence

	unusable bool // it cannot use the statement
}

func (t *try) carry() (routing.Status, any) {
	up := t.connect()
	if !up && t.conn.here.Err() == nil && !t.conn.short.Load() {
		return routing.ConnectFailed, nil
	}
	d, err := t.s.descriptor()
	if !up || err != nil || !t.allowed() {
		return routing.NotSent, nil
	}
	client := flight.NewFlightServiceClient(t.conn.grpc)
	var answer any
	if t.s.update {
		answer, err = t.put(t.outgoing(), client, d)
	} else {
		err = t.get(client, d)
	}
	t.unusable = status.Code(err) == codes.InvalidArgument
	result := outcome(err)
	if result == routing.ConnectionBroken && !t.handed.Load() { // the connection went before anything was written on it
		result = routing.ConnectFailed
	}
	return result, answer
}

// outgoing is the context of a call that goes out now: it tells the database what is left of the client's time.
func (t *try) outgoing() context.Context {
	ctx := metadata.NewOutgoingContext(t.ctx, t.s.headers(t.a.Deadline-t.b.core.Now()))
	return context.WithValue(ctx, tryKey{}, t)
}

// connect brings the connection up. What fails here has never run.
func (t *try) connect() bool {
	cc := t.conn.grpc
	ctx, cancel := context.WithTimeout(t.ctx, t.b.limits.ConnectTimeout)
	defer cancel()
	defer context.AfterFunc(t.conn.here, cancel)()
	for {
		switch state := cc.GetState(); state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure:
			cc.ResetConnectBackoff() // the router decides when to try again
			return false
		case connectivity.Idle:
			cc.Connect()
			fallthrough
		default:
			if !cc.WaitForStateChange(ctx, state) {
				return false
			}
		}
	}
}

var errMoot = status.Error(codes.FailedPrecondition, "the statement may not be sent on any more")

var errEndpoints = errors.New("the database's answer has not one endpoint of its own")

// get passes a stream on, message by message. The schema waits for the first batch: until that is there the
// request may still go elsewhere.
func (t *try) get(client flight.FlightServiceClient, d *flight.FlightDescriptor) error {
	var head, tail metadata.MD
	info, err := client.GetFlightInfo(t.outgoing(), d, grpc.Header(&head), grpc.Trailer(&tail))
	t.note = evidence(head, tail)
	if err != nil {
		return err
	}
	t.heard = true
	if len(info.GetEndpoint()) != 1 || len(info.Endpoint[0].GetLocation()) > 0 {
		return errEndpoints
	}
	if !t.allowed() { // what allowed it has run out since; nothing is sent twice for a read
		return errMoot
	}
	stream, err := client.DoGet(t.outgoing(), info.Endpoint[0].Ticket)
	if err != nil {
		return err
	}
	var schema *flight.FlightData
	begun := false
	for {
		m, err := stream.Recv()
		end := errors.Is(err, io.EOF)
		if err != nil {
			head, _ := stream.Header()
			t.note = evidence(head, stream.Trailer())
		}
		if err != nil && !end {
			return err
		}
		if !begun && !end && schema == nil {
			schema = m
			continue
		}
		if !begun {
			if begun = t.ask(t.b.core.AnswerStarted); !begun {
				return t.over()
			}
			if schema != nil && !t.pass(schema) {
				return t.over()
			}
		}
		if end {
			return nil
		}
		if !t.pass(m) {
			return t.over()
		}
	}
}

// ask asks the core about the attempt, as whether it may be sent; and it binds the request to it before the client sees anything of
// its answer.
func (t *try) ask(what func(*core.Attempt) bool) bool {
	ok := make(chan bool, 1)
	t.b.do(func() { ok <- what(t.a) })
	select {
	case yes := <-ok:
		return yes
	case <-t.ctx.Done():
		return false
	}
}

// allowed asks whether the statement may be sent now, with all in mind that the client has sent by now, such as its
// cancelling.
func (t *try) allowed() bool {
	t.s.call.socket.settle(t.ctx, t.b.limits.FlightSettle)
	return t.ask(t.maySend)
}

// maySend is asked on the core's goroutine.
func (t *try) maySend(a *core.Attempt) bool { return t.conn.here.Err() == nil && t.b.core.MaySend(a) }

// over tells why nothing more is passed on.
func (t *try) over() error {
	if err := t.ctx.Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.Canceled, "the request is over")
}

func (t *try) pass(m *flight.FlightData) bool {
	select {
	case t.s.call.data <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// put runs an update. Its answer is passed on as it came.
func (t *try) put(ctx context.Context, client flight.FlightServiceClient, d *flight.FlightDescriptor) (any, error) {
	stream, err := client.DoPut(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&flight.FlightData{FlightDescriptor: d}); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	result, err := stream.Recv()
	if err == nil {
		// The answer counts once the database has ended the call well.
		if _, err = stream.Recv(); errors.Is(err, io.EOF) {
			err = nil
		} else if err == nil {
			err = errors.New("more than one answer to an update")
		}
	}
	head, _ := stream.Header()
	t.note = evidence(head, stream.Trailer())
	return result, err
}
