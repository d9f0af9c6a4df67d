package pg

import "fmt"

// linkState is the state of a database connection and of the reply in progress.
type linkState uint8

const (
	// linkStarting: the first ReadyForQuery has not arrived yet.
	linkStarting linkState = iota
	// linkIdle: the startup or the previous reply is complete, and no message of the next reply's result has arrived.
	linkIdle
	// linkDescribed: RowDescription has arrived.
	linkDescribed
	// linkStreaming: a row is being streamed.
	linkStreaming
	// linkRow: the whole row has arrived.
	linkRow
	// linkComplete: CommandComplete or EmptyQueryResponse has arrived.
	linkComplete
	// linkFailed: an error has arrived that leaves the connection usable.
	linkFailed
)

var linkStateNames = [...]string{
	linkStarting:  "starting",
	linkIdle:      "idle",
	linkDescribed: "described",
	linkStreaming: "streaming",
	linkRow:       "row",
	linkComplete:  "complete",
	linkFailed:    "failed",
}

// String returns the state's name.
func (s linkState) String() string {
	if int(s) < len(linkStateNames) {
		return linkStateNames[s]
	}
	return fmt.Sprintf("link state %d", uint8(s))
}

// after returns the state after a message, and whether the message is allowed in state s. An error during startup ends
// the connection and does not change the state.
func (s linkState) after(kind messageType) (linkState, bool) {
	switch kind {
	case backendRowDescription:
		return linkDescribed, s == linkIdle
	case backendDataRow:
		return linkRow, s == linkDescribed
	case backendCommandComplete:
		return linkComplete, s == linkIdle || s == linkRow
	case backendEmptyQueryResponse:
		return linkComplete, s == linkIdle
	case backendErrorResponse:
		if s == linkStarting {
			return linkStarting, true
		}
		return linkFailed, s == linkIdle || s == linkDescribed || s == linkRow
	case backendReadyForQuery:
		return linkIdle, s == linkStarting || s == linkComplete || s == linkFailed
	default:
		return s, false
	}
}

// advance changes the state for a message. It returns ErrUnexpectedMessage if the message is not allowed.
func (s *linkState) advance(kind messageType) error {
	next, allowed := s.after(kind)
	if !allowed {
		return ErrUnexpectedMessage
	}
	*s = next
	return nil
}
