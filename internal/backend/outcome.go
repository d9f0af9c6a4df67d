package backend

import (
	"slices"

	"capercove/internal/pg"
	"capercove/routing"
)

// The values of the parameter "mode" in an answer.
const (
	modePrimary = "read-write"
	modeReplica = "read-only"
)

// A SQLSTATE code has five characters, of which the first two are its class.
const (
	codeLength  = 5
	classLength = 2
)

// statementErrors are the classes of SQLSTATE codes whose errors are caused by the statement, not by the database.
var statementErrors = []string{
	"08", // connection exception, such as a protocol violation
	"0A", // feature not supported
	"22", // data exception
	"42", // syntax error or access rule violation
	"54", // program limit exceeded
}

// finish reports the outcome of a job to the core, at most once for each job. The reply is nil if no complete reply has
// arrived.
func (pool *Pool) finish(job *job, status routing.Status, reply *pg.Reply) {
	job.timer.Stop()
	job.connection = nil
	if job.isHealthCheck() {
		pool.finishProbe(job, status, reply)
		return
	}
	if reply == nil {
		pool.core.Done(job.attempt, status, routing.Evidence{}, nil)
		return
	}
	if isStatementError(reply.Code) {
		pool.core.DoneUnusable(job.attempt, answerEvidence(reply))
		return
	}
	pool.core.Done(job.attempt, status, answerEvidence(reply), reply.Rows)
}

// attemptStatus returns the status of an attempt with the given reply.
func attemptStatus(reply *pg.Reply) routing.Status {
	switch reply.Code {
	case "":
		if hasValue(reply) {
			return routing.OK
		}
		return routing.NodeError
	case pg.CodeReadOnly, pg.CodeSnapshotTooOld:
		return routing.NodeRejected
	case pg.CodeTooManyConnections:
		return routing.NodeOverloaded
	}
	return routing.NodeError
}

// hasValue reports whether a reply has a value, which may be empty or already streamed to the client.
func hasValue(reply *pg.Reply) bool { return reply.Value != nil || reply.Streamed }

// probeStatus returns the status of a health check with the given reply. A database that does not accept connections
// now counts as overloaded, not as failed.
func probeStatus(reply *pg.Reply) routing.Status {
	if reply.Code == pg.CodeCannotConnectNow {
		return routing.NodeOverloaded
	}
	return attemptStatus(reply)
}

// isStatementError reports whether a SQLSTATE code reports an error that the statement caused.
func isStatementError(code string) bool {
	return len(code) == codeLength && slices.Contains(statementErrors, code[:classLength])
}

// answerEvidence returns the evidence about a database in the reply to an attempt. Role and position are taken from the
// ParameterStatus messages, which are newer than the load report in the same reply.
func answerEvidence(reply *pg.Reply) routing.Evidence {
	evidence := routing.Evidence{Position: reply.Position}
	switch reply.Mode {
	case modePrimary:
		evidence.Role = routing.Primary
	case modeReplica:
		evidence.Role = routing.Replica
	}
	if reply.Stats != "" {
		load := reportEvidence(pg.ParseLoadReport(reply.Stats))
		evidence.ReportsQueue, evidence.QueueLength = load.ReportsQueue, load.QueueLength
	}
	return evidence
}
