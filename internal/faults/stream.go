package faults

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize    = 16 << 10        // bytes of a stream that are impaired as one chunk, at most
	queuedChunks = 256             // chunks of a stream that may be delayed at once, in one direction
	dialTimeout  = 5 * time.Second // of the connection to the process
)

// ending is how a connection is closed.
type ending uint8

const (
	inOrder ending = iota // with FIN
	byReset               // with RST
)

// stream is one TCP connection through a relay.
type stream struct {
	from   string // name of the process that connected
	client net.Conn
	ended  chan struct{} // closed with the stream

	mu     sync.Mutex
	server net.Conn // nil until it is connected
	closed bool
}

// chunk is a part of a stream with the time at which it may be written.
type chunk struct {
	data []byte
	due  time.Time
}

func (r *Relay) acceptStreams() {
	for {
		connection, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.serveStream(connection.(*net.TCPConn))
	}
}

func (r *Relay) serveStream(client *net.TCPConn) {
	from := r.net.sender(client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	accepted := &stream{from: from, client: client, ended: make(chan struct{})}
	if r.net.countConnection(from, r.name) {
		accepted.close(byReset)
		return
	}
	if !r.add(accepted) {
		accepted.close(inOrder)
		return
	}
	defer r.remove(accepted)
	// A cut holds back the first bytes of the connection, or their answer.
	if !r.net.waitWhileCut(from, r.name, accepted.ended) || !r.net.waitWhileCut(r.name, from, accepted.ended) {
		return
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(context.Background(), "tcp", r.target.String())
	if err != nil { // the process does not listen; a relay that has accepted can only reset
		accepted.close(byReset)
		return
	}
	if !accepted.connect(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(accepted, client, server, direction{from, r.name}) })
	directions.Go(func() { r.forward(accepted, server, client, direction{r.name, from}) })
	directions.Wait()
}

// add registers a stream, and returns false if the relay is closed.
func (r *Relay) add(accepted *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.streams[accepted] = true
	return true
}

func (r *Relay) remove(ended *stream) {
	ended.close(inOrder)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, ended)
}

// forward forwards one direction of a stream, in order. The end of the source is passed on; an error of either side
// resets both.
func (r *Relay) forward(through *stream, source, destination net.Conn, way direction) {
	chunks := make(chan chunk, queuedChunks)
	go r.readChunks(through, source, way, chunks)
	for next := range chunks {
		select {
		case <-time.After(time.Until(next.due)):
		case <-through.ended:
			return
		}
		if !r.net.waitWhileCut(way.from, way.to, through.ended) {
			return
		}
		if _, err := destination.Write(next.data); err != nil {
			through.close(byReset)
			return
		}
	}
	if connection, ok := destination.(*net.TCPConn); ok {
		_ = connection.CloseWrite()
	}
}

// readChunks reads one direction of a stream until it ends, and closes chunks then. A chunk is never due before an
// earlier one.
func (r *Relay) readChunks(through *stream, source net.Conn, way direction, chunks chan<- chunk) {
	defer close(chunks)
	var lastDue time.Time
	for {
		buffer := make([]byte, chunkSize)
		length, err := source.Read(buffer)
		if length > 0 {
			for _, delivered := range r.net.deliveries(way.from, way.to, buffer[:length], streamChunk) {
				due := time.Now().Add(delivered.delay)
				if due.Before(lastDue) {
					due = lastDue
				}
				lastDue = due
				select {
				case chunks <- chunk{delivered.data, due}:
				case <-through.ended:
					return
				}
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				through.close(byReset)
			}
			return
		}
	}
}

// connect sets the connection to the process. It closes it and returns false if the stream has ended.
func (s *stream) connect(server net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = server.Close()
		return false
	}
	s.server = server
	return true
}

// close closes both connections, if that has not been done.
func (s *stream) close(how ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.ended)
	for _, connection := range []net.Conn{s.client, s.server} {
		tcp, ok := connection.(*net.TCPConn)
		if !ok {
			continue
		}
		if how == byReset {
			_ = tcp.SetLinger(0)
		}
		_ = tcp.Close()
	}
}

// resetStreams resets the open streams between two processes, if one of them is the relay's.
func (r *Relay) resetStreams(from, to string) {
	r.mu.Lock()
	var affected []*stream
	for open := range r.streams {
		if open.from == from && r.name == to || open.from == to && r.name == from {
			affected = append(affected, open)
		}
	}
	r.mu.Unlock()
	for _, open := range affected {
		open.close(byReset)
		r.net.countReset(open.from, r.name)
	}
}
