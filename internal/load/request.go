// Package load generates requests in an open loop: each is sent at its time, whether or not earlier ones were
// answered, and its latency counts from that time. So a pooler that stalls is charged for the wait. A Target takes
// the requests, on sockets or in the model; the rest of the package knows no wire.
package load

import (
	"time"

	"capercove/internal/emulator"
	"capercove/internal/scenario"
)

// Request is one attempt of a client.
type Request struct {
	ID       string // unique in a run
	Class    *scenario.Class
	Load     *scenario.Load
	SQL      string
	Key      string // of the row, and of the client's connection
	Write    bool   // it writes, even if its class is one of reads
	Pooler   int
	Deadline time.Duration // since the Unix epoch; the client cancels it then
}

// Response is the result of a request.
type Response struct {
	Outcome    emulator.ClientOutcome
	At         time.Duration // when its last byte came, since the Unix epoch; 0: now
	RetryAfter time.Duration // of a rejection; 0: it names none
	Value      string        // of a request that was served
}

// Target takes requests. Its methods are called on the loop.
type Target interface {
	// Send sends a request. It calls done on the loop, once, or not at all if Cancel is called first.
	Send(request *Request, done func(Response))
	// Cancel gives a request up, as a client that disconnects.
	Cancel(request *Request)
}
