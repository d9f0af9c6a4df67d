package membership

import (
	"maps"
	"time"
)

// Reporter selects the local observations that a pooler publishes: those that differ from the default, those that did
// so until recently, and those that contradict a peer. The latter show operators when only one pooler observes a fault.
// It is not safe for concurrent use.
type Reporter struct {
	reported  map[string]report // by database
	retention time.Duration
}

// report is the last published observation of a database.
type report struct {
	observation Observation
	lastNotable time.Duration // when the observation last differed from the default or was contested
}

// NewReporter returns a reporter that still publishes an observation for the retention after it has become the default
// again. The retention must be longer than an update needs to reach all poolers: a fact that is no longer published
// stays in their views until it expires.
func NewReporter(retention time.Duration) *Reporter {
	return &Reporter{reported: map[string]report{}, retention: retention}
}

// Report returns the values to publish. Contested reports whether a peer observes a database as bad.
func (r *Reporter) Report(
	now time.Duration, observations []LocalObservation, contested func(database string) bool,
) map[Key][]byte {
	values, present := map[Key][]byte{}, map[string]bool{}
	for _, local := range observations {
		present[local.Database] = true
		previous, known := r.reported[local.Database]
		next := report{local.publishable(now, previous.observation, known), previous.lastNotable}
		switch {
		case !next.observation.isDefault() || local.State == Healthy && contested(local.Database):
			next.lastNotable = now
		case !known:
			continue // It is the default and was not published before.
		}
		if now-next.lastNotable >= r.retention {
			delete(r.reported, local.Database)
			continue
		}
		r.reported[local.Database] = next
		values[Key{KindDatabase, local.Database}] = next.observation.Append(nil)
	}
	maps.DeleteFunc(r.reported, func(database string, _ report) bool { return !present[database] })
	return values
}

// publishable returns the observation to publish: the previous one, unless the two differ in more than their times.
func (l LocalObservation) publishable(now time.Duration, previous Observation, known bool) Observation {
	observation := Observation{State: l.State, Cold: l.WarmingUp, Primary: l.Primary}
	if known && previous.equalExceptTimes(observation) {
		return previous
	}
	observation.Since = now.Milliseconds()
	if l.Primary {
		observation.Position = l.Position.Milliseconds()
	}
	return observation
}
