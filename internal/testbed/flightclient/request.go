package flightclient

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"

	"capercove/internal/flight"
)

const group = "3" // of a bed's databases

// Request is what the headers of a call say of its request, beside the group.
type Request struct {
	Class   string
	ID      string
	Session string // empty: no header
	Wait    time.Duration
}

// Context returns a context with the headers.
func (request Request) Context() context.Context { return request.With(context.Background()) }

// With returns a context with the headers and the end of another one.
func (request Request) With(parent context.Context) context.Context {
	ctx := metadata.AppendToOutgoingContext(parent,
		flight.KeyClass, request.Class,
		flight.KeyGroup, group,
		flight.KeyID, request.ID,
		flight.KeyDeadline, strconv.FormatInt(request.Wait.Milliseconds(), 10))
	if request.Session == "" {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, flight.KeySession, request.Session)
}
