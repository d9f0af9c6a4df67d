package flight

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"capercove/internal/core"
)

// The methods of a database that are called.
const (
	methodGetFlightInfo = "/arrow.flight.protocol.FlightService/GetFlightInfo"
	methodDoGet         = "/arrow.flight.protocol.FlightService/DoGet"
	methodDoPut         = "/arrow.flight.protocol.FlightService/DoPut"
)

// oneRequest describes a call with one message to the database, which ends the database's side of the stream, and any
// number of messages from it. All methods are called so: gRPC then opens the stream first and writes the message later.
var oneRequest = grpc.StreamDesc{ServerStreams: true}

// call begins a call to the database: it checks what allowed the statement, opens a stream and writes the request. gRPC
// may let a call wait for its stream, such as until the database allows one more; the check is repeated then. A check
// before the stream lets gRPC write headers and message at once.
func (attempt *attempt) call(method string, request proto.Message) (grpc.ClientStream, error) {
	told := attempt.backend.core.TellTime(attempt.Attempt, proto.Size(request))
	if !attempt.mayBeSent(told) {
		return nil, attempt.refusal()
	}
	checked := time.Now()
	ctx := metadata.NewOutgoingContext(attempt.ctx, attempt.statement.headers(told.Left))
	ctx = context.WithValue(ctx, attemptKey{}, attempt)
	stream, message, err := attempt.connection.openStream(ctx, method, attempt)
	if err != nil {
		return nil, err
	}
	attempt.message = message
	hasWaited := time.Since(checked) > attempt.limits.MaxCheckAge
	if hasWaited && !attempt.mayBeSent(told) {
		message.withdraw()
		return nil, attempt.refusal()
	}
	// With io.EOF the call has ended, and a receive returns why.
	if err := stream.SendMsg(request); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	attempt.watchWrite(message, told)
	return stream, nil
}

// watchWrite checks again what allowed the statement, for as long as a part of its message waits in gRPC or for room in
// the socket.
func (attempt *attempt) watchWrite(message *outgoingMessage, told core.TimeTold) {
	message.afterUnwritten(attempt.limits.WriteRecheckInterval, func() {
		switch {
		case attempt.ctx.Err() != nil:
		case attempt.mayBeSent(told):
			attempt.watchWrite(message, told)
		case message.withdraw():
			attempt.cancel(errMayNotBeSent)
		case !message.isWritten(): // it is on its way into a socket that has no room
			_ = message.socket.Close() // fails only if it is closed already
		}
	})
}

// refusal returns why the attempt ends if it may not be sent any more. If the database has given out a ticket, the
// statement may have run.
func (attempt *attempt) refusal() *attemptError {
	if attempt.accepted {
		return &attemptError{unfetched, errMayNotBeSent}
	}
	return &attemptError{withdrawn, errMayNotBeSent}
}

// receiveLast receives the end of a stream of which one message was expected. It returns nil if the stream is complete,
// and surplus if another message came.
func receiveLast(stream grpc.ClientStream, into proto.Message, surplus error) error {
	switch err := stream.RecvMsg(into); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return surplus
}
