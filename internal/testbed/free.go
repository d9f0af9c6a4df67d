package testbed

import (
	"errors"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/addresses"
)

// Each test process has a loopback IP of its own, and uses ports below those that the kernel chooses from.
const (
	firstPort = 20000
	lastPort  = 30000
)

// lastReserved is the port that was reserved last.
var lastReserved atomic.Int32

func init() { lastReserved.Store(firstPort) }

// reservations are those of this test process: *addresses.Reservation by address.
var reservations sync.Map

// ReserveAddress returns an address on which no process listens. It is reserved until the test ends.
func ReserveAddress(t *testing.T) string {
	t.Helper()
	return reserve(t).String()
}

// Release ends the reservation of an address that Free has returned, for a test that needs to bind the address itself.
func Release(t *testing.T, addr string) {
	t.Helper()
	reservation, reserved := reservations.LoadAndDelete(addr)
	require.True(t, reserved, "%s is not reserved", addr)
	require.NoError(t, reservation.(*addresses.Reservation).Close())
}

// reserve reserves the next address of this test process until the test ends.
func reserve(t *testing.T) *addresses.Reservation {
	t.Helper()
	ip := processIP(os.Getpid())
	for {
		port := lastReserved.Add(1)
		require.Less(t, port, int32(lastPort), "free addresses")
		reservation, err := addresses.Reserve(netip.AddrPortFrom(ip, uint16(port)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		reservations.Store(reservation.String(), reservation)
		t.Cleanup(func() { _ = reservation.Close() }) // Release may have closed it
		return reservation
	}
}

// processIP returns a process's loopback IP: 127.1.0.1 to 127.120.249.250, a different one for each ID below 7,500,000.
func processIP(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + pid/62500%120), byte(pid / 250 % 250), byte(1 + pid%250)})
}
