// Package intake creates requests from the statements that frontends receive, in the same way for PostgreSQL, Arrow
// Flight SQL and replayed captures. A frontend parses its protocol. The intake checks the class, group and id of the
// statement, determines its tenant and, if configured, analyses the statement and corrects the route of its class.
package intake

import (
	"time"

	"github.com/zeebo/xxh3"

	"capercove/internal/core"
	"capercove/internal/tenant"
	"capercove/routing"
)

// Input is a statement as a frontend has parsed it.
type Input struct {
	Front       string        // name of the frontend, for the counters
	ID          string        // the client's id of the request
	Class       string        // name of the request's class
	Group       int           // number of the group of databases; valid only if HasGroup
	HasGroup    bool          // the client has named a group
	SessionKey  uint64        // hash of the session's key; 0: none
	TimeLeft    time.Duration // until the client's deadline; 0: the deadline of the class applies
	LastWrite   time.Duration // replication position of the session's last commit; 0: none
	SQL         string        // text of the statement; used only if statements are analysed
	LabelOffset int           // of the comment with the label, in bytes of SQL; 0: the label is not in SQL
	IsUpdate    bool          // the protocol marks the statement as an update
	Caller      tenant.Caller // the client; used only if ClassifiesTenants
	Statement   core.Statement
}

// Field is a part of an Input that may be invalid. Each protocol has its own name for it.
type Field uint8

// The fields of an Input that may be invalid.
const (
	FieldID Field = iota
	FieldClass
	FieldGroup
	FieldLabel // the comment that contains id, class and group
)

// Problem is the reason why an Input is rejected. The same Input is rejected again, unless the reason was a request of
// its id that has ended since and certainly never ran.
type Problem struct {
	Field Field
	Why   string
}

// Intake creates requests from statements. All of its methods must be called on the core's goroutine.
type Intake struct {
	core   *core.Core
	rules  *tenant.Rules    // nil: tenants are not classified
	client ClientKind       // used only if rules are set
	reader *statementReader // nil: requests are routed by their labels alone
}

// ClientKind is the property that identifies a client within its tenant. Its values are those of the operators' file.
type ClientKind string

// The properties that identify a client.
const (
	ByKey        ClientKind = "key" // the session's key; as ByConnection in classes without sessions
	ByAddress    ClientKind = "address"
	ByConnection ClientKind = "connection"
	ByUser       ClientKind = "user"
)

// New returns an intake for requests of a core.
func New(c *core.Core) *Intake { return &Intake{core: c} }

// Request creates the request of an Input, complete except for its client, or returns why the Input is rejected.
func (in *Intake) Request(input *Input) (*core.Request, *Problem) {
	number, class, known := in.core.Class(input.Class)
	if !known {
		return nil, &Problem{FieldClass, "unknown class"}
	}
	if problem := in.check(input); problem != nil {
		return nil, problem
	}
	request := &core.Request{
		Front:     input.Front,
		Name:      input.ID,
		Class:     number,
		Group:     input.Group,
		TimeLeft:  input.TimeLeft,
		LastWrite: input.LastWrite,
		Statement: input.Statement,
	}
	if request.TimeLeft == 0 {
		request.TimeLeft = class.Deadline
	}
	belongsToSession := class.Read == routing.Write || class.Read == routing.SessionRead
	if belongsToSession {
		request.Session = input.SessionKey
	}
	if in.reader != nil {
		if problem := in.routeByStatement(input, class, request); problem != nil {
			return nil, problem
		}
	}
	if in.rules != nil {
		input.Caller.Front = input.Front
		input.Caller.Class = input.Class
		request.Tenant = in.rules.TenantOf(&input.Caller)
		request.Caller = in.callerNumber(input, request)
	}
	if !in.core.Claim(request) {
		return nil, &Problem{FieldID, "a request of this id was sent before, and may have run"}
	}
	return request, nil
}

// check returns what is wrong with the id or the group, or nil. Two open requests with the same id are not allowed: the
// client could not distinguish their answers.
func (in *Intake) check(input *Input) *Problem {
	switch {
	case input.ID == "":
		return &Problem{FieldID, "missing"}
	case !input.HasGroup:
		return &Problem{FieldGroup, "no cluster is named"}
	case !in.core.HasGroup(input.Group):
		return &Problem{FieldGroup, "unknown cluster"}
	case in.core.IsOpen(input.ID):
		return &Problem{FieldID, "a request of this id is open"}
	}
	return nil
}

// ClassifyTenants sets the rules by which later requests are assigned to tenants, and the property that identifies
// their clients.
func (in *Intake) ClassifyTenants(rules *tenant.Rules, client ClientKind) {
	in.rules, in.client = rules, client
}

// ClassifiesTenants reports whether requests are assigned to tenants. Frontends then set Input.Caller.
func (in *Intake) ClassifiesTenants() bool { return in.rules != nil }

// callerNumber returns the number of a request's client, by the configured ClientKind. ByKey falls back to the
// connection, ByConnection to the address, and ByAddress to the connection. Keys, users and addresses are hashed:
// rarely, two clients have the same number.
func (in *Intake) callerNumber(input *Input, request *core.Request) uint64 {
	caller := &input.Caller
	switch {
	case in.client == ByKey && request.Session != 0:
		return request.Session
	case in.client == ByUser:
		return xxh3.HashString(caller.User)
	case in.client != ByAddress && caller.Connection != 0:
		return caller.Connection
	case !caller.Address.IsValid():
		return caller.Connection
	}
	address := caller.Address.As16()
	return xxh3.Hash(address[:])
}
