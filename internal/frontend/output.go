package frontend

// outputQueue holds the bytes that are to be written to a client, in their order. The kernel takes them from the front.
type outputQueue struct {
	parts [][]byte
	size  int // of all parts, in bytes
}

// add adds bytes at the end. The caller must not change them afterwards.
func (queue *outputQueue) add(data []byte) {
	if len(data) > 0 {
		queue.parts = append(queue.parts, data)
		queue.size += len(data)
	}
}

// drop removes bytes of the first part.
func (queue *outputQueue) drop(size int) {
	queue.size -= size
	queue.parts[0] = queue.parts[0][size:]
	if len(queue.parts[0]) > 0 {
		return
	}
	queue.parts = queue.parts[1:]
	if len(queue.parts) == 0 {
		queue.parts = nil
	}
}

// write writes to the client. All bytes for the client pass through it. Once the connection is closing it writes
// nothing, since the client must only read a prefix of what it is owed. If the write fails, the connection has been
// closed when write returns.
func (connection *clientConnection) write(data []byte) {
	if connection.stage.isClosing() {
		return
	}
	connection.output.add(data)
	connection.sendOutput()
}

// sendOutput hands as much of the output to the kernel as it takes now. The rest is sent by a later call. The event
// loop's own output buffer is not used, so that it stays empty: it could neither be bounded nor survive a pause.
func (connection *clientConnection) sendOutput() {
	for connection.output.size > 0 && connection.stage != stageClosed {
		sent, err := connection.frontend.send(connection.descriptor(), connection.output.parts[0])
		if err != nil {
			connection.closeNow()
			return
		}
		if sent == 0 {
			return
		}
		connection.output.drop(sent)
	}
}
