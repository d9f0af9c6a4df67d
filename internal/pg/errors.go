package pg

import "errors"

// Errors of a byte stream. After any of them the connection cannot be used any more.
var (
	// ErrMessageTooLong is returned for a message, or for a result, that exceeds its size limit.
	ErrMessageTooLong = errors.New("message too long")
	// ErrMalformedMessage is returned for a message whose body does not have the format of its type.
	ErrMalformedMessage = errors.New("malformed message")
	// ErrUnexpectedMessage is returned for a message that is not allowed in the connection's state.
	ErrUnexpectedMessage = errors.New("message of an unexpected type")
	// ErrAuthenticationRequested is returned if the database requests authentication, which is not supported.
	ErrAuthenticationRequested = errors.New("the database requests authentication, which is not supported")
)

// Errors of a label, the comment at the end of a statement. Their texts are sent to clients.
var (
	// ErrNoLabel is returned for a statement that does not end in a comment with the required fields.
	ErrNoLabel = errors.New("the statement does not end in a comment with id, c and d")
	// ErrTooManyFields is returned for a label with more fields than are read.
	ErrTooManyFields = errors.New("the comment with id, c and d has too many fields")
	// ErrBadGroup is returned for a group number that is not an integer.
	ErrBadGroup = errors.New("cluster is not a number")
	// ErrBadWait is returned for a wait that is not a positive 31-bit number of milliseconds.
	ErrBadWait = errors.New("d is not a positive number of milliseconds")
	// ErrBadPosition is returned for a replication position that is not a number of milliseconds within its range.
	ErrBadPosition = errors.New("after is not a position")
)
