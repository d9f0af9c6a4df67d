package emulator

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"capercove/internal/scenario"
)

// hungRetry is the interval, in seconds, at which a job that has ended on a hung database tries to answer.
const hungRetry = 0.05

// Job is a request at a database.
type Job struct {
	RequestID string
	Pooler    string // its name
	Class     *scenario.Class
	Write     bool
	// Done is called once, on the loop; never if the database dies or hangs first, or the job is canceled.
	Done func(Answer)

	stage stage
}

// stage is how far a job has come.
type stage uint8

const (
	queued    stage = iota
	executing       // on a core
	finished        // answered, canceled, or lost with the process
)

// IsWrite returns whether a statement writes, whatever its label says.
func IsWrite(class *scenario.Class, sql string) bool {
	return class.Kind == scenario.Write || strings.Contains(sql, "nextval(")
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes of a job.
const (
	Succeeded  Outcome = iota // it was served
	NotPrimary                // a write was rejected by a database that is no primary
	Overloaded                // it was rejected by an overloaded database
	RolledBack                // a write was rolled back, since the database was deposed while it ran
)

// Answer is a database's answer to a job.
type Answer struct {
	Outcome  Outcome
	Primary  bool          // the database says that it is the primary
	Position time.Duration // see Member.Position; of a write, its commit
	Value    string
}

// LoadReport is what a database reports of itself when it is probed.
type LoadReport struct {
	Position    time.Duration // see Member.Position
	Primary     bool          // it says that it is the primary
	Utilization float64       // share of its cores in use
}

// coldWork is work that was sent to a cold database.
type coldWork struct {
	arrived time.Duration
	seconds float64 // of a core
}

// Submit takes in a request whose last byte has arrived.
func (m *Member) Submit(job *Job) {
	now := m.fleet.Loop.Now()
	m.fleet.Ledger.attemptArrived(now, m, job)
	if !m.running {
		return
	}
	if !m.hung { // a hung one takes it in and does nothing
		if outcome, rejects := m.rejects(job); rejects {
			m.answer(job, Answer{Outcome: outcome})
			return
		}
	}
	if m.warmupShare() < 1 {
		m.checkColdLoad(now, m.workSeconds(job))
	}
	m.queue = append(m.queue, job)
	m.serveQueue()
}

// rejects returns whether a job is rejected on arrival, and how.
func (m *Member) rejects(job *Job) (outcome Outcome, rejects bool) {
	switch {
	case job.Write && !m.ClaimsPrimary():
		return NotPrimary, true
	case len(m.queue) >= m.fleet.Scenario.Server.Queue:
		return Overloaded, true
	case m.State == Draining && len(m.queue) > 0 && !job.Write:
		return Overloaded, true
	}
	return Succeeded, false
}

// workSeconds returns the work of a job in seconds of a core: the same on each database and in each run.
func (m *Member) workSeconds(job *Job) float64 {
	share := float64(xxh3.HashString(job.RequestID)>>11) / (1 << 53) // the hash's high 53 bits, as a number below 1
	return job.Class.WorkMS.Interpolate(share) / 1000
}

// checkColdLoad records work that is sent to a cold database, which crashes if that is too much.
func (m *Member) checkColdLoad(now time.Duration, seconds float64) {
	server := &m.fleet.Scenario.Server
	m.recentWork = append(m.recentWork, coldWork{now, seconds})
	for len(m.recentWork) > 0 && now-m.recentWork[0].arrived > scenario.Seconds(server.FallTime) {
		m.recentWork = m.recentWork[1:]
	}
	recentSeconds := 0.0
	for _, recent := range m.recentWork {
		recentSeconds += recent.seconds
	}
	capacity := m.warmupShare() * float64(server.Cores) * server.FallTime
	if recentSeconds > server.FallOver*capacity {
		m.fleet.note("%s: pushed over", m.Name)
		m.fleet.Ledger.recordViolation(now, ColdOverload, "", m.Name)
		m.crash()
	}
}

// Cancel cancels a job: it leaves the queue, or is executed to its end without an answer.
func (m *Member) Cancel(job *Job) {
	wasQueued := job.stage == queued
	m.finish(job)
	if !wasQueued {
		return
	}
	if i := slices.Index(m.queue, job); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// finish marks a job as finished, unless it is finished.
func (m *Member) finish(job *Job) {
	if job.stage == finished {
		return
	}
	job.stage = finished
	m.fleet.Ledger.attemptEnded(job.RequestID)
}

// serveQueue executes jobs while cores are free.
func (m *Member) serveQueue() {
	for !m.hung && m.running && m.busyCores < m.fleet.Scenario.Server.Cores && len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.execute(next)
	}
}

// execute runs a job on a core.
func (m *Member) execute(job *Job) {
	job.stage = executing
	m.busyCores++
	m.executing[job] = struct{}{}
	current := &execution{member: m, job: job, incarnation: m.incarnation, blocks: job.Class.Blocks && !m.IsPrimary()}
	if current.blocks {
		m.blockers++
	}
	m.fleet.after(m.workSeconds(job)/m.speed(), current.end)
}

// execution is a job that runs on a core.
type execution struct {
	member      *Member
	job         *Job
	incarnation uint64
	blocks      bool // the database applies no commits meanwhile
}

// end ends the execution and answers the job.
func (e *execution) end() {
	member, job := e.member, e.job
	if member.incarnation != e.incarnation {
		return
	}
	if member.hung {
		member.fleet.after(hungRetry, e.end)
		return
	}
	member.busyCores--
	delete(member.executing, job)
	if e.blocks {
		member.blockers--
		member.applyNext()
	}
	now := member.fleet.Loop.Now()
	if job.Write && !member.ClaimsPrimary() { // it was deposed meanwhile
		member.answer(job, Answer{Outcome: RolledBack})
	} else {
		member.fleet.Ledger.attemptExecuted(now, member, job)
		if job.Write && member.IsPrimary() {
			member.Family.replicate(now)
		}
		member.answer(job, Answer{Outcome: Succeeded, Value: job.RequestID + " from " + member.Name})
	}
	member.serveQueue()
}

// answer finishes a job with an answer, unless it is finished.
func (m *Member) answer(job *Job, answer Answer) {
	if job.stage == finished {
		return
	}
	m.finish(job)
	answer.Primary, answer.Position = m.ClaimsPrimary(), m.Position()
	if m.falsePrimary {
		answer.Position = m.fleet.Loop.Now()
	}
	job.Done(answer)
}

// Connect takes in a new connection, which costs work. It returns false, and does nothing, if there are too many.
func (m *Member) Connect() bool {
	if m.Connections >= m.fleet.Scenario.Server.Connections {
		return false
	}
	m.Connections++
	m.occupyCore(m.fleet.Scenario.Server.HandshakeMS)
	return true
}

// Probe returns the database's report, which is not renewed each time, and costs work.
func (m *Member) Probe() LoadReport {
	now := m.fleet.Loop.Now()
	server := &m.fleet.Scenario.Server
	m.occupyCore(server.ProbeMS)
	if m.lastReportTime == 0 || now-m.lastReportTime > scenario.Millis(server.ReportMS) {
		m.lastReportTime = now
		m.lastReport = LoadReport{m.Position(), m.ClaimsPrimary(), float64(m.busyCores) / float64(server.Cores)}
	}
	return m.lastReport
}

// occupyCore occupies a core for some work, if one is free.
func (m *Member) occupyCore(milliseconds float64) {
	if m.busyCores >= m.fleet.Scenario.Server.Cores || milliseconds <= 0 {
		return
	}
	m.busyCores++
	incarnation := m.incarnation
	m.fleet.after(milliseconds/1000/m.speed(), func() {
		if m.incarnation == incarnation {
			m.busyCores--
			m.serveQueue()
		}
	})
}
