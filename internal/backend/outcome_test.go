package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/routing"
)

// A reply determines the status of an attempt or a health check. The two differ only for a database that does not
// accept connections now.
func TestReplyDeterminesStatus(t *testing.T) {
	for name, test := range map[string]struct {
		reply          pg.Reply
		attempt, probe routing.Status
	}{
		"a value":         {pg.Reply{Value: []byte("v")}, routing.OK, routing.OK},
		"an empty value":  {pg.Reply{Value: []byte{}}, routing.OK, routing.OK},
		"a long value":    {pg.Reply{Streamed: true}, routing.OK, routing.OK},
		"no value":        {pg.Reply{Complete: true}, routing.NodeError, routing.NodeError},
		"read only":       {pg.Reply{Code: pg.CodeReadOnly}, routing.NodeRejected, routing.NodeRejected},
		"too far behind":  {pg.Reply{Code: pg.CodeSnapshotTooOld}, routing.NodeRejected, routing.NodeRejected},
		"full":            {pg.Reply{Code: pg.CodeTooManyConnections}, routing.NodeOverloaded, routing.NodeOverloaded},
		"starting":        {pg.Reply{Code: pg.CodeCannotConnectNow}, routing.NodeError, routing.NodeOverloaded},
		"any other error": {pg.Reply{Code: "XX000"}, routing.NodeError, routing.NodeError},
		"value and error": {pg.Reply{Value: []byte("v"), Code: "XX000"}, routing.NodeError, routing.NodeError},
	} {
		require.Equal(t, test.attempt, attemptStatus(&test.reply), name)
		require.Equal(t, test.probe, probeStatus(&test.reply), name)
	}
}

// Only complete SQLSTATE codes of the listed classes report errors of the statement.
func TestOnlyListedClassesAreStatementErrors(t *testing.T) {
	for code, expected := range map[string]bool{
		"08P01": true, "0A000": true, "22012": true, "42601": true, "54001": true,
		"": false, "42": false, "426011": false, "XX000": false, "57014": false, "40001": false,
		pg.CodeReadOnly: false, pg.CodeTooManyConnections: false, pg.CodeSnapshotTooOld: false,
		pg.CodeCannotConnectNow: false,
	} {
		require.Equal(t, expected, isStatementError(code), code)
	}
}

// A load report provides position, role and queue length. Missing and invalid fields are ignored.
func TestReportEvidenceIgnoresInvalidFields(t *testing.T) {
	for report, expected := range map[string]routing.Evidence{
		"":              {},
		"utilization=1": {},
		"x0=1767225600.1239": {
			Position: 1767225600123 * time.Millisecond, // rounded down
		},
		"x0=0":          {},
		"x0=-1":         {},
		"x0=8589934592": {}, // beyond the bound
		"x1=1":          {Role: routing.Primary},
		"x1=0":          {Role: routing.Replica},
		"x1=2":          {Role: routing.Replica},
		"backlog=0":     {ReportsQueue: true},
		"backlog=2.5":   {ReportsQueue: true, QueueLength: 2.5},
		"x0=1,x1=1,backlog=3,util=0.6": {
			Position: time.Second, Role: routing.Primary, ReportsQueue: true, QueueLength: 3,
		},
	} {
		require.Equal(t, expected, reportEvidence(pg.ParseLoadReport(report)), report)
	}
}

// Role and position are taken from the parameters of an answer, even if its load report differs. The load report
// provides only the queue length.
func TestAnswerEvidencePrefersParametersToReport(t *testing.T) {
	for name, test := range map[string]struct {
		reply    pg.Reply
		evidence routing.Evidence
	}{
		"nothing":  {pg.Reply{}, routing.Evidence{}},
		"primary":  {pg.Reply{Mode: "read-write"}, routing.Evidence{Role: routing.Primary}},
		"replica":  {pg.Reply{Mode: "read-only"}, routing.Evidence{Role: routing.Replica}},
		"position": {pg.Reply{Position: time.Hour}, routing.Evidence{Position: time.Hour}},
		"a report's position and role are older": {
			pg.Reply{Mode: "read-only", Position: time.Hour, Stats: "x0=1,x1=1,backlog=3"},
			routing.Evidence{Role: routing.Replica, Position: time.Hour, ReportsQueue: true, QueueLength: 3},
		},
		"a report alone": {
			pg.Reply{Stats: "x0=1,x1=1,backlog=3"},
			routing.Evidence{ReportsQueue: true, QueueLength: 3},
		},
	} {
		require.Equal(t, test.evidence, answerEvidence(&test.reply), name)
	}
}
