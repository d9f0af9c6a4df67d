package frontend

// Buffers is what the connections of clients hold in memory, in bytes. It is logged as JSON.
type Buffers struct {
	Input      int // received and not handled yet, with the spare capacity of the buffers
	Statements int // texts of the statements of requests whose responses are not written yet
	Answers    int // of responses that are not written yet, since earlier ones come first or the client reads slowly
	Output     int // that the kernel has not taken yet
}

// responseOverhead is about what a response takes beside its bytes, in bytes.
const responseOverhead = 128

// Total returns the sum of all buffers.
func (buffers Buffers) Total() int {
	return buffers.Input + buffers.Statements + buffers.Answers + buffers.Output
}

// add adds the difference of two measurements of one connection.
func (buffers *Buffers) add(now, before Buffers) {
	buffers.Input += now.Input - before.Input
	buffers.Statements += now.Statements - before.Statements
	buffers.Answers += now.Answers - before.Answers
	buffers.Output += now.Output - before.Output
}

// measureBuffers returns what the connection holds now.
func (connection *clientConnection) measureBuffers() (held Buffers) {
	held.Input = connection.session.BufferCapacity()
	held.Output = connection.output.size
	for _, response := range connection.responses {
		held.Answers += cap(response.bytes) + responseOverhead
		held.Statements += response.statementBytes
	}
	return held
}

// updateBuffers measures the connection's buffers, and updates the sum of the frontend.
func (connection *clientConnection) updateBuffers() {
	connection.setBuffers(connection.measureBuffers())
}

// setBuffers records what the connection holds, and updates the sum of the frontend.
func (connection *clientConnection) setBuffers(held Buffers) {
	connection.frontend.buffers.add(held, connection.buffers)
	connection.buffers = held
	connection.frontend.peakBuffers = max(connection.frontend.peakBuffers, connection.frontend.buffers.Total())
}

// Buffers returns what all connections hold.
func (frontend *Frontend) Buffers() Buffers { return frontend.buffers }
