package flight

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
)

// unknownSize is what a FlightInfo gives as the length of an answer that is not known.
const unknownSize = -1

// GetFlightInfo gives out a ticket for a statement. Nothing runs until the ticket is fetched.
func (front *Front) GetFlightInfo(
	ctx context.Context, descriptor *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	sql, ok, err := parseQuery(descriptor.GetCmd())
	if err != nil {
		return nil, err
	}
	if !ok {
		return front.FlightServer.GetFlightInfo(ctx, descriptor)
	}
	statement := statement{SQL: sql}
	headers, _ := metadata.FromIncomingContext(ctx)
	statement.applyHeaders(headers)
	ticket, err := statement.ticket()
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{
		FlightDescriptor: descriptor,
		TotalRecords:     unknownSize,
		TotalBytes:       unknownSize,
		Endpoint:         []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}},
	}, nil
}

// DoGet runs the statement of a ticket and streams its answer.
func (front *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	statement, ok, err := parseTicket(ticket)
	if err != nil {
		return err
	}
	if !ok {
		return front.FlightServer.DoGet(ticket, stream)
	}
	_, err = front.run(stream.Context(), &statement, stream.Send)
	return err
}

// DoPut runs an update and answers with its record count.
func (front *Front) DoPut(stream flight.FlightService_DoPutServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	sql, err := parseUpdate(first.GetFlightDescriptor().GetCmd())
	if err != nil {
		return err
	}
	statement := statement{SQL: sql, isUpdate: true}
	answer, err := front.run(stream.Context(), &statement, nil)
	if err != nil {
		return err
	}
	var result flight.PutResult
	if err := proto.Unmarshal(answer, &result); err != nil {
		return err
	}
	return stream.Send(&result)
}
