package flight

import (
	"context"
	"math"
	"net"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// connections are the connections to databases. An attempt is given one on which it has a stream of its own, so that
// its call does not wait in gRPC for others to end. Their number is bounded, so that they cannot use up the file
// descriptors. They are used on the event loop's goroutine alone.
type connections struct {
	config     Config
	limit      int // how many may be open
	maxIdle    int // how many to one database may carry no call
	maxStreams int // on one connection at once
	maxMessage int // greatest length of a message, in bytes
	maxHeader  int // greatest length of the headers of an answer, in bytes
	window     int // of a stream and of a connection, in bytes
	dialer     *dialer
	open       int // how many there are
	byNode     map[routing.NodeID][]*connection
}

func newConnections(config Config, bounds limits.Flight, dialer *dialer) connections {
	return connections{
		config:     config,
		limit:      bounds.MaxDatabaseConnections,
		maxIdle:    bounds.MaxIdlePerDatabase,
		maxStreams: bounds.MaxStreamsPerConnection,
		maxMessage: bounds.MaxMessageBytes,
		maxHeader:  bounds.MaxHeaderBytes,
		window:     bounds.WindowBytes,
		dialer:     dialer,
		byNode:     map[routing.NodeID][]*connection{},
	}
}

// reserve returns a connection to a database with a stream for one more attempt, which release gives back. A new one is
// made if there is none, and dialled by connection.open. The stream may turn out not to be there: see confirm.
func (connections *connections) reserve(member *core.Member, now time.Duration) (*connection, *attemptError) {
	free := connections.withFreeStream(member.ID)
	if free == nil {
		created, failure := connections.add(member)
		if failure != nil {
			return nil, failure
		}
		free = created
	}
	free.calls++
	free.lastUsed = now
	return free, nil
}

// withFreeStream returns a connection to a database that may carry one more call; nil if there is none.
func (connections *connections) withFreeStream(node routing.NodeID) *connection {
	expected := connections.expectedStreams(node)
	for _, candidate := range connections.byNode[node] {
		allowed, isKnown := candidate.allowedStreams()
		if !isKnown {
			allowed = expected
		}
		if candidate.calls < min(allowed, connections.maxStreams) {
			return candidate
		}
	}
	return nil
}

// expectedStreams returns how many streams a new connection to a database will allow: as many as another one does.
// Without another one any number is expected, so that a crowd of attempts does not dial for each of them.
func (connections *connections) expectedStreams(node routing.NodeID) int {
	for _, candidate := range connections.byNode[node] {
		if allowed, isKnown := candidate.allowedStreams(); isKnown {
			return allowed
		}
	}
	return math.MaxInt32
}

// add makes a connection to a database, unless its streams would be of no use.
func (connections *connections) add(member *core.Member) (*connection, *attemptError) {
	if connections.expectedStreams(member.ID) == 0 {
		return nil, &attemptError{localShortage, errNoStream}
	}
	if connections.open >= connections.limit && !connections.evict() {
		return nil, &attemptError{localShortage, errTooManyConnections}
	}
	created, err := connections.create(connections.config.address(member.Name, member.Addr))
	if err != nil {
		return nil, &attemptError{unreachable, err}
	}
	created.node = member.ID
	connections.byNode[member.ID] = append(connections.byNode[member.ID], created)
	connections.open++
	return created, nil
}

// confirm reports whether the stream that an attempt has reserved is there, on a connection that is open by now. If the
// database allows fewer than was expected, the attempt has to reserve another one.
func (connections *connections) confirm(reserved *connection) bool {
	allowed, isKnown := reserved.allowedStreams()
	return !isKnown || reserved.calls <= min(allowed, connections.maxStreams)
}

// release ends the use of a connection by one attempt.
func (connections *connections) release(used *connection) {
	used.calls--
	if used.calls == 0 && !used.retired && connections.idle(used.node) > connections.maxIdle {
		connections.retire(used)
		return
	}
	used.closeIfUnused()
}

// idle returns how many connections to a database carry no call.
func (connections *connections) idle(node routing.NodeID) (count int) {
	for _, candidate := range connections.byNode[node] {
		if candidate.calls == 0 {
			count++
		}
	}
	return count
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

// update drops the connections to a database that is gone, excluded, or at another address.
func (connections *connections) update(member *core.Member) {
	address := connections.config.address(member.Name, member.Addr)
	isOut := member.State == routing.Gone || member.Excluded
	for _, known := range slices.Clone(connections.byNode[member.ID]) {
		if isOut || known.address != address {
			known.invalidate()
			connections.retire(known)
		}
	}
}

// retire drops a connection. It is closed once no attempt uses it.
func (connections *connections) retire(dropped *connection) {
	all := connections.byNode[dropped.node]
	if index := slices.Index(all, dropped); index >= 0 {
		connections.byNode[dropped.node] = slices.Delete(all, index, index+1)
		connections.open--
	}
	if len(connections.byNode[dropped.node]) == 0 {
		delete(connections.byNode, dropped.node)
	}
	dropped.retire()
}

// evict closes the least recently used connection without a call, and reports whether there was one.
func (connections *connections) evict() bool {
	var oldest *connection
	for _, all := range connections.byNode {
		for _, candidate := range all {
			if candidate.calls == 0 && (oldest == nil || candidate.lastUsed < oldest.lastUsed) {
				oldest = candidate
			}
		}
	}
	if oldest == nil {
		return false
	}
	connections.retire(oldest)
	return true
}

// close closes all connections.
func (connections *connections) close() {
	for node, all := range connections.byNode {
		for _, open := range all {
			open.invalidate()
			_ = open.client.Close() // fails only if it is closed already
		}
		delete(connections.byNode, node)
	}
	connections.open = 0
}
