package flight

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/netretry"
	"capercove/internal/tenant"
)

// Front serves Flight SQL clients: statement queries and updates. Commands about the server itself are answered
// by the library, all others are unimplemented.
type Front struct {
	flight.FlightServer
	Count FrontCounters

	limits  limits.Limits
	log     zerolog.Logger
	core    *core.Core
	intake  *intake.Intake
	do      func(func()) // runs on the core's goroutine
	backend core.Backend
	server  *grpc.Server
	slots   chan struct{}
	sockets clientSockets
	stopped atomic.Bool
}

// FrontCounters count calls.
type FrontCounters struct {
	Calls, TurnedAway, Bad, Messages atomic.Int64
}

// Counts is a copy for the log.
func (f *Front) Counts() map[string]int64 {
	return map[string]int64{"Calls": f.Count.Calls.Load(), "TurnedAway": f.Count.TurnedAway.Load(),
		"Bad": f.Count.Bad.Load(), "Messages": f.Count.Messages.Load()}
}

func NewFront(l limits.Limits, log zerolog.Logger, c *core.Core, in *intake.Intake, do func(func()), b core.Backend) (*Front, error) {
	base := &flightsql.BaseServer{}
	for id, value := range map[flightsql.SqlInfo]any{
		flightsql.SqlInfoFlightSqlServerName:        "capercove",
		flightsql.SqlInfoFlightSqlServerReadOnly:    false,
		flightsql.SqlInfoFlightSqlServerSql:         true,
		flightsql.SqlInfoFlightSqlServerTransaction: int32(flightsql.SqlTransactionNone),
	} {
		if err := base.RegisterSqlInfo(id, value); err != nil {
			return nil, err
		}
	}
	f := &Front{FlightServer: flightsql.NewFlightServer(base), limits: l, log: log, core: c, intake: in, do: do, backend: b,
		slots: make(chan struct{}, l.FlightCalls)}
	f.server = grpc.NewServer(grpc.MaxRecvMsgSize(l.FlightMessage), grpc.MaxConcurrentStreams(uint32(l.FlightCalls)),
		grpc.ConnectionTimeout(l.Startup))
	flight.RegisterFlightServiceServer(f.server, f)
	return f, nil
}

// Listen listens on the address of the front.
func Listen(address string) (net.Listener, error) {
	// At an upgrade the new process listens here beside the old one.
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		failed := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(failed, err)
	}}
	return shared.Listen(context.Background(), "tcp", address)
}

// Serve answers calls on a listener until Stop. An accept that fails does not end it.
func (f *Front) Serve(l net.Listener) error {
	accepts := netretry.NewFailures("flight: accept", f.limits.LogEvery, f.log, f.core.Now)
	l = netretry.NewListener(l, netretry.BackoffOf(f.limits), accepts)
	// Against running out of descriptors.
	return f.server.Serve(netutil.LimitListener(socketListener{l, &f.sockets}, f.limits.FlightClients))
}

// Stop takes no new calls and waits for those that run.
func (f *Front) Stop() {
	f.server.GracefulStop()
	f.stopped.Store(true)
}

// Stopped tells whether all answers have gone out after Stop.
func (f *Front) Stopped() bool { return f.stopped.Load() }

// GetFlightInfo gives out a ticket for a statement. Nothing runs until it is fetched.
func (f *Front) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	sql, ok, err := parseQuery(d.GetCmd())
	if err != nil {
		return nil, err
	}
	if !ok {
		return f.FlightServer.GetFlightInfo(ctx, d)
	}
	s := statement{SQL: sql}
	md, _ := metadata.FromIncomingContext(ctx)
	s.fill(md)
	ticket, err := s.ticket()
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}}}, nil
}

// DoGet runs a statement and streams its answer.
func (f *Front) DoGet(t *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	s, ok, err := parseTicket(t)
	if err != nil {
		return err
	}
	if !ok {
		return f.FlightServer.DoGet(t, stream)
	}
	_, err = f.run(stream.Context(), &s, stream.Send)
	return err
}

// DoPut runs an update and answers with its record count.
func (f *Front) DoPut(stream flight.FlightService_DoPutServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := statement{update: true}
	if s.SQL, err = parseUpdate(first.GetFlightDescriptor().GetCmd()); err != nil {
		return err
	}
	answer, err := f.run(stream.Context(), &s, nil)
	if err != nil {
		return err
	}
	return stream.Send(answer.(*flight.PutResult))
}

// call is the client's end of one request. It implements core.Client and core.Leaver.
type call struct {
	ctx    context.Context
	socket *clientSocket           // nil: not known
	data   chan *flight.FlightData // unbuffered: a slow client slows its database down
	final  chan final
}

type final struct {
	answer any
	err    error
}

// HasLeft tells whether the client has cancelled the call or closed its connection.
func (c *call) HasLeft() bool {
	if c.ctx.Err() != nil {
		return true
	}
	if c.socket == nil {
		return false
	}
	left, _ := c.socket.look()
	return left
}

func (c *call) Served(answer any) { c.final <- final{answer: answer} }

func (c *call) Rejected(after time.Duration) { c.final <- final{err: Refusal(after)} }

func (c *call) Failed(why core.Failure) {
	c.final <- final{err: map[core.Failure]error{core.ConnectionBroke: errFailed, core.DeadlineExceeded: errDeadline,
		core.Unusable: errUnusable}[why]}
}

// run takes a request through the core and returns its one final answer.
func (f *Front) run(ctx context.Context, s *statement, send func(*flight.FlightData) error) (any, error) {
	f.Count.Calls.Add(1)
	socket, begun := f.sockets.of(ctx), f.core.Now()
	sent := begun - socket.sinceLastData() // or earlier: what is being handled came with the last bytes, or before
	md, _ := metadata.FromIncomingContext(ctx)
	s.fill(md)
	select { // Against more streams than the memory holds messages for.
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		f.Count.TurnedAway.Add(1)
		return nil, Refusal(0)
	}
	c := &call{ctx: ctx, socket: socket, data: make(chan *flight.FlightData), final: make(chan final, 1)}
	s.call = c
	bad := make(chan error, 1)
	var q *core.Request // the loop's; nil until it is submitted
	f.do(func() {       // all of it: the settings may be replaced at any time
		asked, err := f.request(ctx, s)
		if err != nil {
			bad <- err
			return
		}
		// What the connection tells is not enough after a stall: other frames may have come since.
		asked.TimeLeft -= max(f.core.Now()-sent, f.core.Unread(begun))
		q, asked.Client = asked, c
		f.core.Submit(q)
	})
	leave := func() {
		f.do(func() {
			if q != nil {
				f.core.ClientGone(q)
			}
		})
	}
	for {
		select {
		case err := <-bad:
			f.Count.Bad.Add(1)
			return nil, err
		case m := <-c.data:
			f.Count.Messages.Add(1)
			if err := send(m); err != nil {
				leave()
				return nil, err
			}
		case v := <-c.final:
			return v.answer, v.err
		case <-ctx.Done(): // Against a database that streams on for a client that has cancelled.
			leave()
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// caller tells who is at the other end.
func caller(ctx context.Context) (c tenant.Caller) {
	if p, ok := peer.FromContext(ctx); ok {
		if a, ok := p.Addr.(*net.TCPAddr); ok {
			c.Address = a.AddrPort().Addr()
			c.Connection = uint64(a.Port)
		}
	}
	md, _ := metadata.FromIncomingContext(ctx)
	c.Header = func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	return c
}

// keys are this wire's words for the parts of a request.
var keys = map[intake.Field]string{intake.FieldID: KeyID, intake.FieldClass: KeyClass, intake.FieldGroup: KeyGroup}

// request checks what a client asks.
func (f *Front) request(ctx context.Context, s *statement) (*core.Request, error) {
	bad := func(key, why string) (*core.Request, error) {
		return nil, status.Error(codes.InvalidArgument, key+": "+why)
	}
	a := intake.Input{Front: "flight", ID: s.ID, Class: s.Class, HasGroup: true, SQL: s.SQL, Update: s.update, Payload: s, Backend: f.backend}
	var err error
	if a.Group, err = strconv.Atoi(s.Group); err != nil {
		return bad(KeyGroup, "not a number")
	}
	if a.After, err = position([]string{s.After}); err != nil {
		return bad(KeyAfter, err.Error())
	}
	if s.wait != "" {
		ms, err := strconv.ParseUint(s.wait, 10, 31)
		if err != nil || ms == 0 {
			return bad(KeyDeadline, "not a positive number of milliseconds")
		}
		a.Wait = time.Duration(ms) * time.Millisecond
	}
	if s.Session != "" {
		h := fnv.New64a()
		h.Write([]byte(s.Session))
		a.Key = max(h.Sum64(), 1)
	}
	if f.intake.ClassifiesTenants() {
		a.Caller = caller(ctx)
	}
	q, problem := f.intake.Request(&a)
	if problem != nil {
		return bad(keys[problem.Field], problem.Why)
	}
	if at, ok := ctx.Deadline(); ok {
		q.TimeLeft = min(q.TimeLeft, time.Until(at))
	}
	return q, nil
}
