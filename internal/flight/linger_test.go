package flight

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed/loopback"
)

// Sizes in bytes: of an answer, and of the receive buffer of a slow client, which is a small part of it.
const (
	answerBytes   = 150_000
	receiveBuffer = 16 << 10
)

// acceptWith accepts a client's connection whose close lingers.
func acceptWith(t *testing.T, times lingerTimes) (client *net.TCPConn, socket *clientSocket) {
	t.Helper()
	listener := socketListener{Listener: loopback.Listen(t), sockets: &clientSockets{}, lingerTimes: times}
	client = dialTo(t, listener.Addr()).(*net.TCPConn)
	require.NoError(t, client.SetReadBuffer(receiveBuffer))
	accepted, err := listener.Accept()
	require.NoError(t, err)
	return client, accepted.(*clientSocket)
}

// Guards against an answer that is lost when its connection is closed before the client has received it: a client that
// reads late, and sends something meanwhile, receives all of it and then the end, and no reset.
func TestCloseWaitsUntilLateClientHasReceivedEverything(t *testing.T) {
	const afterReceived = 20 * time.Millisecond
	client, socket := acceptWith(t, lingerTimes{total: waitLimit, afterReceived: afterReceived})
	answer := bytes.Repeat([]byte("answer"), answerBytes/len("answer"))
	require.NoError(t, socket.SetWriteBuffer(2*answerBytes))
	_, err := socket.Write(answer)
	require.NoError(t, err)
	closed := make(chan error, 2)
	for range 2 { // gRPC calls Close twice
		go func() { closed <- socket.Close() }()
	}
	for range 5 {
		_, err = client.Write([]byte("a window update"))
		require.NoError(t, err, "no reset")
		time.Sleep(afterReceived)
	}
	require.Empty(t, closed, "the client has not received everything")
	received, err := io.ReadAll(client)
	require.NoError(t, err, "the client reads the end and no reset")
	require.True(t, bytes.Equal(answer, received), "%d of %d bytes", len(received), len(answer))
	require.NoError(t, <-closed)
	require.NoError(t, <-closed)
}

// A client that receives nothing does not delay the close for ever, and one that has closed its side does not at all.
func TestCloseIsBounded(t *testing.T) {
	_, socket := acceptWith(t, lingerTimes{total: 50 * time.Millisecond})
	require.NoError(t, socket.SetWriteBuffer(2*answerBytes))
	_, err := socket.Write(make([]byte, answerBytes))
	require.NoError(t, err)
	require.NoError(t, socket.Close())

	gone, socket := acceptWith(t, lingerTimes{total: time.Hour, afterReceived: time.Hour})
	require.NoError(t, gone.Close())
	require.NoError(t, socket.Close())
}
