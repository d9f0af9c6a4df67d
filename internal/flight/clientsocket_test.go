package flight

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Until the reader has come back for more, what it has read may be a cancelling that is yet to be handled; an end is
// seen at once where nothing lies before it, and else as soon as that is read.
func TestWhatLiesUnreadOfAClient(t *testing.T) {
	const patience = 20 * time.Second
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var sockets clientSockets
	listener := socketListener{inner, &sockets}
	defer listener.Close()
	peer, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	socket := accepted.(*clientSocket)

	state := func() [2]bool {
		left, handled := socket.look()
		return [2]bool{left, handled}
	}
	becomes := func(left, handled bool, why string) {
		t.Helper()
		require.Eventually(t, func() bool { return state() == [2]bool{left, handled} }, patience, time.Millisecond, why)
	}
	type result struct {
		n   int
		err error
	}
	read := make(chan result)
	reader := func() {
		n, err := socket.Read(make([]byte, 4))
		read <- result{n, err}
	}

	require.Equal(t, [2]bool{false, false}, state(), "nobody reads")
	go reader()
	becomes(false, true, "it waits for more")
	socket.settle(t.Context(), patience) // returns at once
	_, err = peer.Write([]byte("callmore"))
	require.NoError(t, err)
	require.Equal(t, result{4, nil}, <-read)
	require.Equal(t, [2]bool{false, false}, state(), "some lies unread")
	require.NoError(t, peer.Close())
	go reader()
	require.Equal(t, result{4, nil}, <-read)
	becomes(true, false, "all is read, and the end is next")
	go reader()
	require.Equal(t, result{0, io.EOF}, <-read)
	require.True(t, state()[0], "the end is not forgotten")
	require.NoError(t, socket.Close())
	require.True(t, state()[0], "a closed one has left")
	_, known := sockets.byAddr.Load(peer.LocalAddr().String())
	require.False(t, known)
}
