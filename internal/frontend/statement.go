package frontend

import (
	"net"

	"capercove/internal/pg"
	"capercove/internal/tenant"
)

// handleCommand queues the response to a command. The response is complete at once, unless the command has a statement
// that is submitted to the core.
func (connection *clientConnection) handleCommand(command pg.Command) {
	frontend := connection.frontend
	frontend.counters.Commands++
	response := &clientResponse{connection: connection, bytes: command.Reply, state: responseComplete}
	if command.Close {
		response.state = responseLast
		connection.stopReading()
	}
	connection.queue(response)
	if command.RejectReason != "" {
		connection.markBadInput(command.RejectReason)
	}
	if command.Query == "" {
		return
	}
	connection.allowDrain()
	if pg.ChangesConnectionStateOnly(command.Query) {
		response.bytes = pg.AppendReady(pg.AppendComplete(nil, command.Query))
		return
	}
	connection.submit(response, command.Query)
}

// queue appends a response. While memory is relieved, replies to many commands are joined: each response takes more
// memory than such a reply.
func (connection *clientConnection) queue(response *clientResponse) {
	if last := len(connection.responses) - 1; last >= 0 && connection.frontend.relieving {
		before := connection.responses[last]
		if before.request == nil && before.state == responseComplete {
			before.bytes = append(before.bytes, response.bytes...)
			before.state = response.state
			return
		}
	}
	connection.responses = append(connection.responses, response)
}

// submit submits a statement to the core, or answers it with an error if it is invalid. The deadline of the request
// counts from the arrival of the statement's last byte.
func (connection *clientConnection) submit(response *clientResponse, sql string) {
	frontend := connection.frontend
	if connection.lacksMemoryFor(len(sql)) {
		frontend.counters.Shed++
		response.bytes = pg.AppendRejection(nil, 0)
		return
	}
	request, rejection := frontend.intake.PostgresRequest(wireName, sql, connection.caller(), frontend.backend)
	if request == nil {
		response.bytes = pg.AppendFailure(nil, rejection.Code, rejection.Reason)
		connection.markBadInput(rejection.Reason)
		return
	}
	request.TimeLeft -= connection.arrivals.sinceLastByte(connection.session.Buffered(), frontend.core.Now())
	request.OpenBefore = len(connection.responses) - 1 // the last one is of this request
	request.RecentWork = connection.recentWork.magnitude()
	request.Client = response
	response.awaitAnswer(request)
	response.statementBytes = len(sql)
	frontend.core.Submit(request)
}

// markBadInput counts bad input of the connection, and permits the connection's eviction without idle time.
func (connection *clientConnection) markBadInput(reason string) {
	connection.sentBadInput = true
	connection.frontend.recordBadInput(reason)
}

// caller returns the properties of the client that determine its tenant. It is empty if tenants are not classified.
func (connection *clientConnection) caller() tenant.Caller {
	if !connection.frontend.intake.ClassifiesTenants() {
		return tenant.Caller{}
	}
	caller := tenant.Caller{
		User:        connection.session.User,
		Database:    connection.session.Database,
		Application: connection.session.Application,
		Connection:  connection.number,
	}
	if address, ok := connection.socket.RemoteAddr().(*net.TCPAddr); ok {
		caller.Address = address.AddrPort().Addr()
	}
	return caller
}
