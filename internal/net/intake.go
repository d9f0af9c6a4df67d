package net

import (
	"capercove/choice"
	"capercove/internal/core"
	"capercove/internal/pg"
)

// Intake makes requests of statements, whatever brings them.
type Intake struct {
	core    *core.Core
	backend core.Backend
}

func NewIntake(c *core.Core, b core.Backend) *Intake { return &Intake{core: c, backend: b} }

// Request makes a request of a statement. For one that is not to be taken it returns nil, the SQLSTATE and why.
func (in *Intake) Request(front, sql string) (q *core.Request, code, why string) {
	query, err := pg.ParseQuery(sql)
	number, class, known := in.core.Class(query.Class)
	switch {
	case err != nil:
		return nil, pg.CodeSyntax, err.Error()
	case !known:
		return nil, pg.CodeBadValue, "unknown class"
	case !query.HasGroup:
		return nil, pg.CodeBadValue, "no cluster is named"
	case !in.core.HasGroup(query.Group):
		return nil, pg.CodeBadValue, "unknown cluster"
	case in.core.IsOpen(query.ID):
		return nil, pg.CodeBadValue, "a request of this id is open"
	}
	q = &core.Request{Front: front, Name: query.ID, Class: number, Group: query.Group, Expires: query.Wait,
		LastWrite: query.After, Payload: &query, Backend: in.backend}
	if class.Read == choice.Write || class.Read == choice.SessionRead {
		q.Session = query.Key
	}
	return q, "", ""
}
