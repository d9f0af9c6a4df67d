package flight

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"capercove/internal/testbed/loopback"
)

// checkInterval is the time between two looks at a condition.
const checkInterval = 2 * time.Millisecond

// hugeWindow is a window that no test fills, in bytes.
const hugeWindow = 1 << 30

// scriptedDatabase is an HTTP/2 server that answers nothing by itself. It records which calls arrive, and which of
// their messages arrive whole.
type scriptedDatabase struct {
	t        *testing.T
	address  string
	settings []http2.Setting
	isSilent bool // it sends settings and a huge window, and reads nothing

	mu      sync.Mutex
	framer  *http2.Framer // of the latest connection
	opened  []uint32      // streams whose headers have come, in order
	whole   []uint32      // streams whose messages have come whole, in order
	reset   []uint32      // streams that the pooler has reset, in order
	told    []string      // the deadline in each call's headers, in order
	heads   *hpack.Encoder
	encoded bytes.Buffer
}

// newScriptedDatabase serves until the test ends, with these settings.
func newScriptedDatabase(t *testing.T, settings ...http2.Setting) *scriptedDatabase {
	t.Helper()
	listener := loopback.Listen(t)
	database := &scriptedDatabase{t: t, address: listener.Addr().String(), settings: settings}
	var served sync.WaitGroup
	served.Go(func() {
		loopback.Accept(listener, func(accepted net.Conn) {
			t.Cleanup(func() { _ = accepted.Close() }) // the pooler may have closed it
			served.Go(func() { database.serve(accepted) })
		})
	})
	t.Cleanup(func() { _ = listener.Close() })
	return database
}

// serve follows the frames of a connection until it ends.
func (database *scriptedDatabase) serve(accepted net.Conn) {
	framer := http2.NewFramer(accepted, accepted)
	database.mu.Lock()
	database.framer = framer
	database.heads = hpack.NewEncoder(&database.encoded)
	_ = framer.WriteSettings(database.settings...) // a read shows a connection that has ended
	database.mu.Unlock()
	if database.isSilent {
		_ = framer.WriteWindowUpdate(0, hugeWindow) // likewise
		return
	}
	if _, err := io.CopyN(io.Discard, accepted, int64(len(http2.ClientPreface))); err != nil {
		return
	}
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		database.note(frame)
	}
}

// note records a frame.
func (database *scriptedDatabase) note(frame http2.Frame) {
	database.mu.Lock()
	defer database.mu.Unlock()
	switch frame := frame.(type) {
	case *http2.MetaHeadersFrame:
		database.opened = append(database.opened, frame.StreamID)
		for _, field := range frame.Fields {
			if field.Name == KeyDeadline {
				database.told = append(database.told, field.Value)
			}
		}
	case *http2.DataFrame:
		if frame.StreamEnded() {
			database.whole = append(database.whole, frame.StreamID)
		}
	case *http2.RSTStreamFrame:
		database.reset = append(database.reset, frame.StreamID)
	}
}

// reject ends a call as a database does that executed nothing.
func (database *scriptedDatabase) reject(stream uint32) {
	database.mu.Lock()
	defer database.mu.Unlock()
	database.encoded.Reset()
	for _, field := range [][2]string{
		{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", "9"}, // FAILED_PRECONDITION
	} {
		_ = database.heads.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // into memory
	}
	require.NoError(database.t, database.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: database.encoded.Bytes(), EndStream: true, EndHeaders: true,
	}))
}

// allow lets the pooler send so many more bytes on a stream.
func (database *scriptedDatabase) allow(stream uint32, size int) {
	database.mu.Lock()
	defer database.mu.Unlock()
	require.NoError(database.t, database.framer.WriteWindowUpdate(0, uint32(size)))
	require.NoError(database.t, database.framer.WriteWindowUpdate(stream, uint32(size)))
}

// streams are what a scriptedDatabase has recorded.
type streams struct{ opened, whole, reset []uint32 }

// seen returns what has been recorded by now.
func (database *scriptedDatabase) seen() streams {
	database.mu.Lock()
	defer database.mu.Unlock()
	return streams{
		append([]uint32{}, database.opened...),
		append([]uint32{}, database.whole...),
		append([]uint32{}, database.reset...),
	}
}

// awaitSeen waits until what has been recorded is enough.
func (database *scriptedDatabase) awaitSeen(enough func(streams) bool, what string) {
	database.t.Helper()
	require.Eventually(database.t, func() bool { return enough(database.seen()) }, waitLimit, checkInterval, what)
}
