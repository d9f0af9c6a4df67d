package frontend

// Counters count connections and commands of clients since the start of the process. They are logged as JSON, and tools
// that read the log rely on the names in the tags.
type Counters struct {
	Accepted  int64 `json:"Accepted"`   // connections that were admitted
	Rejected  int64 `json:"TurnedAway"` // connections that were rejected because the table was full
	Evicted   int64 `json:"Evicted"`    // idle connections that were closed to make room for new ones
	Expired   int64 `json:"Expired"`    // connections that were closed because they were idle for too long
	Closed    int64 `json:"Closed"`     // connections that have been closed by either side, including rejected ones
	Commands  int64 `json:"Commands"`   // commands that were read
	BadInputs int64 `json:"Bad"`        // rejected commands, and connections rejected or closed for bad input
	Paused    int64 `json:"Paused"`     // pauses in the reading of clients that had sent too far ahead
	Forced    int64 `json:"Forced"`     // connections that had to give way, for what they hold or leave unread
	Shed      int64 `json:"Shed"`       // statements that were rejected for want of memory, before they were taken
	Shortened int64 `json:"Shortened"`  // answers that were replaced by errors for want of memory

	PeakBuffers int `json:"PeakBuffers"` // largest sum of the buffers of all connections, in bytes

	// Requests whose responses were dropped behind one that broke off, by what is known of them.
	DroppedAnswered int64 `json:"DroppedAnswered"` // answered, and the answer was not written
	DroppedWritten  int64 `json:"DroppedWritten"`  // written to a database: it may have run
	DroppedUnsent   int64 `json:"DroppedUnsent"`   // never written whole to a database: it has not run
}

// countDropped counts the requests of responses that were dropped behind one that broke off.
func (counters *Counters) countDropped(responses []*clientResponse) {
	for _, response := range responses {
		switch {
		case response.request == nil:
		case response.state.isFinal():
			counters.DroppedAnswered++
		case response.request.IsWritten():
			counters.DroppedWritten++
		default:
			counters.DroppedUnsent++
		}
	}
}

// Counters returns a snapshot of the counters.
func (frontend *Frontend) Counters() Counters {
	snapshot := frontend.counters
	snapshot.PeakBuffers = frontend.peakBuffers
	return snapshot
}

// Reasons for which input counts as bad. All of them are logged, and some are also sent to the client.
const (
	textTooManyConnections = "too many connections"
	textTooMuchBuffered    = "more is sent or left unread than is held"
	textResponseUnread     = "an answer is left unread"
	textMessageUnfinished  = "the message is not finished in time"
)

// textPauseFailed names the log lines of recordPauseFailure for mayLog.
const textPauseFailed = "pause failed"

// recordBadInput counts bad input, and logs each reason at most once per limits.LogInterval.
func (frontend *Frontend) recordBadInput(reason string) {
	frontend.counters.BadInputs++
	if frontend.mayLog(reason) {
		frontend.log.Warn().Str("why", reason).Int64("so_far", frontend.counters.BadInputs).Msg("frontend: bad input")
	}
}

// recordForcedClose counts a connection that has to give way, and logs it with what it holds, each reason at most once
// per limits.LogInterval.
func (connection *clientConnection) recordForcedClose(reason string) {
	frontend := connection.frontend
	frontend.counters.Forced++
	frontend.counters.BadInputs++
	if !frontend.mayLog(reason) {
		return
	}
	connection.updateBuffers()
	frontend.log.Warn().Str("why", reason).Int64("so_far", frontend.counters.BadInputs).
		Uint64("connection", connection.number).Stringer("stage", connection.stage).
		Int("responses", len(connection.responses)).Interface("holds", connection.buffers).
		Int("all_hold", frontend.buffers.Total()).Msg("frontend: bad input")
}

// mayLog reports whether a line may be logged for a reason now. It permits one per limits.LogInterval.
func (frontend *Frontend) mayLog(reason string) bool {
	now := frontend.core.Now()
	if last, logged := frontend.lastLogged[reason]; logged && now-last < frontend.limits.LogInterval {
		return false
	}
	frontend.lastLogged[reason] = now
	return true
}
