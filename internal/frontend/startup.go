package frontend

// beginStartup sets the timeout of the startup message. Without this timeout, connections that are opened and never
// used would stay open.
func (connection *clientConnection) beginStartup() {
	frontend := connection.frontend
	connection.timeout = frontend.core.Wheel.Schedule(
		connection.lastUse+frontend.limits.StartupTimeout, connection.closeNow)
}

// finishStartup is called after each message. If the message was the startup message, finishStartup moves the
// connection to placeStarted and stops the timeout.
func (connection *clientConnection) finishStartup() {
	if connection.place != placeStarting || !connection.session.Started() {
		return
	}
	connection.frontend.table.move(connection, placeStarted)
	connection.timeout.Stop()
}
