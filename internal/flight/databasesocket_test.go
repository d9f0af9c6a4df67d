package flight

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// clientFrames returns what a client writes that sends messages on so many streams, two frames each.
func clientFrames(t *testing.T, streams uint32) []byte {
	t.Helper()
	var written bytes.Buffer
	written.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&written, nil)
	require.NoError(t, framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 7}))
	for stream := uint32(1); stream < 2*streams; stream += 2 {
		require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, EndHeaders: true}))
		require.NoError(t, framer.WriteData(stream, false, make([]byte, 100)))
		require.NoError(t, framer.WriteData(stream, true, make([]byte, 10)))
	}
	return written.Bytes()
}

// Frames are found however their bytes are cut into pieces.
func TestFramesInPieces(t *testing.T) {
	const streams = 20
	data := clientFrames(t, streams)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		reader := newClientFrameReader()
		var ended []uint32
		var settings []byte
		for rest := data; len(rest) > 0; {
			n := min(len(rest), 1+random.IntN(40))
			reader.read(rest[:n], func(frame http2.FrameHeader, payload []byte) {
				if frame.Type == http2.FrameSettings {
					settings = payload
				}
				if frame.Type == http2.FrameData && frame.Flags.Has(http2.FlagDataEndStream) {
					ended = append(ended, frame.StreamID)
				}
			})
			rest = rest[n:]
		}
		require.Len(t, ended, streams, "seed %d", seed)
		require.Equal(t, []byte{0, 3, 0, 0, 0, 7}, settings, "seed %d", seed)
	}
}

// Guards against a message that gRPC still writes in the moment in which it is withdrawn: the connection ends instead.
func TestWithdrawnMessageNeverLeaves(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	received := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, server) // until the test closes it
		received <- n
	}()
	socket := newDatabaseSocket(client)
	message := socket.register(new(attempt))
	data := clientFrames(t, 1)
	beforeEnd := len(data) - 1
	n, err := socket.Write(data[:beforeEnd])
	require.NoError(t, err)
	require.Equal(t, beforeEnd, n)
	require.True(t, message.withdraw())
	_, err = socket.Write(data[beforeEnd:])
	require.ErrorIs(t, err, errMessageWithdrawn)
	require.False(t, message.attempt.mayHaveArrived.Load())
	require.NoError(t, socket.Close())
	require.EqualValues(t, beforeEnd, <-received)
}

// What is remembered of withdrawn messages is bounded.
func TestWithdrawnMessagesAreBounded(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	socket := newDatabaseSocket(client)
	for range 2 * maxWithdrawn {
		require.True(t, socket.register(new(attempt)).withdraw())
	}
	require.Len(t, socket.withdrawn, maxWithdrawn)
	require.NotContains(t, socket.withdrawn, uint32(1))
	require.Empty(t, socket.messages)
}
