package eventloop

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// An interrupted peek is repeated until another result shows whether there is something to read.
func TestRepeatsInterruptedPeek(t *testing.T) {
	for name, test := range map[string]struct {
		errs    []error // of the peeks, in order
		isQuiet bool
	}{
		"nothing to read":         {[]error{unix.EAGAIN}, true},
		"interrupted":             {[]error{unix.EINTR, unix.EINTR, unix.EAGAIN}, true},
		"interrupted, then bytes": {[]error{unix.EINTR, nil}, false},
		"broken":                  {[]error{unix.ECONNRESET}, false},
		"bytes, or closed":        {[]error{nil}, false},
	} {
		calls := 0
		peek := func(int, []byte, int) (int, unix.Sockaddr, error) {
			calls++
			return 0, nil, test.errs[calls-1]
		}
		require.Equal(t, test.isQuiet, hasNothingToRead(0, peek), name)
		require.Equal(t, len(test.errs), calls, name)
	}
}
