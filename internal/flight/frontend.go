package flight

import (
	"net"
	"sync/atomic"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/netretry"
)

// serverName is what the frontend calls itself to clients that ask for information about the server.
const serverName = "capercove"

// Front is the frontend for Flight SQL clients. It serves statement queries and updates. Commands about the server
// itself are answered by the library; all others are unimplemented. Its methods are safe for concurrent use.
type Front struct {
	flight.FlightServer

	limits    limits.Flight
	log       zerolog.Logger
	core      *core.Core
	intake    *intake.Intake
	runOnLoop func(func()) // runs a function on the event loop
	backend   *Backend
	server    *grpc.Server
	slots     chan struct{} // holds one element for each call that runs
	sockets   clientSockets // open connections of clients
	receivers *receivers
	counters  frontCounters
	stopped   atomic.Bool // Stop has returned
}

// frontCounters count what the frontend has done since the start.
type frontCounters struct {
	calls    atomic.Int64 // calls to run a statement, also those that were rejected or invalid
	rejected atomic.Int64 // calls that were rejected as too many ran
	invalid  atomic.Int64 // calls with bad input
	messages atomic.Int64 // messages of streams that were passed on to clients
	gone     atomic.Int64 // calls whose client cancelled or left before the answer
}

// Counts returns a copy of the counters for the log, by the names that operators know.
func (front *Front) Counts() map[string]int64 {
	return map[string]int64{
		"Calls":      front.counters.calls.Load(),
		"TurnedAway": front.counters.rejected.Load(),
		"Bad":        front.counters.invalid.Load(),
		"Messages":   front.counters.messages.Load(),
		"Gone":       front.counters.gone.Load(),
		"Accepted":   front.sockets.accepted.Load(),
		"Open":       front.sockets.open.Load(),
		"Running":    int64(len(front.slots)),
		"Receiving":  front.receivers.active.Load(),
		"Crowded":    front.receivers.rejected.Load(),
		"Stalled":    front.receivers.stalled.Load(),
	}
}

// NewFront returns a frontend whose requests go to the core with this backend. The function do runs another one on the
// event loop, from any goroutine.
func NewFront(
	bounds limits.Flight, log zerolog.Logger, requests *core.Core, in *intake.Intake, do func(func()),
	backend *Backend,
) (*Front, error) {
	information, err := newInformationServer()
	if err != nil {
		return nil, err
	}
	front := &Front{
		FlightServer: flightsql.NewFlightServer(information),
		limits:       bounds,
		log:          log,
		core:         requests,
		intake:       in,
		runOnLoop:    do,
		backend:      backend,
		slots:        make(chan struct{}, bounds.MaxCalls),
	}
	front.receivers = &receivers{limits: bounds, sockets: &front.sockets}
	front.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(bounds.MaxRequestBytes),
		grpc.MaxHeaderListSize(uint32(bounds.MaxHeaderBytes)),
		grpc.MaxConcurrentStreams(uint32(bounds.MaxCallsPerConnection)),
		grpc.InitialWindowSize(int32(bounds.WindowBytes)), // also keeps gRPC from making the windows larger
		grpc.InitialConnWindowSize(int32(bounds.WindowBytes)),
		grpc.ConnectionTimeout(bounds.StartupTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: bounds.IdleTimeout}),
		grpc.InTapHandle(front.receivers.begin),
		grpc.StatsHandler(front.receivers),
	)
	flight.RegisterFlightServiceServer(front.server, front)
	return front, nil
}

// newInformationServer returns the library's server for commands about the server itself.
func newInformationServer() (*flightsql.BaseServer, error) {
	server := &flightsql.BaseServer{}
	for id, value := range map[flightsql.SqlInfo]any{
		flightsql.SqlInfoFlightSqlServerName:        serverName,
		flightsql.SqlInfoFlightSqlServerReadOnly:    false,
		flightsql.SqlInfoFlightSqlServerSql:         true,
		flightsql.SqlInfoFlightSqlServerTransaction: int32(flightsql.SqlTransactionNone),
	} {
		if err := server.RegisterSqlInfo(id, value); err != nil {
			return nil, err
		}
	}
	return server, nil
}

// Serve answers calls on a listener until Stop, and returns once Stop has. A failed accept does not end it. The number
// of open connections is bounded, so that they cannot use up the descriptors.
func (front *Front) Serve(listener net.Listener) error {
	failures := netretry.NewFailures("flight: accept", front.limits.LogInterval, front.log, front.core.Now)
	retrying := netretry.NewListener(listener, netretry.NewBackoff(front.limits.Retry), failures)
	lingers := lingerTimes{total: front.limits.LingerTimeout, afterReceived: front.limits.CloseTimeout}
	observed := socketListener{Listener: retrying, sockets: &front.sockets, lingerTimes: lingers}
	return front.server.Serve(netutil.LimitListener(observed, front.limits.MaxClientConnections))
}

// Stop accepts no further calls and waits for those that run.
func (front *Front) Stop() {
	front.server.GracefulStop()
	front.stopped.Store(true)
}

// Stopped reports whether Stop has returned: all answers have gone out.
func (front *Front) Stopped() bool { return front.stopped.Load() }
