package flight

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/waitgroup"
	"capercove/routing"
)

// Backend carries attempts to databases that speak Flight SQL. It implements core.Watcher. Its methods are called on
// the event loop's goroutine; each attempt has a goroutine of its own.
type Backend struct {
	limits      limits.Flight
	core        *core.Core
	runOnLoop   func(func()) // runs a function on the event loop
	connections connections

	attemptsContext context.Context // the parent of all attempts' contexts
	cancelAttempts  context.CancelFunc
	attempts        sync.WaitGroup // the goroutines of all attempts
}

// NewBackend returns a backend. The function do runs another one on the event loop, from any goroutine. All connections
// are made by the dialer; nil is the system's.
func NewBackend(
	config Config, bounds limits.Flight, log zerolog.Logger, requests *core.Core, do func(func()), dialer *net.Dialer,
) *Backend {
	attemptsContext, cancelAttempts := context.WithCancel(context.Background())
	return &Backend{
		limits:          bounds,
		core:            requests,
		runOnLoop:       do,
		connections:     newConnections(config, bounds, newDialer(bounds, log, requests, dialer)),
		attemptsContext: attemptsContext,
		cancelAttempts:  cancelAttempts,
	}
}

// Close ends all attempts, waits for their goroutines, no longer than for the given time, and closes the connections
// that are in use for new attempts; a retired one whose attempts cannot report any more ends with the process. It
// returns waitgroup.ErrStillRunning if a goroutine is left. No attempt may be sent afterwards.
func (backend *Backend) Close(wait time.Duration) error {
	defer backend.connections.close()
	backend.cancelAttempts()
	return waitgroup.Wait(&backend.attempts, wait)
}

// Reconfigure sets the bounds that depend on the settings: the timeout for connecting and the number of streams on a
// connection. It changes nothing for attempts that run. It must be called on the event loop.
func (backend *Backend) Reconfigure(bounds limits.Flight) {
	backend.limits.ConnectTimeout = bounds.ConnectTimeout
	backend.connections.maxStreams = bounds.MaxStreamsPerConnection
}

// move gives an attempt another connection if its database allows fewer streams than it was reserved one of. It returns
// nil if there is none.
func (backend *Backend) move(running *attempt) *connection {
	if backend.connections.confirm(running.reserved) {
		return running.reserved
	}
	next, failure := backend.connections.reserve(running.Member, backend.core.Now())
	if failure != nil {
		return nil
	}
	backend.connections.release(running.reserved)
	running.reserved = next
	return next
}

// Changed drops the connection to a database that is gone, excluded, or at another address. What was already written on
// it runs to its end. What still waits for it goes back to the router: it must neither wait in vain, nor reach a
// database that operators have excluded, nor reach another database that has the address now.
func (backend *Backend) Changed(member *core.Member) { backend.connections.update(member) }

// Removed does nothing: the connection was dropped when the database went.
func (backend *Backend) Removed(*core.Member) {}

// send begins an attempt of a statement.
func (backend *Backend) send(statement *statement, coreAttempt *core.Attempt) core.Transmission {
	connection, failure := backend.connections.reserve(coreAttempt.Member, backend.core.Now())
	if failure != nil {
		backend.core.Done(coreAttempt, failure.status(), routing.Evidence{}, nil)
		return nil
	}
	running := newAttempt(backend, connection, statement, coreAttempt)
	backend.attempts.Go(func() {
		answer, failure := running.run()
		running.end()
		backend.runOnLoop(func() { backend.finish(running, answer, failure) })
	})
	return running
}

// finish reports to the core how an attempt ended, on the event loop.
func (backend *Backend) finish(ended *attempt, answer []byte, failure *attemptError) {
	neverAnswered := failure != nil && failure.kind == timedOut && !ended.accepted
	if neverAnswered { // the connection to a database that was cut off would stay open and silent for ever
		backend.connections.retire(ended.reserved)
	}
	backend.connections.release(ended.reserved)
	if ended.accepted {
		backend.core.Accepted(ended.Attempt)
	}
	switch {
	case failure == nil:
		backend.core.Done(ended.Attempt, routing.OK, ended.evidence, answer)
	case failure.kind == badInput:
		backend.core.DoneUnusable(ended.Attempt, ended.evidence)
	default:
		backend.core.Done(ended.Attempt, failure.status(), ended.evidence, nil)
	}
}
