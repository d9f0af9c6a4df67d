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
	classes map[string]int
}

// NewIntake returns an intake for classes of these names.
func NewIntake(c *core.Core, b core.Backend, classes []string) *Intake {
	in := &Intake{core: c, backend: b, classes: map[string]int{}}
	for i, name := range classes {
		in.classes[name] = i
	}
	return in
}

// Request makes a request of a statement. For one that is not to be taken it returns nil, the SQLSTATE and why.
func (in *Intake) Request(front, sql string) (q *core.Request, code, why string) {
	query, err := pg.ParseQuery(sql)
	class, known := in.classes[query.Class]
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
	q = &core.Request{Front: front, Name: query.ID, Class: class, Group: query.Group, Expires: query.Wait,
		LastWrite: query.After, Payload: &query, Backend: in.backend}
	if kind := in.core.Class(class).Read; kind == choice.Write || kind == choice.SessionRead {
		q.Session = query.Key
	}
	return q, "", ""
}
