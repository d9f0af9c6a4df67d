package core

import "time"

// stall is a period, on the core's clock, in which the event loop was not scheduled. A late timer reveals it.
type stall struct{ from, until time.Duration }

// ReadDelay returns how long bytes that were read at readAt may have waited in the kernel's buffer, up to now: since
// the start of the last stall if they were read at most StallReadWindow after its end, otherwise 0. A client's deadline
// counts from the send of its request; without ReadDelay it would count from the time at which the process resumed.
func (c *Core) ReadDelay(readAt time.Duration) time.Duration {
	now := c.clock()
	c.detectStall(now)
	if readAt-c.stall.until > c.limits.StallReadWindow {
		return 0
	}
	return now - c.stall.from
}

// detectStall records a stall, or extends the last one, if a timer has been due for longer than StallThreshold and has
// not fired.
func (c *Core) detectStall(now time.Duration) {
	due, ok := c.Wheel.Due()
	if !ok || now-due <= c.limits.StallThreshold {
		return
	}
	if due > c.stall.until { // otherwise the last stall continues
		c.stall.from = due
	}
	c.stall.until = now
}
