// Package intake makes requests of what fronts have read off their wires: one pipeline for PostgreSQL, Arrow Flight SQL
// and replayed files. A front parses; what a statement asks for, and of which class and group it is, is told here.
package intake

import (
	"time"

	"capercove/choice"
	"capercove/internal/core"
)

// Ask is a statement as a front has read it.
type Ask struct {
	Front    string // its name, for the counters
	ID       string // the client's name for the request
	Class    string
	Group    int
	HasGroup bool
	Key      uint64        // hash of the session's key; 0: none
	Wait     time.Duration // until the client quits; 0: for as long as the class allows
	After    time.Duration // clock time of the session's last commit; 0: none
	Payload  any           // for the backend
	Backend  core.Backend
}

// Field names the part of an Ask that is at fault; each wire has its own word for it.
type Field uint8

const (
	FieldID Field = iota
	FieldClass
	FieldGroup
)

// Problem tells why an Ask is not to be taken. Asking it again brings no other answer.
type Problem struct {
	Field Field
	Why   string
}

// Intake belongs to the core's goroutine.
type Intake struct{ core *core.Core }

// New returns an intake for requests of a core.
func New(c *core.Core) *Intake { return &Intake{core: c} }

// Request makes a request that awaits only its client, or tells what is wrong.
func (in *Intake) Request(a *Ask) (*core.Request, *Problem) {
	number, class, known := in.core.Class(a.Class)
	switch {
	case !known:
		return nil, &Problem{FieldClass, "unknown class"}
	case a.ID == "":
		return nil, &Problem{FieldID, "missing"}
	case !a.HasGroup:
		return nil, &Problem{FieldGroup, "no cluster is named"}
	case !in.core.HasGroup(a.Group):
		return nil, &Problem{FieldGroup, "unknown cluster"}
	case in.core.IsOpen(a.ID): // Against two answers of one name: the client could not tell them apart.
		return nil, &Problem{FieldID, "a request of this id is open"}
	}
	q := &core.Request{Front: a.Front, Name: a.ID, Class: number, Group: a.Group, Expires: a.Wait, LastWrite: a.After,
		Payload: a.Payload, Backend: a.Backend}
	if q.Expires == 0 {
		q.Expires = class.Deadline
	}
	if class.Read == choice.Write || class.Read == choice.SessionRead {
		q.Session = a.Key
	}
	return q, nil
}
