package flight

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"capercove/routing"
)

// connection is a connection to a database. It carries as many calls as the database and the settings allow. But for
// open and the fields that say otherwise it is used on the event loop's goroutine alone.
type connection struct {
	node     routing.NodeID
	address  string
	client   *grpc.ClientConn // used on any goroutine
	calls    int              // attempts that use it, each for one stream at a time
	lastUsed time.Duration    // when an attempt last began to use it
	retired  bool             // it gets no further attempts, and is closed after the last call

	// socket is the latest that was dialled; nil before the first one. It is used on any goroutine.
	socket atomic.Pointer[databaseSocket]
	// opening holds one element while a stream is being opened, so that streams are registered in their order.
	opening chan struct{}

	// localShortage is set while the last dial failed for a shortage on this machine, and is being retried.
	localShortage atomic.Bool

	// valid is cancelled once the database is gone, excluded, or at another address. Nothing is begun on the connection
	// from then on. It is used on any goroutine.
	valid      context.Context
	invalidate context.CancelFunc
}

// open waits until the connection is up, and reports whether it is. If it is not, nothing was written.
func (connection *connection) open(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stopWatching := context.AfterFunc(connection.valid, cancel) //nolint:contextcheck // it starts no work under valid
	defer stopWatching()
	for {
		state := connection.client.GetState()
		switch state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure:
			connection.client.ResetConnectBackoff() // the router decides when to retry
			return false
		case connectivity.Idle:
			connection.client.Connect()
		}
		if !connection.client.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// openStream opens a stream for a call of an attempt, and returns it with the call's message, which is yet to be
// written. It waits for as long as gRPC does, such as until the database allows one more stream. It may be called on
// any goroutine once open has returned true.
func (connection *connection) openStream(
	ctx context.Context, method string, running *attempt,
) (grpc.ClientStream, *outgoingMessage, error) {
	select {
	case connection.opening <- struct{}{}:
		defer func() { <-connection.opening }()
	case <-ctx.Done():
		return nil, nil, status.FromContextError(ctx.Err()).Err()
	}
	socket := connection.socket.Load()
	stream, err := connection.client.NewStream(ctx, &oneRequest, method)
	if err != nil {
		return nil, nil, err
	}
	message := socket.register(running)
	if replacement := connection.socket.Load(); replacement != socket { // the stream may be on either
		message.withdraw()
		replacement.loseTrack()
		return nil, nil, &attemptError{withdrawn, errSocketReplaced}
	}
	return stream, message, nil
}

// isValid reports whether attempts may still begin on the connection. It may be called on any goroutine.
func (connection *connection) isValid() bool { return connection.valid.Err() == nil }

// allowedStreams returns how many streams the database allows at once, and false if it has not told yet.
func (connection *connection) allowedStreams() (allowed int, isKnown bool) {
	socket := connection.socket.Load()
	if socket == nil {
		return 0, false
	}
	told := socket.allowed.Load()
	return int(told), told != streamsUnknown
}

// retire closes the connection once no attempt uses it.
func (connection *connection) retire() {
	connection.retired = true
	connection.closeIfUnused()
}

func (connection *connection) closeIfUnused() {
	if connection.retired && connection.calls == 0 {
		_ = connection.client.Close() // fails only if it is closed already
	}
}
