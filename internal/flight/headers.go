package flight

import (
	"errors"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"

	"capercove/routing"
)

// Names of the headers that a client sets with a call.
const (
	KeyClass    = "capercove-class"       // class of the request
	KeyGroup    = "capercove-group"       // number of the group of databases
	KeySession  = "capercove-session"     // key of the session; optional
	KeyID       = "capercove-id"          // the client's name for the request
	KeyDeadline = "capercove-deadline-ms" // how long the client waits, in milliseconds; the call's deadline counts too
	KeyAfter    = "capercove-after"       // position that the read must see, in Unix milliseconds; optional
)

// Names of the headers with which a database answers, in the header or the trailer of a call.
const (
	KeyMode    = "capercove-mode"     // read-write or read-only
	KeyWALTime = "capercove-wal-time" // position, or a write's commit, in Unix milliseconds
)

// roles are the values of KeyMode.
var roles = map[string]routing.Role{
	"read-write": routing.Primary,
	"read-only":  routing.Replica,
}

// maxPosition is the greatest replication position that is accepted, in Unix milliseconds: the year 2109.
const maxPosition = 1 << 42

// errNotAPosition is returned for a text that is no replication position.
var errNotAPosition = errors.New("not a position")

// parseEvidence reads what a database reports of itself in the headers and trailers of an answer.
func parseEvidence(answers ...metadata.MD) (evidence routing.Evidence) {
	for _, headers := range answers {
		if role, ok := roles[firstValue(headers, KeyMode)]; ok {
			evidence.Role = role
		}
		if position, err := parsePosition(firstValue(headers, KeyWALTime)); err == nil {
			evidence.Position = max(evidence.Position, position)
		}
	}
	return evidence
}

// parsePosition reads a replication position in Unix milliseconds. An empty text is 0: there is none.
func parsePosition(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxPosition {
		return 0, errNotAPosition
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// firstValue returns the first value of a header, or an empty text.
func firstValue(headers metadata.MD, name string) string {
	if values := headers.Get(name); len(values) > 0 {
		return values[0]
	}
	return ""
}
