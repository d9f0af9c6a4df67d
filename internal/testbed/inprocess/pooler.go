// Package inprocess runs an event loop with a core, a frontend and a backend in the test's own process, before one
// database, so that a test can fail single system calls of it.
package inprocess

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/backend"
	"capercove/internal/clock"
	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/frontend"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/waitgroup"
	"capercove/routing"
)

const (
	group     = 3 // of the database and of all requests
	deadline  = 10 * testbed.Timeout
	closeWait = 50 * time.Millisecond // for the pool's goroutines at the end of a test
)

// Pooler is an event loop with a core, a frontend and a pool in the test's own process, before one database: a
// primary.
type Pooler struct {
	Loop *eventloop.Loop

	core     *core.Core
	pool     *backend.Pool
	requests int        // submitted so far
	ended    chan error // what the event loop ended with
	stopped  bool
}

// Adjustment changes the limits of a pooler before it starts.
type Adjustment func(*limits.Limits)

// New starts a pooler that ends with the test. A connection to a database may take as long as connect; of all system
// calls only those fail that dial fails, which may be nil.
func New(
	t *testing.T, connect time.Duration, listener net.Listener, database string, dial Control,
	adjustments ...Adjustment,
) *Pooler {
	t.Helper()
	return NewWithDialer(t, connect, listener, database, &net.Dialer{Control: dial}, adjustments...)
}

// NewWithDialer starts a pooler as New does, with the dialer of all connections to databases.
func NewWithDialer(
	t *testing.T, connect time.Duration, listener net.Listener, database string, dialer *net.Dialer,
	adjustments ...Adjustment,
) *Pooler {
	t.Helper()
	pooler := wire(connect, listener, dialer, adjustments)
	pooler.ended = make(chan error, 1)
	began := make(chan struct{})
	go func() {
		pooler.ended <- pooler.Loop.Run(func() {
			defer close(began)
			pooler.start(database)
		})
	}()
	t.Cleanup(func() {
		if pooler.stopped {
			return
		}
		// A dial whose socket gnet is taking over as the loop ends is left running, which is no fault of the test's.
		if err := pooler.Stop(closeWait); !errors.Is(err, waitgroup.ErrStillRunning) {
			require.NoError(t, err)
		}
	})
	select {
	case <-began:
	case err := <-pooler.ended:
		pooler.ended <- err
		require.NoError(t, err)
	}
	return pooler
}

// wire makes the parts of a pooler, and starts none.
func wire(connect time.Duration, listener net.Listener, dialer *net.Dialer, adjustments []Adjustment) *Pooler {
	machine := limits.Machine{MemoryMB: 64, Sockets: 256}
	bounds := limits.For(machine, limits.Timeouts{
		Connect: connect, Keepalive: 15 * time.Second, LongestDeadline: deadline,
	})
	for _, adjust := range adjustments {
		adjust(&bounds)
	}
	settings := core.Settings{Settings: routerSettings(), Names: []string{"write"}}
	pooler := &Pooler{Loop: eventloop.New(bounds.EventLoop, zerolog.Nop(), listener, dialer)}
	flush := func() { pooler.Loop.Do(pooler.core.Flush) }
	pooler.core = core.New(settings, 1, bounds.Request, zerolog.Nop(), clock.Monotonic(), flush, pooler.Loop.Accept)
	pooler.pool = backend.NewPool(pooler.Loop, bounds.Backend, zerolog.Nop(), pooler.core)
	clients := frontend.New(bounds.Frontend, zerolog.Nop(), pooler.core, intake.New(pooler.core), pooler.pool, nil)
	pooler.Loop.Attach(pooler.core, clients.Accept)
	pooler.core.Attach(pooler, pooler.pool, pooler.pool)
	return pooler
}

// routerSettings are the settings of one pooler with one class, whose requests must not run twice.
func routerSettings() routing.Settings {
	return routing.Settings{
		Routers:          1,
		MaxAttempts:      10,
		CanCancel:        true,
		DrainGrace:       time.Second,
		MaxRetryAfter:    time.Second,
		SlowStartShare:   0.2,
		SlowStartTime:    10 * time.Second,
		OverloadMultiple: 3,
		OverloadWindow:   time.Second,
		Classes: []routing.Class{{
			Read:             routing.Write,
			Effect:           routing.NonIdempotent,
			LatencyObjective: time.Second,
			Deadline:         deadline,
			Weight:           1,
			LateWeight:       0.2,
		}},
	}
}

// start gives the core its endpoint list and its first turn, on the event loop.
func (pooler *Pooler) start(database string) {
	node := routing.Node{ID: 1, State: routing.Ready, Group: group}
	pooler.core.ReplaceMembers([]core.Member{{Node: node, Name: "db", Addr: database}})
	pooler.core.Start()
}

// Subscribe implements core.EndpointLister. The list is given at the start, and does not change.
func (pooler *Pooler) Subscribe() {}

// Stop ends the event loop, and then the pool of connections to the database, whose goroutines it waits for so long. It
// returns what either failed with; open requests get no answer. It may be called once; the end of the test calls it if
// the test has not.
func (pooler *Pooler) Stop(wait time.Duration) error {
	pooler.stopped = true
	pooler.Loop.Stop()
	if err := <-pooler.ended; err != nil {
		return err
	}
	return pooler.pool.Close(wait)
}

// Counters reads the counters of the core and the pool.
func (pooler *Pooler) Counters() (requests core.Counters, connections backend.Counters) {
	done := make(chan struct{})
	pooler.Loop.Do(func() {
		defer close(done)
		requests, connections = pooler.core.Counters(), pooler.pool.Counters()
	})
	<-done
	return requests, connections
}

// Submit submits a write of a text, whose client waits for the answer so long.
func (pooler *Pooler) Submit(text string, wait time.Duration) Client {
	client := make(Client, 1)
	pooler.requests++
	request := &core.Request{
		Front:     "test",
		Name:      fmt.Sprint(pooler.requests),
		Group:     group,
		TimeLeft:  wait,
		Statement: pooler.pool.Statement(pg.Query{Head: "SELECT '" + text + "' /* d=", Tail: " */"}),
		Client:    client,
	}
	pooler.Loop.Do(func() { pooler.core.Submit(request) })
	return client
}
