package backend

import (
	"time"

	"capercove/internal/core"
	"capercove/internal/pg"
	"capercove/routing"
)

// probeStatement is the statement of a health check. Its answer is the database's load report.
const probeStatement = "SHOW stats"

// The fields of a load report that are used; all others are ignored.
const (
	reportPosition = "x0"      // replication position, in seconds since the Unix epoch
	reportRole     = "x1"      // reportPrimary for a primary; any other value means a replica
	reportQueue    = "backlog" // statements that wait in the database

	reportPrimary = 1
)

// maxReportedPosition is the exclusive upper bound of valid positions, in seconds since the Unix epoch.
const maxReportedPosition = 1 << 33

const millisecondsPerSecond = 1000

// Probe implements core.HealthChecker.
func (pool *Pool) Probe(member *core.Member) {
	pool.start(&job{database: pool.databases[member.ID], startedAt: pool.core.Now()})
}

// finishProbe reports the outcome and the duration of a health check to the core. The reply is nil if no complete reply
// has arrived.
func (pool *Pool) finishProbe(job *job, status routing.Status, reply *pg.Reply) {
	var report routing.Evidence
	if reply != nil && status == routing.OK {
		report = reportEvidence(pg.ParseLoadReport(string(reply.Value)))
	}
	pool.core.Probed(job.database.member, status, pool.core.Now()-job.startedAt, report)
}

// reportEvidence returns the evidence about a database in its load report. The position is rounded down to
// milliseconds: the database must not appear to be further ahead than it is.
func reportEvidence(report map[string]float64) (evidence routing.Evidence) {
	if position, ok := report[reportPosition]; ok && position > 0 && position < maxReportedPosition {
		evidence.Position = time.Duration(position*millisecondsPerSecond) * time.Millisecond
	}
	if role, ok := report[reportRole]; ok {
		evidence.Role = routing.Replica
		if role == reportPrimary {
			evidence.Role = routing.Primary
		}
	}
	evidence.QueueLength, evidence.ReportsQueue = report[reportQueue]
	return evidence
}
