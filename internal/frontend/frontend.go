// Package frontend serves clients over the PostgreSQL wire protocol. It admits their connections and evicts idle ones,
// reads their pipelined commands, submits statements to the core, and writes the responses in the order of the
// commands. All of it runs on the event loop's goroutine.
package frontend

import (
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/intake"
	"capercove/internal/limits"
)

// wireName names this protocol in the core's counters of requests.
const wireName = "postgres"

// Frontend serves clients over the PostgreSQL wire protocol. Its methods must be called on the event loop.
type Frontend struct {
	limits   limits.Frontend
	log      zerolog.Logger
	core     *core.Core
	intake   *intake.Intake
	backend  intake.PostgresBackend
	observer TrafficObserver // may be nil

	counters   Counters
	lastLogged map[string]time.Duration // when each reason was last logged

	table          connectionTable
	lastConnection uint64  // number of the connection admitted last
	buffers        Buffers // of all connections
	peakBuffers    int     // largest sum of buffers so far, in bytes
	relieving      bool    // relieveMemory is running and must not be entered recursively
	round          round   // of the event loop
	send           sendFunc
	draining       bool // set by Drain and Stop, and never reset
}

// sendFunc writes to a socket as many bytes as it takes at once; see eventloop.WriteNow.
type sendFunc func(descriptor int, data []byte) (int, error)

// TrafficObserver is notified of the bytes that clients send. It is called on the event loop and must not block.
type TrafficObserver interface {
	// Bytes is called with each batch of bytes received on a connection. The data is valid only until Bytes returns.
	Bytes(connection uint64, data []byte)
	// Closed is called after a connection has been closed. The connection is 0 if it was rejected.
	Closed(connection uint64)
}

// New returns a frontend and starts its periodic closing of idle connections. It must be called before the event loop
// runs, or on the event loop. The observer may be nil.
func New(
	bounds limits.Frontend, log zerolog.Logger, requests *core.Core, statements *intake.Intake,
	backend intake.PostgresBackend, observer TrafficObserver,
) *Frontend {
	frontend := &Frontend{
		limits:     bounds,
		log:        log,
		core:       requests,
		intake:     statements,
		backend:    backend,
		observer:   observer,
		lastLogged: map[string]time.Duration{},
		table:      newConnectionTable(),
		send:       eventloop.WriteNow,
	}
	frontend.closeIdle()
	return frontend
}
