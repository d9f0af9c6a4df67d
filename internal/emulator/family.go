package emulator

import (
	"slices"
	"time"

	"capercove/internal/scenario"
)

// electionRetry is how long after an election without a candidate the next one is held, in seconds.
const electionRetry = 0.2

// Family is a primary and its replicas.
type Family struct {
	scenario.Family
	fleet   *Fleet
	Members []*Member
	primary *Member // nil while there is none
	term    uint64  // counts changes of the primary; events of a former term have no effect
}

// isOutside returns whether a member is outside a zone.
func (f *Family) isOutside(zone string) bool {
	return slices.ContainsFunc(f.Members, func(member *Member) bool { return member.Zone != zone })
}

// stopReplication makes all members, or all but one, keep the position that they have.
func (f *Family) stopReplication(except *Member) {
	for _, member := range f.Members {
		if member != except {
			member.position, member.detached = member.Position(), true
		}
	}
}

// deposeIfPrimary is called when a member has died, hangs or is cut off. If it is the primary, replication stops, and
// the member is deposed after a time unless it has come back by then.
func (m *Member) deposeIfPrimary() {
	if !m.IsPrimary() {
		return
	}
	family := m.Family
	family.stopReplication(m)
	family.term++
	term := family.term
	m.fleet.after(m.fleet.draw(m.fleet.Scenario.Server.GiveUp), func() {
		if family.term != term || !m.IsPrimary() {
			return
		}
		if m.isWorking() && !m.isCutOff() { // it is back in time
			family.updateReplication()
			return
		}
		m.depose()
	})
}

// depose ends the member's time as the primary, and lets a replica take over later.
func (m *Member) depose() {
	m.fleet.note("%s: given up", m.Name)
	m.position = m.Position()
	m.Family.primary = nil
	m.Family.electAfter(m.fleet.draw(m.fleet.Scenario.Server.TakeOver), m.Family.term)
}

// updateReplication makes all members replicate from the primary if they can.
func (f *Family) updateReplication() {
	for _, member := range f.Members {
		member.updateReplication()
	}
}

// isCutOff returns whether the member's zone is isolated and another member is outside it.
func (m *Member) isCutOff() bool { return m.fleet.isolated[m.Zone] && m.Family.isOutside(m.Zone) }

// electAfter elects a primary after a time, unless the term has ended. It repeats the election while there is no
// candidate.
func (f *Family) electAfter(seconds float64, term uint64) {
	f.fleet.after(seconds, func() {
		if f.term != term {
			return
		}
		elected := f.candidate()
		if elected == nil {
			f.electAfter(electionRetry, term)
			return
		}
		f.promote(elected)
	})
}

// promote makes a member the primary, from which the others replicate. Commits that they have not applied are lost.
func (f *Family) promote(elected *Member) {
	f.primary = elected
	elected.falsePrimary, elected.backlog = false, nil
	f.fleet.note("%s: leads group %d", elected.Name, f.Group)
	for _, member := range f.Members {
		if member != elected {
			member.backlog = nil
			member.updateReplication()
		}
	}
}

// candidate returns the member that has most of the log among those that can be the primary, nil if none can.
func (f *Family) candidate() (best *Member) {
	for _, member := range f.Members {
		if !member.isWorking() || member.State != Serving || member.isCutOff() {
			continue
		}
		if best == nil || member.Position() > best.Position() {
			best = member
		}
	}
	return best
}

// replicate ships a commit of the primary to the replicas.
func (f *Family) replicate(commit time.Duration) {
	for _, member := range f.Members {
		if member == f.primary || member.detached {
			continue
		}
		incarnation, term := member.incarnation, f.term
		delay := scenario.Millis(f.fleet.draw(f.fleet.Scenario.Server.ShipMS))
		f.fleet.Loop.At(commit+delay, func() {
			if member.incarnation == incarnation && f.term == term && !member.detached {
				member.backlog = append(member.backlog, commit)
				member.applyNext()
			}
		})
	}
}
