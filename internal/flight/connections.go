package flight

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// connections are the connections to databases, one each. Their number is bounded, so that they cannot use up the file
// descriptors. They are used on the event loop's goroutine alone.
type connections struct {
	config     Config
	limit      int // how many may be open
	maxMessage int // greatest length of a message, in bytes
	maxHeader  int // greatest length of the headers of an answer, in bytes
	window     int // of a stream and of a connection, in bytes
	dialer     *dialer
	byNode     map[routing.NodeID]*connection
}

func newConnections(config Config, bounds limits.Flight, dialer *dialer) connections {
	return connections{
		config:     config,
		limit:      bounds.MaxDatabaseConnections,
		maxMessage: bounds.MaxMessageBytes,
		maxHeader:  bounds.MaxHeaderBytes,
		window:     bounds.WindowBytes,
		dialer:     dialer,
		byNode:     map[routing.NodeID]*connection{},
	}
}

// to returns the connection to a database; a new one is made if there is none, and dialled by connection.open.
func (connections *connections) to(member *core.Member, now time.Duration) (*connection, *attemptError) {
	if known := connections.byNode[member.ID]; known != nil {
		known.lastUsed = now
		return known, nil
	}
	if len(connections.byNode) >= connections.limit && !connections.evict() {
		return nil, &attemptError{localShortage, errTooManyConnections}
	}
	created, err := connections.create(connections.config.address(member.Name, member.Addr))
	if err != nil {
		return nil, &attemptError{unreachable, err}
	}
	created.lastUsed = now
	connections.byNode[member.ID] = created
	return created, nil
}

// create makes a connection that is not dialled yet.
func (connections *connections) create(address string) (*connection, error) {
	created := &connection{address: address, opening: make(chan struct{}, 1)}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		opened, err := connections.dialer.dial(ctx, address, &created.localShortage)
		if err != nil {
			return nil, err
		}
		socket := newDatabaseSocket(opened)
		created.socket.Store(socket)
		return socket, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithNoProxy(),
		// The router alone decides on retries, neither the service config nor the library by itself (see callObserver).
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(callObserver{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(connections.maxMessage)),
		grpc.WithMaxHeaderListSize(uint32(connections.maxHeader)),
		grpc.WithInitialWindowSize(int32(connections.window)), // also keeps gRPC from making the windows larger
		grpc.WithInitialConnWindowSize(int32(connections.window)),
	)
	if err != nil {
		return nil, err
	}
	created.client = client
	created.valid, created.invalidate = context.WithCancel(context.Background())
	return created, nil
}

// update drops the connection to a database that is gone, excluded, or at another address.
func (connections *connections) update(member *core.Member) {
	known := connections.byNode[member.ID]
	if known == nil {
		return
	}
	moved := known.address != connections.config.address(member.Name, member.Addr)
	if member.State == routing.Gone || member.Excluded || moved {
		known.invalidate()
		connections.retire(member.ID, known)
	}
}

// retire drops a connection. It is closed once no attempt uses it.
func (connections *connections) retire(id routing.NodeID, dropped *connection) {
	if connections.byNode[id] == dropped {
		delete(connections.byNode, id)
	}
	dropped.retire()
}

// evict closes the least recently used connection without a call, and reports whether there was one.
func (connections *connections) evict() bool {
	var oldest *connection
	var oldestID routing.NodeID
	for id, candidate := range connections.byNode {
		if candidate.calls == 0 && (oldest == nil || candidate.lastUsed < oldest.lastUsed) {
			oldest, oldestID = candidate, id
		}
	}
	if oldest == nil {
		return false
	}
	connections.retire(oldestID, oldest)
	return true
}

// close closes all connections.
func (connections *connections) close() {
	for id, open := range connections.byNode {
		open.invalidate()
		_ = open.client.Close() // fails only if it is closed already
		delete(connections.byNode, id)
	}
}
