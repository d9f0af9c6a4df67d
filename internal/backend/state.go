package backend

import "fmt"

// connectionState is the state of a connection. It doesn't show whether gnet still buffers a part of the written bytes
// (gnet.Conn.OutboundBuffered). gnet may do so in the states from starting up to awaiting answer: a database may answer
// before it has received the whole statement.
//
// The fields of a connection in each state:
//
//	                  socket   job   in database.connecting   in database.idle   reader
//	dialing           nil      nil   yes                      no                 nil
//	starting up       open     nil   yes                      no                 nil
//	idle              open     nil   no                       see below          nil
//	writing           open     set   no                       no                 nil
//	awaiting answer   open     set   no                       no                 nil
//	streaming         closed   set   no                       no                 set
//	closed            any      nil   no                       no                 any
//
// An idle connection is in database.idle, except during the call that makes it idle or removes it from database.idle:
// that call assigns a job to the connection, returns it to database.idle or closes it. A job is detached from its
// connection directly before the connection becomes idle or is closed, in the same call.
//
// Nested calls and calls out of order:
//
//   - If a write fails, gnet calls Closed before the write returns. A connection may therefore be closed after Opened
//     has written the startup message, or after a statement has been written.
//   - To stream a long answer, the socket is removed from gnet. gnet then calls Closed, which does nothing.
//   - close closes the socket, and gnet calls Closed. The state is closed already, so Closed does nothing.
//   - A connection may be closed during its dial. The dial may still succeed: Opened is then called in the state
//     closed, and only closes the socket.
type connectionState uint8

// The states of a connection.
const (
	stateDialing        connectionState = iota // the dial runs, or the event loop has not registered the socket yet
	stateStartingUp                            // the startup message is written and not answered
	stateIdle                                  // it carries no job
	stateWriting                               // during the call that writes a statement
	stateAwaitingAnswer                        // the statement is handed to gnet, and not answered
	stateStreaming                             // a streamReader reads a long answer piece by piece for the client
	stateClosed                                // final

	stateCount
)

var stateNames = [stateCount]string{
	"dialing", "starting up", "idle", "writing", "awaiting answer", "streaming", "closed",
}

// String implements fmt.Stringer.
func (state connectionState) String() string {
	if state < stateCount {
		return stateNames[state]
	}
	return fmt.Sprintf("connectionState(%d)", uint8(state))
}

// isConnecting reports whether the connection is dialing or starting up.
func (state connectionState) isConnecting() bool {
	return state == stateDialing || state == stateStartingUp
}

// canTransitionTo reports whether a connection may change from this state to the next one.
func (state connectionState) canTransitionTo(next connectionState) bool {
	switch next {
	case stateStartingUp: // Opened
		return state == stateDialing
	case stateIdle: // the startup or the statement is answered
		return state == stateStartingUp || state == stateAwaitingAnswer
	case stateWriting: // send
		return state == stateIdle
	case stateAwaitingAnswer: // the write has returned
		return state == stateWriting
	case stateStreaming: // the first piece of a long answer has arrived
		return state == stateAwaitingAnswer
	case stateClosed: // close
		return state != stateClosed
	}
	return false
}
