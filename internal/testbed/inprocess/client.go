package inprocess

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/testbed"
)

// Answer is what a request's client is given: how it ended ("served", "refused", or "failed" and why) and the answer.
type Answer struct {
	End   string
	Value []byte
}

// Client is the client of one request, which waits for its answer. It implements core.Client.
type Client chan Answer

// Served implements core.Client.
func (client Client) Served(answer []byte) { client <- Answer{"served", answer} }

// Rejected implements core.Client.
func (client Client) Rejected(time.Duration) { client <- Answer{End: "refused"} }

// Failed implements core.Client.
func (client Client) Failed(why core.Failure) { client <- Answer{End: fmt.Sprint("failed ", why)} }

// Answer waits for the answer.
func (client Client) Answer(t *testing.T) (answer Answer) {
	t.Helper()
	select {
	case answer = <-client:
	case <-time.After(testbed.Timeout):
		require.FailNow(t, "no answer")
	}
	return answer
}
