package flight

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"capercove/internal/core"
)

// statement is a statement with the headers of its call, as texts that are not checked yet; see input. Its JSON is what
// a ticket holds. It implements core.Statement.
type statement struct {
	SQL     string `json:"sql"`
	Class   string `json:"class"`             // header KeyClass
	Group   string `json:"group"`             // header KeyGroup
	Session string `json:"session,omitempty"` // header KeySession
	ID      string `json:"id"`                // header KeyID
	After   string `json:"after,omitempty"`   // header KeyAfter

	deadline string   // header KeyDeadline, which a ticket does not hold
	isUpdate bool     // it is a CommandStatementUpdate, else a CommandStatementQuery
	call     *call    // that runs it
	backend  *Backend // that carries it
}

// Send implements core.Statement.
func (statement *statement) Send(attempt *core.Attempt) core.Transmission {
	return statement.backend.send(statement, attempt)
}

// applyHeaders takes the headers of a call. What they lack stays as it is in the ticket.
func (statement *statement) applyHeaders(headers metadata.MD) {
	replaceByHeader(&statement.Class, headers, KeyClass)
	replaceByHeader(&statement.Group, headers, KeyGroup)
	replaceByHeader(&statement.Session, headers, KeySession)
	replaceByHeader(&statement.ID, headers, KeyID)
	replaceByHeader(&statement.After, headers, KeyAfter)
	replaceByHeader(&statement.deadline, headers, KeyDeadline)
}

// replaceByHeader replaces a field by the first value of a header, if the headers have it.
func replaceByHeader(field *string, headers metadata.MD, name string) {
	if values := headers.Get(name); len(values) > 0 {
		*field = values[0]
	}
}

// headers returns the headers of a call to a database, which has so much time left.
func (statement *statement) headers(timeLeft time.Duration) metadata.MD {
	headers := metadata.Pairs(
		KeyClass, statement.Class,
		KeyGroup, statement.Group,
		KeyID, statement.ID,
		KeyDeadline, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10),
	)
	if statement.Session != "" {
		headers.Set(KeySession, statement.Session)
	}
	if statement.After != "" {
		headers.Set(KeyAfter, statement.After)
	}
	return headers
}

// ticket returns the ticket for the statement.
func (statement *statement) ticket() ([]byte, error) {
	handle, err := json.Marshal(statement)
	if err != nil {
		return nil, err
	}
	return flightsql.CreateStatementQueryTicket(handle)
}

// descriptor returns the flight descriptor with the statement's command, as it goes to a database.
func (statement *statement) descriptor() (*flight.FlightDescriptor, error) {
	var command proto.Message = &pb.CommandStatementQuery{Query: statement.SQL}
	if statement.isUpdate {
		command = &pb.CommandStatementUpdate{Query: statement.SQL}
	}
	var packed anypb.Any
	if err := packed.MarshalFrom(command); err != nil {
		return nil, err
	}
	text, err := proto.Marshal(&packed)
	if err != nil {
		return nil, err
	}
	return &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: text}, nil
}

// parseQuery reads the command of a flight descriptor. It returns false if that is another command. Its errors are
// gRPC statuses.
func parseQuery(command []byte) (sql string, ok bool, err error) {
	var packed anypb.Any
	var query pb.CommandStatementQuery
	if proto.Unmarshal(command, &packed) != nil || !packed.MessageIs(&query) {
		return "", false, nil
	}
	if err := packed.UnmarshalTo(&query); err != nil {
		return "", false, status.Error(codes.InvalidArgument, err.Error())
	}
	if len(query.GetTransactionId()) > 0 {
		return "", false, errTransaction
	}
	return query.GetQuery(), true, nil
}

// parseUpdate reads the command of an update. Its errors are gRPC statuses.
func parseUpdate(command []byte) (sql string, err error) {
	var packed anypb.Any
	var update pb.CommandStatementUpdate
	if proto.Unmarshal(command, &packed) != nil || !packed.MessageIs(&update) {
		return "", errNotAnUpdate
	}
	if err := packed.UnmarshalTo(&update); err != nil {
		return "", status.Error(codes.InvalidArgument, err.Error())
	}
	if len(update.GetTransactionId()) > 0 {
		return "", errTransaction
	}
	return update.GetQuery(), nil
}

// parseTicket reads a ticket that this program has given out. It returns false if the ticket is for another command.
// Its errors are gRPC statuses.
func parseTicket(ticket *flight.Ticket) (parsed statement, ok bool, err error) {
	command, err := flightsql.GetStatementQueryTicket(ticket)
	if err != nil {
		return parsed, false, nil // it is for another command
	}
	if err := json.Unmarshal(command.GetStatementHandle(), &parsed); err != nil {
		return parsed, false, errForeignTicket
	}
	return parsed, true, nil
}
