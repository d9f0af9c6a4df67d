package flight

import (
	"context"
	"hash/fnv"
	"net"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/tenant"
)

// frontName is the frontend's name for the intake and the counters.
const frontName = "flight"

// deadlineBits bounds the milliseconds that a client may wait, about 24 days.
const deadlineBits = 31

// fieldHeaders are the headers that carry the parts of a request.
var fieldHeaders = map[intake.Field]string{
	intake.FieldID:    KeyID,
	intake.FieldClass: KeyClass,
	intake.FieldGroup: KeyGroup,
}

// newRequest checks a statement and makes a request of it that lacks only its client. It runs on the event loop. Its
// errors are of type *inputError.
func (front *Front) newRequest(ctx context.Context, statement *statement) (*core.Request, error) {
	input, err := statement.input()
	if err != nil {
		return nil, err
	}
	statement.backend = front.backend
	if front.intake.ClassifiesTenants() {
		input.Caller = callerOf(ctx)
	}
	request, problem := front.intake.Request(&input)
	if problem != nil {
		return nil, &inputError{header: fieldHeaders[problem.Field], reason: problem.Why}
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeLeft = min(request.TimeLeft, time.Until(deadline))
	}
	return request, nil
}

// input reads the headers of a statement. Its errors are of type *inputError.
func (statement *statement) input() (intake.Input, error) {
	input := intake.Input{
		Front:     frontName,
		ID:        statement.ID,
		Class:     statement.Class,
		HasGroup:  true,
		SQL:       statement.SQL,
		IsUpdate:  statement.isUpdate,
		Statement: statement,
	}
	var err error
	if input.Group, err = strconv.Atoi(statement.Group); err != nil {
		return input, &inputError{header: KeyGroup, reason: "not a number"}
	}
	if input.LastWrite, err = parsePosition(statement.After); err != nil {
		return input, &inputError{header: KeyAfter, reason: err.Error()}
	}
	if statement.deadline != "" {
		millis, err := strconv.ParseUint(statement.deadline, 10, deadlineBits)
		if err != nil || millis == 0 {
			return input, &inputError{header: KeyDeadline, reason: "not a positive number of milliseconds"}
		}
		input.TimeLeft = time.Duration(millis) * time.Millisecond
	}
	if statement.Session != "" {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(statement.Session)) // a hash takes all
		input.SessionKey = max(hash.Sum64(), 1)      // 0 means no session
	}
	return input, nil
}

// callerOf returns who sent a call.
func callerOf(ctx context.Context) (caller tenant.Caller) {
	if client, ok := peer.FromContext(ctx); ok {
		if address, ok := client.Addr.(*net.TCPAddr); ok {
			caller.Address = address.AddrPort().Addr()
			caller.Connection = uint64(address.Port)
		}
	}
	headers, _ := metadata.FromIncomingContext(ctx)
	caller.Header = func(name string) string { return firstValue(headers, name) }
	return caller
}
