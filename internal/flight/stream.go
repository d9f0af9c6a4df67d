package flight

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
)

// query runs a query: it gets a ticket from the database, fetches that, and passes the stream on. By the protocol the
// database may execute the statement when it is asked for the ticket. What allowed the statement is checked again
// before the fetch: a database that executes it only then must not begin if it has run out.
func (attempt *attempt) query(descriptor *flight.FlightDescriptor) error {
	ticket, err := attempt.ticket(descriptor)
	if err != nil {
		return err
	}
	stream, err := attempt.call(methodDoGet, ticket)
	if err != nil {
		return err
	}
	return attempt.relay(stream)
}

// ticket asks the database for the ticket of a query.
func (attempt *attempt) ticket(descriptor *flight.FlightDescriptor) (*flight.Ticket, error) {
	stream, err := attempt.call(methodGetFlightInfo, descriptor)
	if err != nil {
		return nil, err
	}
	info, err := attempt.receiveInfo(stream)
	attempt.readEvidence(stream)
	if err != nil {
		return nil, err
	}
	endpoints := info.GetEndpoint()
	isOneOfItsOwn := len(endpoints) == 1 && len(endpoints[0].GetLocation()) == 0
	if !isOneOfItsOwn {
		return nil, errNotOneEndpoint
	}
	return endpoints[0].Ticket, nil
}

// receiveInfo returns the one message with the ticket.
func (attempt *attempt) receiveInfo(stream grpc.ClientStream) (*flight.FlightInfo, error) {
	info := new(flight.FlightInfo)
	if err := stream.RecvMsg(info); err != nil {
		return nil, err
	}
	attempt.accepted = true
	if err := receiveLast(stream, new(flight.FlightInfo), errNotOneEndpoint); err != nil {
		return nil, err
	}
	return info, nil
}

// relay passes a stream on, message by message. The schema, which comes first, is held back until the first batch or
// the end of the stream has come: if the stream breaks before, the request may still go to another database.
func (attempt *attempt) relay(stream grpc.ClientStream) error {
	schema, err := attempt.receive(stream)
	var batch *flight.FlightData
	if err == nil {
		batch, err = attempt.receive(stream)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !attempt.bindRequest() {
		return attempt.endError()
	}
	if schema != nil && !attempt.pass(schema) {
		return attempt.endError()
	}
	for err == nil {
		if !attempt.pass(batch) || !attempt.extendTimeLimit(attempt.limits.ChunkTimeout) {
			return attempt.endError()
		}
		batch, err = attempt.receive(stream)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// receive returns the next message of a stream. Its error is io.EOF at the end of a complete one; with any error comes
// what the database reports of itself.
func (attempt *attempt) receive(stream grpc.ClientStream) (*flight.FlightData, error) {
	message := new(flight.FlightData)
	if err := stream.RecvMsg(message); err != nil {
		attempt.readEvidence(stream)
		return nil, err
	}
	return message, nil
}

// readEvidence reads what the database reported of itself with a stream that has ended.
func (attempt *attempt) readEvidence(stream grpc.ClientStream) {
	header, _ := stream.Header() // a stream that never began has none
	attempt.evidence = parseEvidence(header, stream.Trailer())
}

// pass hands a message to the client's call, and waits until that takes it. It returns false if the attempt ends first.
// The time for which the client holds up all messages is limited.
func (attempt *attempt) pass(message *flight.FlightData) bool {
	left := attempt.limits.StreamTimeout - attempt.heldUp
	if !attempt.extendTimeLimit(left) {
		return false
	}
	begun := time.Now()
	defer func() { attempt.heldUp += time.Since(begun) }()
	select {
	case attempt.statement.call.messages <- message:
		return true
	case <-attempt.ctx.Done():
		return false
	}
}

// endError returns why nothing more is passed on.
func (attempt *attempt) endError() error {
	switch {
	case attempt.isTimedOut():
		return status.FromContextError(context.DeadlineExceeded).Err()
	case attempt.ctx.Err() != nil:
		return status.FromContextError(attempt.ctx.Err()).Err()
	}
	return errRequestOver
}
