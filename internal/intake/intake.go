// Package intake makes requests of what fronts have read off their wires: one pipeline for PostgreSQL, Arrow Flight SQL
// and replayed files. A front parses; what a statement asks for, and of which class and group it is, is told here.
package intake

import (
	"time"

	"github.com/zeebo/xxh3"

	"capercove/internal/core"
	"capercove/internal/tenant"
	"capercove/routing"
)

// Input is a statement as a front has read it.
type Input struct {
	Front    string // its name, for the counters
	ID       string // the client's name for the request
	Class    string
	Group    int
	HasGroup bool
	Key      uint64        // hash of the session's key; 0: none
	Wait     time.Duration // until the client quits; 0: for as long as the class allows
	After    time.Duration // clock time of the session's last commit; 0: none
	SQL      string
	Label    int           // where its comment with the label begins; 0: the label came otherwise
	Update   bool          // the wire itself says that it writes
	Caller   tenant.Caller // who asks; looked at only if Sorts
	Payload  any           // for the backend
	Backend  core.Backend
}

// Field names the part of an Ask that is at fault; each wire has its own word for it.
type Field uint8

const (
	FieldID Field = iota
	FieldClass
	FieldGroup
	FieldLabel // the comment that holds all of them
)

// Problem tells why an Ask is not to be taken. Asking it again brings no other answer.
type Problem struct {
	Field Field
	Why   string
}

// Intake belongs to the core's goroutine.
type Intake struct {
	core   *core.Core
	rules  *tenant.Rules // nil: nobody asks whose requests are
	client ClientKind
	reader *reader // nil: labels are believed
}

// ClientKind is what tells the clients of a tenant apart.
type ClientKind string

const (
	ByKey        ClientKind = "key" // the session's; in classes that have none, where a key names no client, as ByConnection
	ByAddress    ClientKind = "address"
	ByConnection ClientKind = "connection"
	ByUser       ClientKind = "user"
)

// New returns an intake for requests of a core.
func New(c *core.Core) *Intake { return &Intake{core: c} }

// Request makes a request that awaits only its client, or tells what is wrong.
func (in *Intake) Request(a *Input) (*core.Request, *Problem) {
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
	q := &core.Request{
		Front: a.Front, Name: a.ID, Class: number, Group: a.Group, TimeLeft: a.Wait, LastWrite: a.After,
		Payload: a.Payload, Backend: a.Backend,
	}
	if q.TimeLeft == 0 {
		q.TimeLeft = class.Deadline
	}
	if class.Read == routing.Write || class.Read == routing.SessionRead {
		q.Session = a.Key
	}
	if in.reader != nil {
		if problem := in.read(a, class, q); problem != nil {
			return nil, problem
		}
	}
	if in.rules != nil {
		a.Caller.Front, a.Caller.Class = a.Front, a.Class
		q.Tenant, q.Caller = in.rules.Of(&a.Caller), in.callerOf(a, q)
	}
	return q, nil
}

// ClassifyTenants lets requests be told apart by tenants and clients, from now on by these rules.
func (in *Intake) ClassifyTenants(rules *tenant.Rules, client ClientKind) {
	in.rules, in.client = rules, client
}

// ClassifiesTenants tells whether requests are told apart: fronts then say who calls.
func (in *Intake) ClassifiesTenants() bool { return in.rules != nil }

// callerOf numbers the client of a request. It need not be told apart from others for certain.
func (in *Intake) callerOf(a *Input, q *core.Request) uint64 {
	switch {
	case in.client == ByKey && q.Session != 0:
		return q.Session
	case in.client == ByUser:
		return xxh3.HashString(a.Caller.User)
	case in.client != ByAddress && a.Caller.Connection != 0 || !a.Caller.Address.IsValid():
		return a.Caller.Connection
	}
	address := a.Caller.Address.As16()
	return xxh3.Hash(address[:])
}
