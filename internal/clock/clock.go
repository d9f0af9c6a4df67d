// Package clock reads the system's clocks. Other packages read them only to measure durations within this process.
//
// The program uses three kinds of time:
//   - time.Now and time.Since of the standard library, whose difference is monotonic, for durations within one process;
//   - Wall, which may be stepped at any moment, for times shown to people and for times exchanged with other machines;
//   - Stamp, for times exchanged between processes of one machine. Steps of the wall clock do not affect it.
package clock

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is the file with an identifier that the kernel generates at each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Wall returns the time of the wall clock. It must not be used to compute durations.
func Wall() time.Time { return time.Now() }

// Monotonic returns a clock that is never stepped. The clock returns the time since the Unix epoch; it is set by the
// wall clock once, when Monotonic is called.
func Monotonic() func() time.Duration {
	start := Wall()
	epoch := time.Duration(start.UnixNano())
	return func() time.Duration { return epoch + time.Since(start) }
}

// Stamp is a point in time that all processes of a machine can compare. The zero value means that the time is unknown.
type Stamp struct {
	// Boot identifies the boot of the machine that SinceBoot counts from.
	Boot string `json:"boot,omitempty"`
	// SinceBoot is the time since that boot in nanoseconds, including time during which the machine was suspended.
	SinceBoot time.Duration `json:"since_boot,omitempty"`
}

// StampSource returns the present time as a Stamp. Now is the system's source; tests pass their own.
type StampSource func() (Stamp, error)

// bootID returns the identifier of the present boot, which it reads once.
var bootID = sync.OnceValues(func() (string, error) {
	text, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", fmt.Errorf("boot id: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
})

// Now returns the present time by CLOCK_BOOTTIME. An error means that the boot identifier or the clock cannot be read.
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

// Age returns the time from the stamp to now. The age is unknown if the stamp is of another boot, is the zero value or
// is later than now.
func (s Stamp) Age(now Stamp) (age time.Duration, known bool) {
	if s.Boot == "" || s.Boot != now.Boot || s.SinceBoot > now.SinceBoot {
		return 0, false
	}
	return now.SinceBoot - s.SinceBoot, true
}
