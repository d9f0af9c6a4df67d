package membership

import (
	"maps"
	"slices"
	"time"
)

// consecutiveProbes is how often a suspected database is probed in successive steps before a pause of RetryInterval.
// The router ejects a database after two failed probes.
const consecutiveProbes = 2

// suspicion is the state of a suspected database. It exists while isSuspected returns true for the database.
type suspicion struct {
	nextProbe time.Duration
	probes    int // requested so far
}

// databasesToProbe returns the suspected databases whose probe is due. Poolers probe in turn, which spares a failing
// database simultaneous probes by all poolers.
func (a *Advisor) databasesToProbe(now time.Duration, live []string, local []LocalObservation) (probe []string) {
	suspected := map[string]bool{}
	for _, own := range local {
		if !a.isSuspected(own) {
			continue
		}
		suspected[own.Database] = true
		current := a.suspicions[own.Database]
		if current == nil {
			current = &suspicion{nextProbe: now + a.firstProbeDelay(own.Database, live)}
			a.suspicions[own.Database] = current
			a.Counters.Suspicions++
		}
		if now < current.nextProbe || len(probe) == a.bounds.ProbesPerStep {
			continue
		}
		probe = append(probe, own.Database)
		a.Counters.Probes++
		current.probes++
		if current.probes%consecutiveProbes == 0 {
			current.nextProbe = now + a.bounds.RetryInterval
		}
	}
	maps.DeleteFunc(a.suspicions, func(database string, _ *suspicion) bool { return !suspected[database] })
	return probe
}

// isSuspected reports whether peers have published something about a database that is newer than this pooler's
// evidence: at least MinSuspecting peers that it is bad, or one peer that it is a primary. Such reports are only a
// reason to probe; the result of the probe is evidence.
func (a *Advisor) isSuspected(own LocalObservation) bool {
	bad, isPrimary := 0, false
	for _, reported := range a.observations[own.Database] {
		if reported.Pooler == a.name || reported.Since <= own.LastAnswer.Milliseconds() {
			continue
		}
		if reported.State.Bad() {
			bad++
		}
		isPrimary = isPrimary || reported.Primary && !own.Primary
	}
	return own.MayProbe && !own.State.Bad() && (bad >= a.bounds.MinSuspecting || isPrimary)
}

// firstProbeDelay returns how long this pooler waits before its first probe of a newly suspected database. Poolers that
// have published an observation of the database need not probe it and get no turn.
func (a *Advisor) firstProbeDelay(database string, live []string) time.Duration {
	var reporting []string
	for _, reported := range a.observations[database] {
		reporting = append(reporting, reported.Pooler)
	}
	waiting := slices.DeleteFunc(slices.Clone(live), func(name string) bool {
		return name != a.name && slices.Contains(reporting, name)
	})
	interval := min(a.bounds.TurnInterval, a.bounds.AllTurns/time.Duration(len(waiting)))
	return time.Duration(rendezvousRank(database, a.name, waiting)) * interval
}

// Contested reports whether any pooler observed a database as bad, as of the last step.
func (a *Advisor) Contested(database string) bool {
	return slices.ContainsFunc(a.observations[database], func(reported PeerObservation) bool {
		return reported.State.Bad()
	})
}

// Suspected returns the suspected databases, sorted.
func (a *Advisor) Suspected() []string {
	names := make([]string, 0, len(a.suspicions))
	for name := range a.suspicions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
