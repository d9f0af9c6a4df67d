package testbed

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	wire "capercove/internal/flight"
)

// Batches is how many record batches a served statement has.
const Batches = 3

// schema is that of all results: one column of text.
var schema = arrow.NewSchema([]arrow.Field{{Name: "val", Type: arrow.BinaryTypes.String}}, nil)

// serveFlight starts the database's Flight SQL server.
func (d *Database) serveFlight() {
	listener := d.listen()
	d.Flight = listener.Addr().String()
	server := grpc.NewServer(d.flightOptions...)
	flight.RegisterFlightServiceServer(server, flightsql.NewFlightServer(&flightServer{database: d}))
	go func() { _ = server.Serve(listener) }() // until Stop
	d.t.Cleanup(server.Stop)
}

// flightServer implements a database's Flight SQL methods.
type flightServer struct {
	flightsql.BaseServer
	database *Database
}

// GetFlightInfoStatement implements flightsql.Server: it returns a ticket, which is the statement itself.
func (s *flightServer) GetFlightInfoStatement(_ context.Context, query flightsql.StatementQuery,
	descriptor *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	sql := query.GetQuery()
	if strings.Contains(sql, executedForTicket) {
		s.database.receive(sql, time.Now())
	}
	if strings.Contains(sql, delayedTicket) {
		s.database.countTicket()
		<-s.database.released
	}
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(sql))
	endpoint := &flight.FlightEndpoint{Ticket: &flight.Ticket{Ticket: ticket}}
	return &flight.FlightInfo{FlightDescriptor: descriptor, Endpoint: []*flight.FlightEndpoint{endpoint}}, err
}

func (d *Database) countTicket() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets++
}

// execute does what a statement requests, up to its answer, and returns the behaviour that the caller has to show.
func (s *flightServer) execute(ctx context.Context, sql string) (behaviour, error) {
	database := s.database
	if incoming, ok := metadata.FromIncomingContext(ctx); ok {
		database.recordDeadline(sql, incoming.Get(wire.KeyDeadline))
	}
	position := strconv.FormatInt(database.position(), 10)
	trailer := metadata.Pairs(wire.KeyMode, database.mode(), wire.KeyWALTime, position)
	if err := grpc.SetTrailer(ctx, trailer); err != nil {
		return serve, err
	}
	does := behaviourOf(sql)
	if !strings.Contains(sql, executedForTicket) {
		does = database.receive(sql, time.Now())
	}
	switch does {
	case rejectOverloaded:
		return does, wire.Rejection(0)
	case failStatement:
		return does, status.Error(codes.Internal, failureMessage)
	case rejectReadOnly:
		return does, status.Error(codes.FailedPrecondition, failureMessage)
	case rejectUnusable:
		return does, status.Error(codes.InvalidArgument, failureMessage)
	case closeConnection:
		database.Cut()
		return does, status.Error(codes.Unavailable, failureMessage)
	case serveAfterRelease:
		<-database.released
	case neverAnswer:
		<-ctx.Done()
		database.countAbandoned()
		return does, ctx.Err()
	}
	return does, nil
}

// DoGetStatement implements flightsql.Server: it streams the result of a statement.
func (s *flightServer) DoGetStatement(ctx context.Context, ticket flightsql.StatementQueryTicket) (*arrow.Schema,
	<-chan flight.StreamChunk, error,
) {
	does, err := s.execute(ctx, string(ticket.GetStatementHandle()))
	if err != nil {
		return nil, nil, err
	}
	chunks := make(chan flight.StreamChunk)
	go s.stream(ctx, does, chunks)
	return schema, chunks, nil
}

// stream sends the batches of a result and closes chunks.
func (s *flightServer) stream(ctx context.Context, does behaviour, chunks chan<- flight.StreamChunk) {
	defer close(chunks)
	for number := 0; number < Batches || does == streamEndlessly; number++ {
		if does == stopAfterBatch && number == 1 {
			<-ctx.Done()
			return
		}
		if does == pauseAfterBatch && number == 1 {
			<-s.database.released
		}
		select {
		case chunks <- flight.StreamChunk{Data: s.batch()}:
		case <-ctx.Done():
			s.database.countAbandoned()
			return
		}
	}
}

// batch returns a batch with one row.
func (s *flightServer) batch() arrow.RecordBatch {
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	builder.Field(0).(*array.StringBuilder).Append("from " + s.database.ID)
	return builder.NewRecordBatch()
}

// DoPutCommandStatementUpdate implements flightsql.Server: it executes an update of one row.
func (s *flightServer) DoPutCommandStatementUpdate(ctx context.Context,
	update flightsql.StatementUpdate,
) (int64, error) {
	_, err := s.execute(ctx, update.GetQuery())
	return 1, err
}
