package pg

import "fmt"

// sessionState is the state of a client connection.
type sessionState uint8

const (
	// sessionStarting: the startup message has not arrived yet.
	sessionStarting sessionState = iota
	// sessionReady: messages are accepted.
	sessionReady
	// sessionSkipping: an extended query was rejected, and messages are skipped until Sync.
	sessionSkipping
	// sessionClosed: the session ended after the startup message was accepted.
	sessionClosed
	// sessionClosedAtStartup: the session ended before a startup message was accepted.
	sessionClosedAtStartup
)

var sessionStateNames = [...]string{
	sessionStarting:        "starting",
	sessionReady:           "ready",
	sessionSkipping:        "skipping until Sync",
	sessionClosed:          "closed",
	sessionClosedAtStartup: "closed at startup",
}

// String returns the state's name.
func (s sessionState) String() string {
	if int(s) < len(sessionStateNames) {
		return sessionStateNames[s]
	}
	return fmt.Sprintf("session state %d", uint8(s))
}

// started reports whether the startup message was accepted.
func (s sessionState) started() bool { return s != sessionStarting && s != sessionClosedAtStartup }

// closed reports whether the session accepts no more messages.
func (s sessionState) closed() bool { return s == sessionClosed || s == sessionClosedAtStartup }

// start is the transition for an accepted startup message.
func (s *sessionState) start() {
	if *s == sessionStarting {
		*s = sessionReady
	}
}

// skip is the transition for a rejected extended query.
func (s *sessionState) skip() {
	if *s == sessionReady {
		*s = sessionSkipping
	}
}

// sync is the transition for a Sync message, which ends skipping.
func (s *sessionState) sync() {
	if *s == sessionSkipping {
		*s = sessionReady
	}
}

// end is the transition to the closed state, from any state.
func (s *sessionState) end() {
	if s.started() {
		*s = sessionClosed
	} else {
		*s = sessionClosedAtStartup
	}
}
