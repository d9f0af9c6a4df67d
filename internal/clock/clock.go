// Package clock is the only place that reads the system's clocks for anything but spans of time within this process.
//
// Three kinds of time are told apart:
//   - time.Now and time.Since of the standard library, whose difference is monotonic, for spans within one process;
//   - Wall, which may be stepped at any moment, for what people read and for what other machines say;
//   - Stamp, for times that the processes of one machine tell each other. No step of the wall clock moves it.
package clock

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath holds an identifier that the kernel draws anew at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Wall returns the time of the wall clock. Spans must not be computed from it.
func Wall() time.Time { return time.Now() }

// Monotonic returns a clock that counts from the Unix epoch as the wall clock had it at this call, and that is never stepped.
func Monotonic() func() time.Duration {
	start := Wall()
	epoch := time.Duration(start.UnixNano())
	return func() time.Duration { return epoch + time.Since(start) }
}

// Stamp is a point in time that means the same to all processes of a machine. The zero value is no time.
type Stamp struct {
	// Boot names the boot of the machine that SinceBoot counts from.
	Boot string `json:"boot,omitempty"`
	// SinceBoot is the time since that boot in nanoseconds, including time in which the machine was suspended.
	SinceBoot time.Duration `json:"since_boot,omitempty"`
}

// StampSource returns the present time as a Stamp. Now is the system's; tests hand in others.
type StampSource func() (Stamp, error)

var bootID = sync.OnceValues(func() (string, error) {
	text, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", fmt.Errorf("boot id: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
})

// Now returns the present time.
func Now() (Stamp, error) {
	boot, err := bootID()
	if err != nil {
		return Stamp{}, err
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Stamp{}, fmt.Errorf("clock_gettime(CLOCK_BOOTTIME): %w", err)
	}
	return Stamp{Boot: boot, SinceBoot: time.Duration(now.Nano())}, nil
}

// Age returns how long before now the stamp was taken. It is unknown, and false is returned, where the stamp is of another
// boot, is the zero value, or lies in the future.
func (s Stamp) Age(now Stamp) (age time.Duration, known bool) {
	if s.Boot == "" || s.Boot != now.Boot || s.SinceBoot > now.SinceBoot {
		return 0, false
	}
	return now.SinceBoot - s.SinceBoot, true
}
