package flight

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"capercove/internal/limits"
)

// errRequestUnfinished ends a call whose request did not arrive in time. Nothing of it ran.
var errRequestUnfinished = status.Error(codes.Canceled, "the request is not finished in time")

// receivers bounds the calls whose requests are still arriving: their number, since each may hold a whole message, and
// the time for which the client may stop half way. gRPC limits neither. It is safe for concurrent use.
type receivers struct {
	limits   limits.Flight
	sockets  *clientSockets
	active   atomic.Int64
	rejected atomic.Int64 // calls that were rejected as too many requests were arriving
	stalled  atomic.Int64 // calls that were ended as their requests did not arrive in time
}

// receiver is one call whose request is still arriving.
type receiver struct {
	receivers *receivers
	socket    *clientSocket // nil: not known
	begun     time.Time
	cancel    context.CancelCauseFunc

	mu      sync.Mutex
	timeout *time.Timer // nil once the request has arrived
}

// receiverKey is the key of a call's receiver in its context.
type receiverKey struct{}

// begin is gRPC's hook for a call whose headers have arrived. The call's context ends with its request's time.
func (receivers *receivers) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if receivers.active.Add(1) > int64(receivers.limits.MaxReceiving) {
		receivers.active.Add(-1)
		receivers.rejected.Add(1)
		return nil, Rejection(0)
	}
	started := &receiver{receivers: receivers, socket: receivers.sockets.of(ctx), begun: time.Now()}
	ctx, started.cancel = context.WithCancelCause(ctx)
	started.mu.Lock()
	defer started.mu.Unlock()
	started.timeout = time.AfterFunc(receivers.limits.ReceiveTimeout, started.check)
	return context.WithValue(ctx, receiverKey{}, started), nil
}

// check ends the call if its client has sent nothing for the ReceiveTimeout, or the request takes too long in all.
func (started *receiver) check() {
	bounds := &started.receivers.limits
	silent := started.socket.sinceLastData()
	isSending := started.socket != nil && silent < bounds.ReceiveTimeout
	started.mu.Lock()
	defer started.mu.Unlock()
	switch {
	case started.timeout == nil: // it has arrived
	case isSending && time.Since(started.begun) < bounds.MessageTimeout:
		started.timeout.Reset(bounds.ReceiveTimeout - silent)
	default:
		started.receivers.stalled.Add(1)
		started.cancel(errRequestUnfinished)
	}
}

// arrived stops the limits of a request that has arrived, or whose call has ended.
func (started *receiver) arrived() {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.timeout == nil {
		return
	}
	started.timeout.Stop()
	started.timeout = nil
	started.receivers.active.Add(-1)
}

// TagRPC implements stats.Handler.
func (*receivers) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*receivers) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*receivers) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler. It follows the arrival of a call's request and the call's end.
func (*receivers) HandleRPC(ctx context.Context, event stats.RPCStats) {
	started, ok := ctx.Value(receiverKey{}).(*receiver)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.InPayload:
		started.arrived()
	case *stats.End:
		started.arrived()
		started.cancel(nil)
	}
}
