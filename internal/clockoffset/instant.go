package clockoffset

import "time"

// Instant is a point in time on the own clock, on the databases' clocks (Remote), or on both: then it is the later one.
// Times are stored as reported and converted only when they are compared: an Instant remains correct when the estimate
// of the offset changes. The zero value is before all others.
type Instant struct{ Own, Remote time.Duration }

// OnDatabaseClock returns the instant as a time on the databases' clocks, which are ahead of the own clock by offset.
func (i Instant) OnDatabaseClock(offset time.Duration) time.Duration {
	if i.Own == 0 {
		return i.Remote
	}
	return max(i.Remote, i.Own+offset)
}

// Later returns an instant that is no earlier than either of the two, under any offset.
func (i Instant) Later(other Instant) Instant {
	return Instant{Own: max(i.Own, other.Own), Remote: max(i.Remote, other.Remote)}
}
