package load

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/emulator"
	"capercove/internal/pg"
)

const (
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 1 << 20
	readBytes        = 16 << 10 // at once
	slowReadBytes    = 16       // at once, of clients that read slowly
	slowReadInterval = 20 * time.Millisecond
	readyTimeout     = time.Second
	readyReadBytes   = 4096

	user     = "client"
	database = "core"
)

// connection is a client's connection to a pooler. While a request is in flight on it, the request's goroutine owns
// it, except that any goroutine may close it.
type connection struct {
	socket      net.Conn
	link        *pg.Link
	lastRequest string // its ID
}

// close closes the socket. It may be called more than once.
func (connection *connection) close() {
	_ = connection.socket.Close() // there is nobody to tell, and nothing is lost
}

// dial opens a TCP connection within a time.
func dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// open opens a connection to a pooler for a request. If it cannot, it returns the response to the request.
func (target *Postgres) open(address string, request *Request) (*connection, *Response) {
	disconnected := &Response{Outcome: emulator.Disconnected}
	socket, err := dial(context.Background(), address, dialTimeout)
	if err != nil {
		return nil, disconnected
	}
	opened := &connection{socket: socket, link: pg.NewLink(maxResponseBytes, maxResponseBytes, maxResponseBytes)}
	if !target.clock.Do(func() { target.bind(request, opened) }) {
		opened.close()
		return nil, disconnected
	}
	if _, err := socket.Write(pg.AppendStartup(nil, user, database)); err != nil {
		opened.close()
		return nil, disconnected
	}
	read := target.read(opened, request)
	if !read.complete {
		opened.close()
		return nil, disconnected
	}
	if read.reply.Code != "" {
		opened.close()
		response := target.response(read.reply)
		return nil, &response
	}
	return opened, nil
}

// query sends a request on an open connection and reads the response.
func (target *Postgres) query(connection *connection, request *Request) exchangeResult {
	if !target.isUsable(connection) {
		connection.close()
		return closedEarly()
	}
	connection.lastRequest = request.ID
	if _, err := connection.socket.Write(pg.AppendQuery(nil, request.SQL)); err != nil {
		connection.close()
		return closedEarly()
	}
	read := target.read(connection, request)
	if !read.complete {
		connection.close()
		return exchangeResult{
			response:             Response{Outcome: emulator.Disconnected},
			closedBeforeResponse: !read.anyBytes,
		}
	}
	return target.result(connection, request, read.reply)
}

// isUsable reports whether the pooler has kept a connection open and sent nothing on it, as no response is due.
func (target *Postgres) isUsable(connection *connection) bool {
	state := readState(connection.socket)
	if state == socketReadable {
		target.reportUnexpected(connection.lastRequest)
	}
	return state == socketQuiet
}

// result returns the result of an exchange that a reply completes. It closes the connection unless it can be reused.
func (target *Postgres) result(connection *connection, request *Request, reply pg.Reply) exchangeResult {
	response := target.response(reply)
	if !reply.Fatal {
		return exchangeResult{response: response, reusable: connection}
	}
	if response.Outcome == emulator.Served { // more came than the one response
		target.reportUnexpected(request.ID)
	}
	connection.close()
	return exchangeResult{response: response}
}

// response returns the response for a reply that came now.
func (target *Postgres) response(reply pg.Reply) Response {
	response := Response{Outcome: emulator.Failed, At: target.clock.Now()}
	switch reply.Code {
	case "":
		response.Outcome, response.Value = emulator.Served, string(reply.Value)
	case pg.CodeTooManyConnections, pg.CodeCannotConnectNow:
		response.Outcome = emulator.Rejected
		if milliseconds, err := strconv.Atoi(reply.Detail); err == nil {
			response.RetryAfter = time.Duration(milliseconds) * time.Millisecond
		}
	}
	return response
}

// readResult is what was read of a reply.
type readResult struct {
	reply    pg.Reply
	anyBytes bool // of it came
	complete bool
}

// read reads one reply, slowly if the load says so.
func (target *Postgres) read(connection *connection, request *Request) (result readResult) {
	buffer := make([]byte, readBytes)
	if request.Load.SlowRead {
		buffer = buffer[:slowReadBytes]
	}
	for {
		n, readErr := connection.socket.Read(buffer)
		if n > 0 {
			result.anyBytes = true
			reply, done, err := connection.link.Feed(buffer[:n])
			if err != nil {
				target.reportUnexpected(request.ID)
				return result
			}
			if done {
				result.reply, result.complete = reply, true
				return result
			}
		}
		if readErr != nil {
			return result
		}
		if request.Load.SlowRead {
			time.Sleep(slowReadInterval)
		}
	}
}

// socketState is what a read of a socket would find now.
type socketState uint8

const (
	socketQuiet    socketState = iota // nothing yet
	socketReadable                    // bytes
	socketEnded                       // the end, or an error
)

// String returns the word for messages.
func (state socketState) String() string {
	return [...]string{"quiet", "readable", "ended"}[state]
}

// readState peeks into a TCP socket without waiting and without consuming anything.
func readState(socket net.Conn) socketState {
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return socketEnded
	}
	state := socketQuiet
	err = raw.Read(func(descriptor uintptr) bool {
		var first [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = socketReadable
		case err != unix.EAGAIN:
			state = socketEnded
		}
		return true
	})
	if err != nil {
		return socketEnded
	}
	return state
}

// Ready reports whether the pooler at an address answers an empty query.
func Ready(ctx context.Context, address string) bool {
	socket, err := dial(ctx, address, readyTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = socket.Close() }()
	if err := socket.SetDeadline(time.Now().Add(readyTimeout)); err != nil {
		return false
	}
	if _, err := socket.Write(pg.AppendQuery(pg.AppendStartup(nil, user, database), "")); err != nil {
		return false
	}
	emptyQueryResponse := []byte("I\x00\x00\x00\x04Z")
	var received []byte
	buffer := make([]byte, readyReadBytes)
	for {
		n, err := socket.Read(buffer)
		received = append(received, buffer[:n]...)
		if bytes.Contains(received, emptyQueryResponse) {
			return true
		}
		if err != nil {
			return false
		}
	}
}
