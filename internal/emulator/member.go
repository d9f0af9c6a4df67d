package emulator

import (
	"time"

	"capercove/internal/scenario"
)

// State is the state of a database as the endpoint list says it.
type State uint8

// The states of a database.
const (
	Serving State = iota
	Draining
	Gone
)

// Member is one database.
type Member struct {
	Name, Zone string
	Family     *Family
	State      State
	Started    time.Duration // 0: long ago

	fleet        *Fleet
	running      bool    // its process
	hung         bool    // its process runs and does nothing
	falsePrimary bool    // it claims to be the primary and is not (split brain)
	speedFactor  float64 // 1 unless a fault slows it down
	incarnation  uint64  // counts starts and ends; events of a former incarnation have no effect

	// What faults make of its connections.
	CorruptedShare  float64 // share of its answers that are corrupted
	ResetAfterBytes int     // its connections are reset after so many bytes of an answer; 0: they are not

	Connections    int // open connections
	busyCores      int
	queue          []*Job
	executing      map[*Job]struct{}
	blockers       int // jobs in execution that stop it from applying commits
	recentWork     []coldWork
	lastReport     LoadReport
	lastReportTime time.Duration // 0: none

	backlog         []time.Duration // commits to apply, oldest first
	applying        bool            // one of them
	applyTimeFactor float64         // 1 unless a fault slows it down
	position        time.Duration   // see Position
	detached        bool            // from the primary: replication has stopped
}

func newMember(family *Family, index int) *Member {
	return &Member{
		Name: scenario.DatabaseName(family.Group, index), Zone: family.Zone(index), Family: family, fleet: family.fleet,
		running: true, speedFactor: 1, applyTimeFactor: 1, executing: map[*Job]struct{}{},
	}
}

// changed announces a change of the endpoint list or of the process.
func (m *Member) changed() {
	m.fleet.Revision++
	if m.fleet.OnMemberChange != nil {
		m.fleet.OnMemberChange(m)
	}
}

// Running returns whether the process runs, hung or not.
func (m *Member) Running() bool { return m.running }

// Silent returns whether nothing from the database reaches a zone.
func (m *Member) Silent(zone string) bool { return m.hung || m.fleet.IsPartitioned(m.Zone, zone) }

// crash ends the process with all that it does.
func (m *Member) crash() {
	m.position = m.Position()
	m.running, m.hung, m.State = false, false, Gone
	m.incarnation++
	for _, job := range m.queue {
		m.finish(job)
	}
	for job := range m.executing {
		m.finish(job)
	}
	clear(m.executing)
	m.queue, m.busyCores, m.blockers, m.recentWork, m.Connections = nil, 0, 0, nil, 0
	m.backlog, m.applying = nil, false
	m.deposeIfPrimary()
	m.changed()
}

// start starts the process, cold, with the position at which it ended.
func (m *Member) start() {
	if m.running {
		return
	}
	m.running, m.State, m.Started = true, Serving, m.fleet.Loop.Now()
	m.incarnation++
	m.updateReplication()
	m.changed()
}

// drain lets the database finish what it has; a primary hands over.
func (m *Member) drain() {
	m.State = Draining
	if family := m.Family; m.IsPrimary() {
		family.stopReplication(nil)
		family.primary = nil
		family.term++
		family.electAfter(m.fleet.draw(m.fleet.Scenario.Server.HandOver), family.term)
	}
	m.changed()
}

// IsPrimary returns whether the database is its family's primary.
func (m *Member) IsPrimary() bool { return m.Family.primary == m }

// ClaimsPrimary returns whether the database says that it is its family's primary.
func (m *Member) ClaimsPrimary() bool { return m.IsPrimary() || m.falsePrimary }

// updateReplication makes a replica replicate from the primary from now on, if it can, or keep its position.
func (m *Member) updateReplication() {
	primary := m.Family.primary
	canReplicate := m.isWorking() && primary != nil && primary.isWorking() &&
		(primary == m || !m.fleet.IsPartitioned(m.Zone, primary.Zone))
	m.detached = !canReplicate
}

// isWorking returns whether the process runs and does not hang.
func (m *Member) isWorking() bool { return m.running && !m.hung }

// Position returns the time up to which all commits are applied.
func (m *Member) Position() time.Duration {
	now := m.fleet.Loop.Now()
	switch {
	case m.IsPrimary() && m.isWorking():
		return now
	case m.detached || m.IsPrimary():
		return m.position
	case len(m.backlog) > 0:
		m.position = max(m.position, m.backlog[0]-time.Millisecond)
	default:
		longestShipping := scenario.Millis(m.fleet.Scenario.Server.ShipMS.Greatest())
		m.position = max(m.position, now-longestShipping)
	}
	return m.position
}

// applyNext applies the backlog, one commit after the other, while no job blocks that.
func (m *Member) applyNext() {
	if m.applying || len(m.backlog) == 0 || m.blockers > 0 || m.detached {
		return
	}
	m.applying = true
	incarnation := m.incarnation
	seconds := m.fleet.Scenario.Server.ApplyMS / 1000 * m.applyTimeFactor / m.speed()
	m.fleet.after(seconds, func() {
		if m.incarnation != incarnation {
			return
		}
		m.applying = false
		if len(m.backlog) > 0 {
			m.position = max(m.position, m.backlog[0])
			m.backlog = m.backlog[1:]
		}
		m.applyNext()
	})
}

// warmupShare returns the share of its speed that the database has reached since its start.
func (m *Member) warmupShare() float64 {
	server := &m.fleet.Scenario.Server
	age := (m.fleet.Loop.Now() - m.Started).Seconds()
	if m.Started == 0 || age >= server.ColdTime {
		return 1
	}
	return server.ColdShare + (1-server.ColdShare)*age/server.ColdTime
}

// speed returns how fast the database works, as a share of its nominal speed.
func (m *Member) speed() float64 {
	server := &m.fleet.Scenario.Server
	queueShare := float64(len(m.queue)) / float64(max(1, server.Queue))
	return m.speedFactor * m.warmupShare() * (1 - server.Thrash*min(1, queueShare))
}
