package clockoffset

import "time"

// Instant is a point in time by the own clock, by the databases', or by both; then the later one counts. It keeps
// what was reported as it was reported, so that it is right under each later estimate of the offset. The zero value
// is before all.
type Instant struct{ Own, Remote time.Duration }

// By returns the instant by the databases' clocks.
func (i Instant) By(offset time.Duration) time.Duration {
	if i.Own == 0 {
		return i.Remote
	}
	return max(i.Remote, i.Own+offset)
}

// Later returns an instant that is as late as both.
func (i Instant) Later(other Instant) Instant {
	return Instant{Own: max(i.Own, other.Own), Remote: max(i.Remote, other.Remote)}
}
