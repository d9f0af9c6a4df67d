package limits

import "time"

// Frontend limits clients' connections over the PostgreSQL protocol.
type Frontend struct {
	// MaxConnections is the number of connections. A further one replaces an idle one or is rejected.
	MaxConnections int
	// MaxStarting is how many connections may be in their startup. A further one closes the oldest of them.
	MaxStarting int
	// MaxRejecting is how many connections beyond MaxConnections may be half-closed, so that their clients can still
	// read why they were rejected, or what came before they were evicted.
	MaxRejecting int
	// MinIdle is the number of connections up to which idle ones are left open, however long they are idle.
	MinIdle int
	// HighWaterMark is the number of started connections above which HighWaterIdleTimeout applies, for IdleTimeout.
	HighWaterMark int
	// MaxPipelined is how many commands of one connection may wait for their answers. Further ones are not read.
	MaxPipelined int

	// MaxMessageBytes is the length of a message, in bytes. Messages are buffered until they are complete.
	MaxMessageBytes int
	// MaxInputBytes is how many bytes a client may send ahead of its answers. One that sends more is not read for a
	// while.
	MaxInputBytes int
	// MaxBufferedBytes is the size of all that clients' connections hold together, in bytes. Beyond it the connection
	// that holds most gives way.
	MaxBufferedBytes int
	// StreamChunkBytes is how many bytes of a streamed answer a client may leave unread before the stream pauses.
	StreamChunkBytes int

	// StartupTimeout ends a connection that has not finished its startup.
	StartupTimeout time.Duration
	// IdleTimeout is how long a connection has to be without a request before it may be closed in favour of others.
	IdleTimeout time.Duration
	// HighWaterIdleTimeout replaces IdleTimeout above the HighWaterMark.
	HighWaterIdleTimeout time.Duration
	// StartingIdleTimeout replaces IdleTimeout for a connection in its startup.
	StartingIdleTimeout time.Duration
	// ReceiveTimeout ends an incomplete message when no byte of it arrives for so long.
	ReceiveTimeout time.Duration
	// MessageTimeout ends an incomplete message so long after its first byte, even if bytes arrive.
	MessageTimeout time.Duration
	// SendTimeout closes a connection whose client has unread answers and reads none of them for so long.
	SendTimeout time.Duration
	// RejectionTimeout is how long a connection stays half-closed once its client has received everything, for the
	// client to close its side.
	RejectionTimeout time.Duration
	// LingerTimeout is how long a half-closed connection may wait for its client to receive everything.
	LingerTimeout time.Duration
	// TimerTick is the resolution of timers.
	TimerTick time.Duration
	// LogInterval is the least time between two log lines about one kind of bad input.
	LogInterval time.Duration
}

func frontend(granted shares) Frontend {
	return Frontend{
		MaxConnections:       granted.clients,
		MaxStarting:          granted.clients / startingDivisor,
		MaxRejecting:         maxRejecting,
		MinIdle:              granted.clients / minIdleDivisor,
		HighWaterMark:        granted.descriptors / highWaterDivisor,
		MaxPipelined:         maxPipelined,
		MaxMessageBytes:      maxMessageBytes,
		MaxInputBytes:        maxInputBytes,
		MaxBufferedBytes:     int(granted.memoryBytes / clientBuffersDivisor),
		StreamChunkBytes:     granted.streamChunk(),
		StartupTimeout:       startupTimeout,
		IdleTimeout:          clientIdleTimeout,
		HighWaterIdleTimeout: highWaterIdleTimeout,
		StartingIdleTimeout:  startingIdleTimeout,
		ReceiveTimeout:       receiveTimeout,
		MessageTimeout:       messageTimeout,
		SendTimeout:          sendTimeout,
		RejectionTimeout:     rejectionTimeout,
		LingerTimeout:        lingerTimeout,
		TimerTick:            timerTick,
		LogInterval:          logInterval,
	}
}
