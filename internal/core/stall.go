package core

import "time"

// stall is a span in which the loop was not let run, as a timer that came late has shown.
type stall struct{ from, until time.Duration }

// Unread is how long by now what was read at a time may have waited since it lay in the kernel: since the loop stood
// still, if that ended just before, else 0. Against a deadline that begins anew when the process goes on after it was
// held up, though the client counts from when it sent its request.
func (c *Core) Unread(read time.Duration) time.Duration {
	now := c.clock()
	c.detectStall(now)
	if read-c.stall.until > c.limits.StallRead {
		return 0
	}
	return now - c.stall.from
}

// detectStall looks whether a timer that is due has yet to come.
func (c *Core) detectStall(now time.Duration) {
	due, ok := c.Wheel.Due()
	if !ok || now-due <= c.limits.StallLeast {
		return
	}
	if due > c.stall.until { // else the same one goes on
		c.stall.from = due
	}
	c.stall.until = now
}
