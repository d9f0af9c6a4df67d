package frontend

import (
	"capercove/internal/core"
	"capercove/internal/pg"
)

// rejectionFactor bounds the answers to commands that are rejected for want of memory: they may be so many times as
// long as the commands were.
const rejectionFactor = 2

// shortAnswerBytes is the length up to which an answer is not replaced by an error, which would take as much memory.
const shortAnswerBytes = 512

// relieveMemory frees memory while the buffers of all connections together are larger than limits.MaxBufferedBytes.
// Each time, the connection that holds most gives way: first by what was not taken yet, which is rejected, then by
// answers of which nothing was written, and only then by its close. Clients with small buffers keep their responses.
func (frontend *Frontend) relieveMemory() {
	if frontend.relieving {
		return
	}
	frontend.relieving = true
	defer func() { frontend.relieving = false }()
	for frontend.buffers.Total() > frontend.limits.MaxBufferedBytes {
		largest := frontend.largestHolder()
		if largest == nil {
			return
		}
		largest.recordForcedClose(textTooMuchBuffered)
		largest.relieve()
		if largest.stage != stageClosed {
			largest.updateBuffers()
		}
	}
}

// releasable returns how much of a connection's buffers relieve may free, in bytes. The statements of requests stay
// until their answers.
func (held *Buffers) releasable() int { return held.Input + held.Answers + held.Output }

// largestHolder returns the connection in the table that holds most, or nil if none holds anything.
func (frontend *Frontend) largestHolder() *clientConnection {
	var largest *clientConnection
	most := 0
	for connection := range frontend.table.entries {
		if releasable := connection.buffers.releasable(); releasable > most {
			largest, most = connection, releasable
		}
	}
	return largest
}

// relieve frees a part of the connection's memory: its input, its answers, or all of it by a close.
func (connection *clientConnection) relieve() {
	held := connection.measureBuffers()
	switch {
	case connection.stage == stageOpen && held.Input >= held.Answers+held.Output:
		connection.rejectInput()
	case connection.shortenAnswers():
	case connection.stage == stageOpen && held.Input > 0:
		connection.rejectInput()
	default:
		connection.closeNow()
	}
}

// rejectInput rejects the commands that wait, each by an answer of its own, and ends the connection with a rejection if
// an incomplete message is left, or more commands than may be answered. Nothing of what is rejected has run.
func (connection *clientConnection) rejectInput() {
	session, answered := connection.session, 0
	for limit := rejectionFactor * session.Buffered(); connection.stage == stageOpen && answered < limit; {
		command, ok := session.Next()
		if !ok {
			break
		}
		if command.Query != "" {
			connection.frontend.counters.Shed++
			command = pg.Command{Reply: pg.AppendRejection(nil, 0)}
		}
		answered += max(len(command.Reply), 1)
		connection.finishStartup()
		connection.handleCommand(command)
	}
	if connection.stage == stageOpen && session.Buffered() > 0 {
		connection.handleCommand(session.Fatal(pg.CodeTooManyConnections, textTooMuchBuffered))
	}
	connection.markComplete()
	connection.flush()
}

// shortenAnswers replaces the long answers of which nothing was written by errors, and reports whether there were any.
// What they are the answers to may have run.
func (connection *clientConnection) shortenAnswers() (shortened bool) {
	for _, response := range connection.responses {
		isReplaceable := response.state == responseComplete && response.request != nil && !response.isBegun
		if !isReplaceable || cap(response.bytes) <= shortAnswerBytes {
			continue
		}
		connection.frontend.counters.Shortened++
		response.bytes = failureMessage(core.ConnectionBroke)
		shortened = true
	}
	return shortened
}

// shareOfBuffersDivisor determines the share of the buffers that each connection has in any case. All shares together
// take MaxBufferedBytes / shareOfBuffersDivisor beside the buffers of those that hold more.
const shareOfBuffersDivisor = 2

// shareOfBuffers returns how many bytes a connection may hold in any case.
func (frontend *Frontend) shareOfBuffers() int {
	return frontend.limits.MaxBufferedBytes / shareOfBuffersDivisor / frontend.limits.MaxConnections
}

// lacksMemoryFor reports whether a statement of a length is too much for the buffers of all connections together. A
// connection that stays within its share is not rejected for what others hold, which relieveMemory frees.
func (connection *clientConnection) lacksMemoryFor(statementBytes int) bool {
	connection.updateBuffers()
	frontend := connection.frontend
	if connection.buffers.Total()+statementBytes <= frontend.shareOfBuffers() {
		return false
	}
	return frontend.buffers.Total()+statementBytes > frontend.limits.MaxBufferedBytes
}
