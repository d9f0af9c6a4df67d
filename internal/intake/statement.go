package intake

import (
	"capercove/internal/core"
	"capercove/internal/pg"
	"capercove/internal/tenant"
)

// PostgresBackend sends statements to databases over the PostgreSQL protocol.
type PostgresBackend interface {
	// Statement returns a query as a statement that this backend sends.
	Statement(query pg.Query) core.Statement
}

// Rejection is the error that a client receives for a statement that is rejected.
type Rejection struct {
	Code   string // SQLSTATE
	Reason string
}

// PostgresRequest creates a request from a statement of the PostgreSQL protocol, received on a socket or read from a
// capture. The comment at the end of the statement has the id, class, group and further fields of the Input. If the
// statement is rejected, the request is nil and the Rejection has the reason.
func (in *Intake) PostgresRequest(
	front, sql string, caller tenant.Caller, backend PostgresBackend,
) (*core.Request, Rejection) {
	query, err := pg.ParseQuery(sql)
	if err != nil {
		return nil, Rejection{pg.CodeSyntax, err.Error()}
	}
	if in.rules != nil {
		caller.Comment = query.Field
	}
	request, problem := in.Request(&Input{
		Front:       front,
		ID:          query.ID,
		Class:       query.Class,
		Group:       query.Group,
		HasGroup:    query.HasGroup,
		SessionKey:  query.Key,
		TimeLeft:    query.TimeLeft,
		LastWrite:   query.MinPosition,
		SQL:         sql,
		LabelOffset: query.LabelOffset,
		Caller:      caller,
		Statement:   backend.Statement(query),
	})
	switch {
	case problem == nil:
		return request, Rejection{}
	case problem.Field == FieldLabel:
		return nil, Rejection{pg.CodeSyntax, problem.Why}
	default:
		return nil, Rejection{pg.CodeBadValue, problem.Why}
	}
}
