package flight

import (
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"capercove/internal/core"
)

// Errors of calls that failed for good, as gRPC statuses. Where a statement may have run, the text says so.
var (
	errMayHaveRun       = status.Error(codes.Internal, "failed; it may have run")
	errDeadlineExceeded = status.Error(codes.DeadlineExceeded, "no answer in time; it may have run")
	errUnusable         = status.Error(codes.InvalidArgument, "the databases cannot use the statement")
)

// failureErrors has the error of a call for each reason of the core.
var failureErrors = map[core.Failure]error{
	core.ConnectionBroke:  errMayHaveRun,
	core.DeadlineExceeded: errDeadlineExceeded,
	core.Unusable:         errUnusable,
}

// Errors of calls with bad input, as gRPC statuses. The same call fails every time.
var (
	errTransaction   = status.Error(codes.Unimplemented, "transactions are not supported")
	errNotAnUpdate   = status.Error(codes.Unimplemented, "only CommandStatementUpdate may be put")
	errForeignTicket = status.Error(codes.InvalidArgument, "the ticket is not one of this server's")
)

// inputError names which header of a call is at fault. The same call fails every time.
type inputError struct {
	header string
	reason string
}

func (problem *inputError) Error() string { return problem.header + ": " + problem.reason }

// GRPCStatus returns the status that gRPC sends to the client.
func (problem *inputError) GRPCStatus() *status.Status {
	return status.New(codes.InvalidArgument, problem.Error())
}

// Rejection returns the error of a call that never ran and may be retried after this long. No other error of a call
// carries RetryInfo.
func Rejection(retryAfter time.Duration) error {
	refusal := status.New(codes.ResourceExhausted, "refused: nothing was run, try again")
	retryInfo := &errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)}
	if detailed, err := refusal.WithDetails(retryInfo); err == nil {
		refusal = detailed
	}
	return refusal.Err()
}
