package flight

import (
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// update runs an update, and returns its encoded result as it came.
func (attempt *attempt) update(descriptor *flight.FlightDescriptor) ([]byte, error) {
	stream, err := attempt.call(methodDoPut, &flight.FlightData{FlightDescriptor: descriptor})
	if err != nil {
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
func (attempt *attempt) receiveResult(stream grpc.ClientStream) (*flight.PutResult, error) {
	result := new(flight.PutResult)
	if err := stream.RecvMsg(result); err != nil {
		return nil, err
	}
	attempt.accepted = true
	if err := receiveLast(stream, new(flight.PutResult), errSecondAnswer); err != nil {
		return nil, err
	}
	return result, nil
}
