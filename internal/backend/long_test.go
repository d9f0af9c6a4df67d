package backend_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// Parts of messages of the PostgreSQL protocol, in bytes.
const (
	messageHeadBytes   = 5 // type and length
	messageLengthBytes = 4 // the length counts itself and the body
	dataRowHeadBytes   = 6 // of the body of a DataRow with one column: number of columns, length of the value
)

// Types of messages that a database sends.
const (
	typeRowDescription = 'T'
	typeDataRow        = 'D'
	typeReadyForQuery  = 'Z'
	typeErrorResponse  = 'E'
)

// message is one message of an answer.
type message struct {
	messageType byte
	body        []byte
}

// readMessage reads the next message.
func readMessage(t *testing.T, reader io.Reader) message {
	t.Helper()
	var head [messageHeadBytes]byte
	_, err := io.ReadFull(reader, head[:])
	require.NoError(t, err)
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-messageLengthBytes)
	_, err = io.ReadFull(reader, body)
	require.NoError(t, err)
	return message{head[0], body}
}

// readUntil reads messages up to the first message of a type and returns that message.
func readUntil(t *testing.T, reader io.Reader, messageType byte) message {
	t.Helper()
	for {
		next := readMessage(t, reader)
		if next.messageType == messageType {
			return next
		}
	}
}

// awaitFirstByte reads the first byte of an answer, which shows that the answer has begun.
func awaitFirstByte(t *testing.T, client *testbed.Client) byte {
	t.Helper()
	require.NoError(t, client.SetReadDeadline(time.Now().Add(testbed.Timeout)))
	var first [1]byte
	_, err := io.ReadFull(client, first[:])
	require.NoError(t, err)
	return first[0]
}

// While clients do not read, their long values stay at the databases and do not fill the memory. A value that has begun
// to arrive is not cut off at the deadline: it arrives complete, and the answer to the next command follows.
func TestUnreadLongValuesDoNotFillMemory(t *testing.T) {
	const clientCount = 30
	const deadline = 3 * testbed.AnswerTimeout
	const receiveBuffer = 256 << 10 // bytes: the kernel buffers little for a client
	const memoryBound = 80 << 20    // bytes; the values of all clients are 120 MB
	bed := testbed.Start(t)
	var clients []*testbed.Client
	for range clientCount {
		client := bed.Client()
		require.NoError(t, client.Conn.(*net.TCPConn).SetReadBuffer(receiveBuffer))
		commands := testbed.Query(bed.Statement("report", "long", deadline))
		client.Send(pg.AppendQuery(commands, bed.Statement("report", "a", deadline)))
		clients = append(clients, client)
	}
	for _, client := range clients {
		require.EqualValues(t, typeRowDescription, awaitFirstByte(t, client))
	}
	testbed.Pass(deadline)
	require.Less(t, bed.Memory(), memoryBound)
	for _, client := range clients {
		require.NoError(t, client.SetReadDeadline(time.Now().Add(testbed.Timeout)))
		answers := bufio.NewReader(io.MultiReader(bytes.NewReader([]byte{typeRowDescription}), client))
		value := string(readUntil(t, answers, typeDataRow).body[dataRowHeadBytes:])
		require.True(t, value == testbed.Long, "%d bytes", len(value))
		readUntil(t, answers, typeReadyForQuery)
		next := readMessage(t, answers)
		require.Contains(t, []byte{typeRowDescription, typeErrorResponse}, next.messageType, "the next answer")
	}
}

// If a long value breaks off halfway, the client's connection is closed after the part that has arrived, and the
// statement is not sent again.
func TestTruncatedLongValueClosesClientWithoutRetry(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	client.Send(testbed.Query(bed.Statement("report", "torn", testbed.AnswerTimeout)))
	require.NoError(t, client.SetReadDeadline(time.Now().Add(testbed.Timeout)))
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Greater(t, len(received), 1<<20)
	require.Less(t, len(received), len(testbed.Long))
	require.Len(t, append(bed.Databases[0].Statements(), bed.Databases[1].Statements()...), 1)
	bed.Counters(func(counters testbed.Counters) bool { return counters.Core.Fronts[postgresFront].Failed == 1 })
}
