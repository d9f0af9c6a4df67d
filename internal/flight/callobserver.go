package flight

import (
	"context"

	"google.golang.org/grpc/stats"
)

// callObserver is gRPC's handler for the events of calls to databases. It cancels an attempt that gRPC is about to
// retry on its own.
type callObserver struct{}

// attemptKey is the key of the attempt in a call's context.
type attemptKey struct{}

// TagRPC implements stats.Handler.
func (callObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (callObserver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	running, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return
	}
	if begin, ok := event.(*stats.Begin); ok && begin.IsTransparentRetryAttempt {
		running.Cancel()
	}
}

// TagConn implements stats.Handler.
func (callObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (callObserver) HandleConn(context.Context, stats.ConnStats) {}
