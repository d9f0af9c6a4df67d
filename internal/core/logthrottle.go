package core

import "time"

// logThrottle limits how often a line is logged. The zero value allows the first line.
type logThrottle struct {
	lastLogged time.Duration // on the core's clock; 0: never
}

// allow reports whether a line may be logged now, at most one per interval. If so, it counts the line as logged.
func (t *logThrottle) allow(now, interval time.Duration) bool {
	if t.lastLogged > 0 && now-t.lastLogged < interval {
		return false
	}
	t.lastLogged = now
	return true
}
