package standin

import (
	"errors"
	"net"
	"time"

	"capercove/internal/addresses"
	"capercove/internal/emulator"
	"capercove/internal/pg"
)

const (
	acceptBackoff = time.Millisecond       // after an error of Accept
	reopenBackoff = 100 * time.Millisecond // after a port could not be bound again
)

// server is one database at the address that it has for one pooler.
type server struct {
	pooler *pooler
	member *emulator.Member
	addr   string

	// The loop's:
	listener    *net.TCPListener // nil while the process does not run
	connections map[net.Conn]*connection
}

// open starts to listen on an address.
func (s *server) open(addr string) error {
	listener, err := listen(addr)
	if err != nil {
		return err
	}
	s.listener, s.addr = listener.(*net.TCPListener), listener.Addr().String()
	s.pooler.fleet.goroutines.Go(func() { s.acceptFrom(listener) })
	return nil
}

// acceptFrom hands connections to the loop until the listener or the fleet is closed.
func (s *server) acceptFrom(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.pooler.fleet.Clock.Do(func() { s.accept(listener, accepted) }) {
			_ = accepted.Close()
		}
	}
}

// accept takes in a connection, on the loop.
func (s *server) accept(listener net.Listener, accepted net.Conn) {
	if s.listener != listener || !s.member.Running() {
		reset(accepted)
		return
	}
	fleet := s.pooler.fleet
	created := &connection{
		server: s, net: accepted, output: make(chan []byte, maxPendingWrites), lastUsed: fleet.Clock.Now(),
	}
	s.connections[accepted] = created
	counted := s.member.Connect()
	fleet.goroutines.Go(created.write)
	if !counted {
		created.send(pg.AppendError(nil, pg.SeverityFatal, pg.CodeTooManyConnections, "too many connections", ""))
		created.close(uncounted)
		return
	}
	fleet.goroutines.Go(created.read)
	created.checkIdle()
}

// followProcess closes or reopens the address with the database's process, on the loop.
func (s *server) followProcess() {
	if !s.member.Running() {
		s.close()
		return
	}
	if s.listener != nil {
		return
	}
	if err := s.open(s.addr); err != nil { // another process has the port
		fleet := s.pooler.fleet
		fleet.Clock.At(fleet.Clock.Now()+reopenBackoff, func() { fleet.memberChanged(s.member) })
	}
}

// close resets all connections and ends listening, on the loop.
func (s *server) close() {
	if s.listener != nil {
		_ = addresses.Close(s.listener)
		s.listener = nil
	}
	for accepted, open := range s.connections {
		reset(accepted)
		open.closed = true
		open.send(nil) // ends the writer
	}
	clear(s.connections)
}

// reset closes a connection with RST.
func reset(closing net.Conn) {
	if tcp, ok := closing.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = closing.Close()
}
