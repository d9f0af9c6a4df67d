package limits

import "time"

// EventLoop limits the event loop and the accepting of clients' connections.
type EventLoop struct {
	// MaxAccepting is how many connections may be accepted at once. Each holds three descriptors meanwhile.
	MaxAccepting int
	// ReadBytes is how many bytes of a connection are read before those of others.
	ReadBytes int
	// SocketBufferBytes is the size of the kernel's buffer of a connection, each way. Its default is megabytes.
	SocketBufferBytes int
	// AcceptTimeout is how long an accept may block in the system call, on a listener that other processes share.
	AcceptTimeout time.Duration
	// AcceptRetryTimeout is how long a connection that was accepted is offered to the loop again, after a momentary
	// shortage of system resources.
	AcceptRetryTimeout time.Duration
	// StartTimeout is how long the start is retried, after an error that may pass.
	StartTimeout time.Duration
	// StallThreshold is how late a timer may be before the stall of the loop is logged.
	StallThreshold time.Duration
	// LogInterval is the least time between two log lines about failed accepts.
	LogInterval time.Duration
	// Retry is the backoff of accepts and of the start.
	Retry Retry
}

func eventLoop(granted shares) EventLoop {
	return EventLoop{
		MaxAccepting:       maxAccepting,
		ReadBytes:          granted.readBytes(),
		SocketBufferBytes:  socketBufferBytes,
		AcceptTimeout:      acceptTimeout,
		AcceptRetryTimeout: startupTimeout,
		StartTimeout:       startTimeout,
		StallThreshold:     stallLogThreshold,
		LogInterval:        logInterval,
		Retry:              retry(),
	}
}
