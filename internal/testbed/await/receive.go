// Package await has waits with an end, for tests of things that happen on other goroutines. It imports no other package
// of the module, so that tests inside any package can use it.
package await

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limit bounds each wait.
const Limit = 10 * time.Second

// Receive returns the next value of a channel, or the zero value if the channel is closed. The test fails if neither
// happens in time.
func Receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(Limit):
		require.Fail(t, "nothing was received in time")
	}
	return value
}
