package flight

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// scriptedPut is the stream of an update whose answer consists of so many results and an error.
type scriptedPut struct {
	grpc.ClientStream
	results int
	end     error
}

// RecvMsg implements grpc.ClientStream.
func (stream *scriptedPut) RecvMsg(any) error {
	if stream.results == 0 {
		return stream.end
	}
	stream.results--
	return nil
}

// Guards against an update that is sent again after its database has answered with a result, as an error that follows
// the result counted as a proof that nothing had run.
func TestErrorAfterResultIsNoProofThatUpdateNeverRan(t *testing.T) {
	for results, accepted := range []bool{false, true, true} {
		var update attempt
		_, err := update.receiveResult(&scriptedPut{results: results, end: status.Error(codes.FailedPrecondition, "")})
		require.Error(t, err)
		require.Equal(t, accepted, update.accepted, "%d results", results)
	}
}
