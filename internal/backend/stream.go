package backend

import (
	"context"
	"errors"
	"net"
	"os"

	"capercove/internal/eventloop"
	"capercove/internal/netretry"
	"capercove/routing"
)

// errStreamedReport is the error of a health check whose answer is long enough to be streamed.
var errStreamedReport = errors.New("load report is too long")

// streamReader reads the rest of a long answer from a socket that was removed from gnet. It runs on a separate
// goroutine and reads one piece for each call of readNext. gnet cannot pause reading: a long answer to a slow client
// would fill the memory.
type streamReader struct {
	socket      net.Conn
	next        chan struct{} // each element requests one piece; closed with the connection
	clientReady bool          // the client has room for the next piece; used on the event loop only
}

// startStreaming removes the socket from gnet: it duplicates the descriptor, closes gnet's descriptor, and starts a
// streamReader on the duplicate.
func (connection *connection) startStreaming() error {
	descriptor, err := connection.socket.Dup()
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(descriptor), "database")
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor
	socket, err := net.FileConn(file)
	if err != nil {
		return err
	}
	reader := &streamReader{socket: socket, next: make(chan struct{}, 1)}
	connection.reader = reader
	connection.transitionTo(stateStreaming)
	eventloop.CloseNow(connection.socket)
	pool := connection.pool
	buffer := make([]byte, pool.limits.StreamChunkBytes)
	pool.goroutines.Go(func() { connection.readStream(reader, buffer) })
	return nil
}

// readStream runs on the streamReader's goroutine until the connection is closed or the pool's lifetime ends. For each
// call of readNext it reads one piece into the buffer and passes it to the event loop, which owns the buffer until it
// calls readNext again.
func (connection *connection) readStream(reader *streamReader, buffer []byte) {
	pool := connection.pool
	// The error of the close is ignored: the close only ends a read whose result is no longer needed.
	stop := context.AfterFunc(pool.lifetime, func() { _ = reader.socket.Close() })
	defer stop()
	for reader.awaitNext(pool.lifetime) {
		n, err := reader.socket.Read(buffer)
		pool.loop.Do(func() {
			if n > 0 {
				connection.Received(buffer[:n])
			}
			if err != nil && connection.state != stateClosed {
				connection.handleBroken(err)
			}
		})
	}
}

// awaitNext waits until the next piece is requested. It returns false if the connection is closed or the lifetime ends.
func (reader *streamReader) awaitNext(lifetime context.Context) bool {
	select {
	case _, open := <-reader.next:
		return open
	case <-lifetime.Done():
		return false
	}
}

// readNext requests the next piece. It doesn't block, because only one piece is requested at a time.
func (reader *streamReader) readNext() { reader.next <- struct{}{} }

// close closes the socket and ends the reader's goroutine.
func (reader *streamReader) close() {
	_ = reader.socket.Close() // the socket is not used again, so its error does not matter
	close(reader.next)
}

// streamPiece passes a piece of a long answer to the client. The first piece starts the streaming. It returns false if
// it has closed the connection.
func (connection *connection) streamPiece(piece []byte) bool {
	pool, job := connection.pool, connection.job
	if job.isHealthCheck() {
		connection.handleMalformedReply(errStreamedReport)
		return false
	}
	if connection.state != stateStreaming {
		pool.counters.Streamed++
		if err := connection.startStreaming(); err != nil {
			connection.handleStreamingError(err)
			return false
		}
	}
	reader := connection.reader
	clientReady, isOpen := pool.core.AnswerPiece(job.attempt, piece, func() {
		reader.clientReady = true
		if connection.state != stateClosed {
			reader.readNext()
		}
	})
	reader.clientReady = clientReady
	if !isOpen { // the request has ended
		pool.abort(connection.job, routing.Cancelled)
	}
	return isOpen
}

// handleStreamingError closes a connection whose socket cannot be removed from gnet. The statement has run. If the
// cause is a shortage on this machine, the attempt ends as cancelled, because the database is not at fault.
func (connection *connection) handleStreamingError(err error) {
	if !netretry.IsShortage(err) {
		connection.handleMalformedReply(err)
		return
	}
	connection.pool.countShortage(err)
	connection.pool.abort(connection.job, routing.Cancelled)
}
