package flight

import (
	"errors"
	"io"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/protobuf/proto"
)

// update runs an update, and returns its encoded result as it came.
func (attempt *attempt) update(
	client flight.FlightServiceClient, descriptor *flight.FlightDescriptor,
) ([]byte, error) {
	stream, err := client.DoPut(attempt.callContext())
	if err != nil {
		return nil, err
	}
	// With io.EOF the call has ended, and Recv returns why.
	if err := stream.Send(&flight.FlightData{FlightDescriptor: descriptor}); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	result, err := attempt.receiveResult(stream)
	attempt.readEvidence(stream)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(result)
}

// receiveResult returns the one result of an update. It counts only once the database has ended the call without an
// error.
func (attempt *attempt) receiveResult(stream flight.FlightService_DoPutClient) (*flight.PutResult, error) {
	result, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	attempt.accepted = true
	_, err = stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		return result, nil
	case err != nil:
		return nil, err
	}
	return nil, errSecondAnswer
}
