package flight

import (
	"encoding/binary"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// maxWithdrawn is how many withdrawn messages a socket remembers. gRPC drops each one at once, or soon after.
const maxWithdrawn = 256

// errMessageWithdrawn ends a connection on which gRPC is about to write the end of a message that was withdrawn.
var errMessageWithdrawn = errors.New("a withdrawn message is about to be written")

// streamsUnknown is the number of streams that a database allows before it has told it.
const streamsUnknown = -1

// Lengths of a setting and of its identifier, in bytes. Source: RFC 9113, section 6.5.1.
const (
	settingBytes           = 6
	settingIdentifierBytes = 2
)

// databaseSocket is the socket of a connection to a database. It follows the HTTP/2 frames that pass, since gRPC does
// not tell how many streams the database allows, nor when the last byte of a message leaves: the message may wait for
// the database's flow control, or for room in the socket. It is safe for concurrent use.
type databaseSocket struct {
	net.Conn
	received frameReader  // used by Read alone, which gRPC calls on one goroutine
	allowed  atomic.Int64 // streams that the database allows at once; streamsUnknown before it has told
	sent     frameReader  // used by Write alone, which gRPC calls on one goroutine
	ends     []uint32     // used by Write alone: see endsIn

	mu        sync.Mutex
	streams   uint32                      // how many gRPC has opened
	messages  map[uint32]*outgoingMessage // those that wait or are leaving, by stream
	withdrawn map[uint32]struct{}         // streams whose messages were withdrawn
	// isUntracked is set once a stream is not the one that it was taken for. It is not known any more then which
	// message leaves when, and each counts as one that may have left.
	isUntracked bool
}

func newDatabaseSocket(opened net.Conn) *databaseSocket {
	created := &databaseSocket{
		Conn:      opened,
		sent:      newClientFrameReader(),
		messages:  map[uint32]*outgoingMessage{},
		withdrawn: map[uint32]struct{}{},
	}
	created.allowed.Store(streamsUnknown)
	return created
}

// Read implements net.Conn.
func (socket *databaseSocket) Read(buffer []byte) (int, error) {
	n, err := socket.Conn.Read(buffer)
	socket.received.read(buffer[:n], func(frame http2.FrameHeader, payload []byte) {
		if frame.Type == http2.FrameSettings && !frame.Flags.Has(http2.FlagSettingsAck) {
			socket.applySettings(payload)
		}
	})
	return n, err
}

// applySettings takes what the database allows from the payload of a frame of settings.
func (socket *databaseSocket) applySettings(payload []byte) {
	if socket.allowed.Load() == streamsUnknown {
		socket.allowed.Store(math.MaxInt32) // a database that sets no limit has none
	}
	for ; len(payload) >= settingBytes; payload = payload[settingBytes:] {
		identifier := http2.SettingID(binary.BigEndian.Uint16(payload))
		if identifier == http2.SettingMaxConcurrentStreams {
			socket.allowed.Store(int64(binary.BigEndian.Uint32(payload[settingIdentifierBytes:])))
		}
	}
}

// Write implements net.Conn. It writes nothing and returns errMessageWithdrawn if a message that was withdrawn ends in
// the data.
func (socket *databaseSocket) Write(data []byte) (int, error) {
	ends := socket.endsIn(data)
	if !socket.beginLeaving(ends) {
		return 0, errMessageWithdrawn
	}
	n, err := socket.Conn.Write(data)
	if err == nil {
		socket.finishLeaving(ends)
	}
	return n, err
}

// endsIn returns the streams whose messages end in the data. The slice is valid until the next call.
func (socket *databaseSocket) endsIn(data []byte) []uint32 {
	socket.ends = socket.ends[:0]
	socket.sent.read(data, func(frame http2.FrameHeader, _ []byte) {
		switch {
		case frame.Type == http2.FrameData && frame.Flags.Has(http2.FlagDataEndStream):
			socket.ends = append(socket.ends, frame.StreamID)
		case frame.Type == http2.FrameRSTStream:
			socket.forget(frame.StreamID)
		}
	})
	return socket.ends
}

// forget drops what is known of a stream that has been reset: nothing of it follows.
func (socket *databaseSocket) forget(stream uint32) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	delete(socket.withdrawn, stream)
	delete(socket.messages, stream)
}

// beginLeaving notes that messages are handed to the operating system, and may arrive from now on. It returns false if
// one of them was withdrawn.
func (socket *databaseSocket) beginLeaving(streams []uint32) bool {
	if len(streams) == 0 {
		return true
	}
	socket.mu.Lock()
	defer socket.mu.Unlock()
	for _, stream := range streams {
		if _, isWithdrawn := socket.withdrawn[stream]; isWithdrawn {
			return false
		}
	}
	for _, stream := range streams {
		message := socket.messages[stream]
		if message == nil {
			socket.stopTracking()
			continue
		}
		message.beginLeaving()
	}
	return true
}

// finishLeaving notes that the operating system has taken messages whole.
func (socket *databaseSocket) finishLeaving(streams []uint32) {
	for _, stream := range streams {
		if message := socket.finish(stream); message != nil {
			message.attempt.noteWritten()
		}
	}
}

// finish notes that the operating system has taken the message of a stream, and returns the message; nil if it is not
// known.
func (socket *databaseSocket) finish(stream uint32) *outgoingMessage {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	message := socket.messages[stream]
	if message != nil {
		delete(socket.messages, stream)
		message.state = messageWritten
		message.stopTimer()
	}
	return message
}

// stopTracking marks all messages as ones that may have left.
func (socket *databaseSocket) stopTracking() {
	socket.isUntracked = true
	for _, message := range socket.messages {
		message.beginLeaving()
	}
}

// register returns the message of a stream that gRPC has opened on the socket last. It must be called before anything
// of the message is handed to gRPC. gRPC numbers the streams of a connection as HTTP/2 has it: 1, 3, 5 and so on.
func (socket *databaseSocket) register(running *attempt) *outgoingMessage {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.streams++
	created := &outgoingMessage{socket: socket, stream: 2*socket.streams - 1, attempt: running}
	socket.messages[created.stream] = created
	if socket.isUntracked {
		created.beginLeaving()
	}
	return created
}

// loseTrack notes that gRPC may have opened a stream on the socket that is not registered.
func (socket *databaseSocket) loseTrack() {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.stopTracking()
}

// messageState is how far a message has got.
type messageState uint8

// The states of messages.
const (
	messageWaiting   messageState = iota // gRPC holds its last byte
	messageLeaving                       // its last byte is being handed to the operating system, and may arrive
	messageWritten                       // the operating system has all of it
	messageWithdrawn                     // its last byte was held back, and never leaves
)

// String returns the name of the state.
func (state messageState) String() string {
	return [...]string{"waiting", "leaving", "written", "withdrawn"}[state]
}

// outgoingMessage is the one message of a call to a database. It is safe for concurrent use.
type outgoingMessage struct {
	socket  *databaseSocket
	stream  uint32
	attempt *attempt
	state   messageState // guarded by socket.mu
	timer   *time.Timer  // of afterUnwritten; nil if it was not called; likewise
}

// beginLeaving notes that the message may arrive from now on. The caller holds the socket's lock.
func (message *outgoingMessage) beginLeaving() {
	message.state = messageLeaving
	message.attempt.mayHaveArrived.Store(true)
}

// withdraw holds the message back if its last byte has not been handed to the operating system. It reports whether it
// did: then the database never gets all of it.
func (message *outgoingMessage) withdraw() bool {
	socket := message.socket
	socket.mu.Lock()
	defer socket.mu.Unlock()
	if message.state != messageWaiting {
		return message.state == messageWithdrawn
	}
	message.state = messageWithdrawn
	message.stopTimer()
	delete(socket.messages, message.stream)
	if len(socket.withdrawn) >= maxWithdrawn {
		delete(socket.withdrawn, socket.oldestWithdrawn())
	}
	socket.withdrawn[message.stream] = struct{}{}
	return true
}

// afterUnwritten calls a function after a time, unless the operating system has all of the message by then.
func (message *outgoingMessage) afterUnwritten(delay time.Duration, do func()) {
	message.socket.mu.Lock()
	defer message.socket.mu.Unlock()
	if message.state == messageWaiting || message.state == messageLeaving {
		message.timer = time.AfterFunc(delay, do)
	}
}

// stopTimer ends the wait of afterUnwritten. The caller holds the socket's lock.
func (message *outgoingMessage) stopTimer() {
	if message.timer != nil {
		message.timer.Stop()
	}
}

// oldestWithdrawn returns the first stream whose message was withdrawn. The caller holds the lock.
func (socket *databaseSocket) oldestWithdrawn() (oldest uint32) {
	for stream := range socket.withdrawn {
		if oldest == 0 || stream < oldest {
			oldest = stream
		}
	}
	return oldest
}

// isWritten reports whether the operating system has all of the message.
func (message *outgoingMessage) isWritten() bool {
	message.socket.mu.Lock()
	defer message.socket.mu.Unlock()
	return message.state == messageWritten
}
