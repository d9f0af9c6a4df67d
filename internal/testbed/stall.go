package testbed

import (
	"encoding/json"
	"time"
)

// AllowedStall is how long the platform allows a pooler to be held up between reading its clock and writing.
const AllowedStall = 150 * time.Millisecond

// stallLine is the program's line about a stall of its event loop, in milliseconds.
type stallLine struct {
	Message string
	Late    int64 `json:"ms"`
	CPU     int64 `json:"cpu_ms"`
}

// LongestBusyStall returns for how long the program's event loop was held up at most while the program itself was busy,
// as its log tells; 0 if it never was. The time for which the machine did not let it run is left out.
func (b *Bed) LongestBusyStall() (longest time.Duration) {
	for _, text := range b.log.lines() {
		var line stallLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == "event loop: stalled" {
			longest = max(longest, time.Duration(min(line.Late, line.CPU))*time.Millisecond)
		}
	}
	return longest
}
