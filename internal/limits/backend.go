package limits

import "time"

// Backend limits the pool of connections to databases over the PostgreSQL protocol.
type Backend struct {
	// MaxConnections is the number of connections, those that are being dialed included.
	MaxConnections int
	// MaxIdlePerDatabase is the number of idle connections to one database.
	MaxIdlePerDatabase int

	// MaxMessageBytes is the length of a message other than a value, in bytes. Messages are buffered until they are
	// complete.
	MaxMessageBytes int
	// MaxBufferedValueBytes is the length up to which a value is buffered until it is complete, in bytes. A longer one
	// is streamed.
	MaxBufferedValueBytes int
	// MaxValueBytes is the length of a value that is accepted from a database, in bytes.
	MaxValueBytes int
	// StreamChunkBytes is the length of the chunks in which a value is streamed, in bytes.
	StreamChunkBytes int

	// ConnectTimeout ends the opening of a connection.
	ConnectTimeout time.Duration
	// HealthCheckTimeout ends a health check.
	HealthCheckTimeout time.Duration
	// IdleTimeout closes a connection that is idle for so long.
	IdleTimeout time.Duration
	// WriteRecheckInterval is the time between two checks of a statement that is not written whole.
	WriteRecheckInterval time.Duration
	// TimerTick is the resolution of timers.
	TimerTick time.Duration
	// LogInterval is the least time between two log lines about one kind of bad input.
	LogInterval time.Duration
	// Retry is the backoff of dials, after a momentary shortage of system resources.
	Retry Retry
}

func backend(granted shares, timeouts Timeouts) Backend {
	return Backend{
		MaxConnections:        granted.servers,
		MaxIdlePerDatabase:    maxIdlePerDatabase,
		MaxMessageBytes:       maxMessageBytes,
		MaxBufferedValueBytes: maxBufferedValueBytes,
		MaxValueBytes:         maxValueBytes,
		StreamChunkBytes:      granted.streamChunk(),
		ConnectTimeout:        timeouts.Connect,
		HealthCheckTimeout:    timeouts.Connect,
		IdleTimeout:           backendIdleTimeout(timeouts.Keepalive),
		WriteRecheckInterval:  writeRecheckTicks * timerTick,
		TimerTick:             timerTick,
		LogInterval:           logInterval,
		Retry:                 retry(),
	}
}
