package flight

import (
	"errors"
	"fmt"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"capercove/routing"
)

// failureKind says what the failure of an attempt means for the database, and whether the statement may be retried.
type failureKind uint8

// The kinds of failures. Even where one says that the statement did not run, it may have run if the database had
// accepted it before; see core.Core.Accepted.
const (
	// withdrawn: nothing was written, since the statement may not be sent any more. It says nothing about the database.
	withdrawn failureKind = iota
	// localShortage: nothing was written, since this machine lacks something. It says nothing about the database.
	localShortage
	// unreachable: nothing was written, since there is no connection. It is the endpoint's fault.
	unreachable
	// rejected: the database did not run the statement, as it is no primary or too far behind.
	rejected
	// overloaded: the database did not run the statement, as it is overloaded.
	overloaded
	// unfetched: the database gave out a ticket, which may not be fetched any more. It says nothing about the database;
	// the statement may have run.
	unfetched
	// connectionLost: the connection broke; the statement may have run.
	connectionLost
	// timedOut: no answer came in time; the statement may have run.
	timedOut
	// endpointFault: the database failed, or its answer is invalid; the statement may have run.
	endpointFault
	// badInput: the database cannot use the statement, nor can another one.
	badInput
)

// failureKinds has the name of each kind, and the status that the router gets.
var failureKinds = [...]struct {
	name   string
	status routing.Status
}{
	withdrawn:      {"withdrawn", routing.NotSent},
	localShortage:  {"local shortage", routing.NotSent},
	unreachable:    {"unreachable", routing.ConnectFailed},
	rejected:       {"rejected", routing.NodeRejected},
	overloaded:     {"overloaded", routing.NodeOverloaded},
	unfetched:      {"unfetched", routing.Cancelled},
	connectionLost: {"connection lost", routing.ConnectionBroken},
	timedOut:       {"timed out", routing.TimedOut},
	endpointFault:  {"endpoint fault", routing.NodeError},
	badInput:       {"bad input", routing.NodeRejected},
}

// String returns the name of the kind.
func (kind failureKind) String() string { return failureKinds[kind].name }

// attemptError is why an attempt failed.
type attemptError struct {
	kind  failureKind
	cause error
}

func (failure *attemptError) Error() string {
	return fmt.Sprintf("%v: %v", failure.kind, failure.cause)
}

func (failure *attemptError) Unwrap() error { return failure.cause }

// status returns what the router gets.
func (failure *attemptError) status() routing.Status { return failureKinds[failure.kind].status }

// Causes of failures that no call to a database reported.
var (
	errTooManyConnections = errors.New("too many connections to databases, and all carry calls")
	errNoStream           = errors.New("the database allows no call")
	errNoConnection       = errors.New("no connection to the database")
	errSocketReplaced     = errors.New("the connection to the database was replaced")
	errMayNotBeSent       = errors.New("the statement may not be sent any more")
	errRequestOver        = status.Error(codes.Canceled, "the request is over")
	errNotOneEndpoint     = errors.New("the database's answer has not one endpoint of its own")
	errSecondAnswer       = errors.New("the database has sent more than one answer to an update")
)

// callError classifies an error that a call to a database returned. mayHaveArrived reports whether the last byte of a
// message of the attempt was handed to the operating system. Only the codes that gRPC itself never makes up, or that
// carry RetryInfo, prove that nothing ran.
func callError(cause error, mayHaveArrived bool) *attemptError {
	var known *attemptError
	if errors.As(cause, &known) {
		return known
	}
	answer := status.Convert(cause)
	kind := endpointFault
	switch answer.Code() {
	case codes.InvalidArgument:
		kind = badInput
	case codes.FailedPrecondition:
		kind = rejected
	case codes.ResourceExhausted:
		if hasRetryInfo(answer) {
			kind = overloaded
		}
	case codes.DeadlineExceeded:
		kind = timedOut
	case codes.Unavailable, codes.Canceled:
		kind = connectionLost
		if !mayHaveArrived {
			kind = unreachable
		}
	}
	return &attemptError{kind, cause}
}

// hasRetryInfo reports whether a status says when to retry.
func hasRetryInfo(answer *status.Status) bool {
	for _, detail := range answer.Details() {
		if _, ok := detail.(*errdetails.RetryInfo); ok {
			return true
		}
	}
	return false
}
