package testbed

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed/loopback"
)

// Rate is how fast bytes pass in one direction: a part of at most Bytes, then a pause. The zero value is no limit.
type Rate struct {
	Bytes int
	Pause time.Duration
}

// Throttle stands before a database's address. It passes bytes on at limited rates, with small buffers of its own, so
// that the database seems to read or write slowly.
type Throttle struct {
	Address string

	toDatabase, fromDatabase Rate
	database                 string // the address behind it
	tasks                    sync.WaitGroup
	ended                    chan struct{}
}

// throttleBufferBytes is the size of the kernel's buffer of a throttled connection, each way.
const throttleBufferBytes = 8 << 10

// NewThrottle puts a throttle before an address until the test ends.
func NewThrottle(t *testing.T, database string, toDatabase, fromDatabase Rate) *Throttle {
	t.Helper()
	listener := loopback.Listen(t)
	created := &Throttle{
		Address: listener.Addr().String(), toDatabase: toDatabase, fromDatabase: fromDatabase,
		database: database, ended: make(chan struct{}),
	}
	created.tasks.Go(func() {
		loopback.Accept(listener, func(accepted net.Conn) {
			created.tasks.Go(func() { created.forward(accepted.(*net.TCPConn)) })
		})
	})
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		close(created.ended)
		created.tasks.Wait()
	})
	return created
}

// forward connects the program with the database until either closes or the test ends.
func (throttle *Throttle) forward(program *net.TCPConn) {
	defer func() { _ = program.Close() }()
	_ = program.SetReadBuffer(throttleBufferBytes) // a larger buffer would only hide the slowness
	dialer := net.Dialer{Timeout: Timeout}
	connection, err := dialer.DialContext(context.Background(), "tcp", throttle.database)
	if err != nil {
		return
	}
	database := connection.(*net.TCPConn)
	defer func() { _ = database.Close() }()
	answered := make(chan struct{})
	throttle.tasks.Go(func() {
		defer close(answered)
		throttle.copy(program, database, throttle.fromDatabase)
		_ = program.Close()
		_ = database.Close()
	})
	throttle.tasks.Go(func() {
		select {
		case <-answered:
		case <-throttle.ended:
			_ = program.Close()
			_ = database.Close()
		}
	})
	throttle.copy(database, program, throttle.toDatabase)
	_ = database.Close()
	<-answered
}

// copy passes bytes on at a rate until either side closes or the test ends.
func (throttle *Throttle) copy(to, from net.Conn, rate Rate) {
	size := rate.Bytes
	if size == 0 {
		size = readBufferSize
	}
	buffer := make([]byte, size)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:length]); err != nil {
			return
		}
		select {
		case <-throttle.ended:
			return
		case <-time.After(rate.Pause):
		}
	}
}

// WithThrottles puts throttles with these rates before all databases, on both wires.
func WithThrottles(toDatabase, fromDatabase Rate) Option {
	return func(b *Bed) {
		for i, database := range b.Databases {
			b.Known[i].Addr = NewThrottle(b.T, database.Addr, toDatabase, fromDatabase).Address
			if database.Flight != "" {
				database.Flight = NewThrottle(b.T, database.Flight, toDatabase, fromDatabase).Address
			}
		}
	}
}
