package limits

import (
	"math"
	"time"
)

// Flight limits the Flight SQL frontend, and the connections to databases over Flight.
type Flight struct {
	// MaxClientConnections is the number of clients' connections.
	MaxClientConnections int
	// MaxDatabaseConnections is the number of connections to databases.
	MaxDatabaseConnections int
	// MaxIdlePerDatabase is the number of connections to one database that carry no call.
	MaxIdlePerDatabase int
	// MaxStreamsPerConnection is the number of calls at once on a connection to a database, which may allow fewer.
	MaxStreamsPerConnection int
	// MaxCalls is the number of calls at once. Each may buffer two messages.
	MaxCalls int
	// MaxCallsPerConnection is the number of calls at once on one connection. It leaves some of MaxCalls to others.
	MaxCallsPerConnection int
	// MaxReceiving is the number of calls whose requests are still arriving.
	MaxReceiving int
	// MaxRequestBytes is the length of a request, in bytes.
	MaxRequestBytes int
	// MaxHeaderBytes is the length of the headers of a call or an answer, in bytes, with 32 for each field.
	MaxHeaderBytes int
	// WindowBytes is how many bytes of a stream, or of a connection, may be sent ahead of their reading.
	WindowBytes int
	// MaxMessageBytes is the length of a message of a stream, in bytes.
	MaxMessageBytes int

	// StartupTimeout ends a client's connection that has not finished its handshake.
	StartupTimeout time.Duration
	// IdleTimeout closes a client's connection that has been without a call for so long.
	IdleTimeout time.Duration
	// ReceiveTimeout ends a call whose request is incomplete when no byte arrives for so long.
	ReceiveTimeout time.Duration
	// MessageTimeout ends a call whose request is incomplete so long after its headers, even if bytes arrive.
	MessageTimeout time.Duration
	// ConnectTimeout ends the opening of a connection to a database.
	ConnectTimeout time.Duration
	// SettleTimeout is how long a call waits for what its client has already sent, such as its cancellation.
	SettleTimeout time.Duration
	// MaxCheckAge is how old the check of a statement may be when the statement is handed to gRPC.
	MaxCheckAge time.Duration
	// WriteRecheckInterval is the time between two checks of a statement that is not written whole.
	WriteRecheckInterval time.Duration
	// ChunkTimeout is the time for the next message of a stream, once its answer has begun.
	ChunkTimeout time.Duration
	// StreamTimeout is the time in all for which the client may hold up a stream.
	StreamTimeout time.Duration
	// LingerTimeout is how long the close of a client's connection may wait for the client to receive everything.
	LingerTimeout time.Duration
	// CloseTimeout is how long it waits then for the client to close its side.
	CloseTimeout time.Duration
	// LogInterval is the least time between two log lines about one kind of failure.
	LogInterval time.Duration
	// Retry is the backoff of accepts and dials.
	Retry Retry
}

func flight(granted shares, timeouts Timeouts) Flight {
	return Flight{
		MaxClientConnections:    granted.flight,
		MaxDatabaseConnections:  granted.flight,
		MaxIdlePerDatabase:      min(maxIdlePerDatabase, granted.flightCalls()),
		MaxStreamsPerConnection: streamsPerConnection(timeouts.StreamsPerConnection),
		MaxCalls:                granted.flightCalls(),
		MaxCallsPerConnection:   granted.flightCalls() * callShareNumerator / callShareDivisor,
		MaxReceiving:            granted.flightRequests(),
		MaxRequestBytes:         maxFlightRequestBytes,
		MaxHeaderBytes:          maxFlightHeaderBytes,
		WindowBytes:             flightWindowBytes,
		MaxMessageBytes:         granted.flightMessage(),
		StartupTimeout:          startupTimeout,
		IdleTimeout:             flightIdleTimeout,
		ReceiveTimeout:          receiveTimeout,
		MessageTimeout:          messageTimeout,
		ConnectTimeout:          timeouts.Connect,
		SettleTimeout:           flightSettleTimeout,
		MaxCheckAge:             timerTick,
		WriteRecheckInterval:    writeRecheckTicks * timerTick,
		ChunkTimeout:            chunkTimeout,
		StreamTimeout:           streamTimeout,
		LingerTimeout:           lingerTimeout,
		CloseTimeout:            rejectionTimeout,
		LogInterval:             logInterval,
		Retry:                   retry(),
	}
}

// streamsPerConnection returns the number of calls at once on a connection, of which 0 is any number in the settings.
func streamsPerConnection(allowed int) int {
	if allowed == 0 {
		return math.MaxInt32
	}
	return allowed
}
