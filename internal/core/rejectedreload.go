package core

import "time"

// rejectedReload tells since when a configuration has been rejected that is newer than the running one.
type rejectedReload struct {
	since time.Duration // on the core's clock; 0: the newest configuration is running
	log   logThrottle   // of failures of discovery meanwhile
}

// ReloadRejected counts a configuration that was rejected and therefore not passed to Reconfigure.
func (c *Core) ReloadRejected() {
	c.counters.ReloadErrors++
	if c.rejectedReload.since == 0 {
		c.rejectedReload.since = c.clock()
	}
}

// rejectedReloadAge returns for how long a newer configuration than the running one has been rejected, or 0 if the
// newest one is running.
func (c *Core) rejectedReloadAge() time.Duration {
	if c.rejectedReload.since == 0 {
		return 0
	}
	return c.clock() - c.rejectedReload.since
}

// warnOfRejectedReload logs that discovery failed while a newer configuration is rejected, which may name another
// address of discovery.
func (c *Core) warnOfRejectedReload() {
	if c.rejectedReload.since == 0 || !c.rejectedReload.log.allow(c.clock(), c.limits.LogInterval) {
		return
	}
	c.log.Error().Dur("rejected_for", c.rejectedReloadAge()).
		Msg("discovery: unreachable while a newer configuration is rejected")
}
