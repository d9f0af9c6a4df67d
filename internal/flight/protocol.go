package flight

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"capercove/routing"
)

// Names of the call headers. A client sets the first six; a database answers with the last two, in the header
// or the trailer of a call.
const (
	KeyClass    = "capercove-class"
	KeyGroup    = "capercove-group"
	KeySession  = "capercove-session"
	KeyID       = "capercove-id"
	KeyDeadline = "capercove-deadline-ms" // how long the client waits; the call's own deadline counts too
	KeyAfter    = "capercove-after"       // position that the read must see, in Unix milliseconds
	KeyMode     = "capercove-mode"        // read-write or read-only
	KeyWALTime  = "capercove-wal-time"    // position, or a write's commit, in Unix milliseconds
)

// statement is a request of this wire: what a ticket holds, and the payload of a core.Request.
type statement struct {
	SQL     string `json:"sql"`
	Class   string `json:"class"`
	Group   string `json:"group"`
	Session string `json:"session,omitempty"`
	ID      string `json:"id"`
	After   string `json:"after,omitempty"`
	wait    string
	update  bool
	call    *call
}

// fill takes the call's headers; what they lack stays as the ticket had it.
func (s *statement) fill(md metadata.MD) {
	for key, to := range map[string]*string{KeyClass: &s.Class, KeyGroup: &s.Group, KeySession: &s.Session,
		KeyID: &s.ID, KeyAfter: &s.After, KeyDeadline: &s.wait} {
		if v := md.Get(key); len(v) > 0 {
			*to = v[0]
		}
	}
}

// headers are what a database is told.
func (s *statement) headers(wait time.Duration) metadata.MD {
	md := metadata.Pairs(KeyClass, s.Class, KeyGroup, s.Group, KeyID, s.ID,
		KeyDeadline, strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	if s.Session != "" {
		md.Set(KeySession, s.Session)
	}
	if s.After != "" {
		md.Set(KeyAfter, s.After)
	}
	return md
}

var errTransaction = status.Error(codes.Unimplemented, "transactions are not supported")

// parseQuery reads the command of a flight descriptor. ok is false if it is another command.
func parseQuery(cmd []byte) (sql string, ok bool, err error) {
	var any anypb.Any
	var q pb.CommandStatementQuery
	if proto.Unmarshal(cmd, &any) != nil || !any.MessageIs(&q) {
		return "", false, nil
	}
	if err := any.UnmarshalTo(&q); err != nil {
		return "", false, status.Error(codes.InvalidArgument, err.Error())
	}
	if len(q.GetTransactionId()) > 0 {
		return "", false, errTransaction
	}
	return q.GetQuery(), true, nil
}

// parseUpdate reads the command of an update.
func parseUpdate(cmd []byte) (sql string, err error) {
	var any anypb.Any
	var u pb.CommandStatementUpdate
	if proto.Unmarshal(cmd, &any) != nil || !any.MessageIs(&u) {
		return "", status.Error(codes.Unimplemented, "only CommandStatementUpdate may be put")
	}
	if err := any.UnmarshalTo(&u); err != nil {
		return "", status.Error(codes.InvalidArgument, err.Error())
	}
	if len(u.GetTransactionId()) > 0 {
		return "", errTransaction
	}
	return u.GetQuery(), nil
}

// parseTicket reads a ticket given out by this program. ok is false if it is for another command.
func parseTicket(t *flight.Ticket) (s statement, ok bool, err error) {
	ticket, err := flightsql.GetStatementQueryTicket(t)
	if err != nil {
		return s, false, nil
	}
	if err := json.Unmarshal(ticket.GetStatementHandle(), &s); err != nil {
		return s, false, status.Error(codes.InvalidArgument, "the ticket is not one of this server's")
	}
	return s, true, nil
}

func (s *statement) ticket() ([]byte, error) {
	handle, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return flightsql.CreateStatementQueryTicket(handle)
}

// descriptor is the command as it goes to a database.
func (s *statement) descriptor() (*flight.FlightDescriptor, error) {
	var command proto.Message = &pb.CommandStatementQuery{Query: s.SQL}
	if s.update {
		command = &pb.CommandStatementUpdate{Query: s.SQL}
	}
	var any anypb.Any
	if err := any.MarshalFrom(command); err != nil {
		return nil, err
	}
	cmd, err := proto.Marshal(&any)
	return &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: cmd}, err
}

// Final answers as gRPC statuses. A refusal alone carries RetryInfo.
var (
	errFailed   = status.Error(codes.Internal, "failed; it may have run")
	errUnusable = status.Error(codes.InvalidArgument, "the databases cannot use the statement")
	errDeadline = status.Error(codes.DeadlineExceeded, "no answer in time; it may have run")
)

// Refusal tells that trying again is harmless, after so long.
func Refusal(after time.Duration) error {
	s := status.New(codes.ResourceExhausted, "refused: nothing was run, try again")
	if detailed, err := s.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		s = detailed
	}
	return s.Err()
}

// outcome tells what a database's error means for an attempt. Only codes that gRPC itself never makes up, or
// that carry RetryInfo, prove that nothing ran.
func outcome(err error) routing.Status {
	if err == nil {
		return routing.OK
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.FailedPrecondition: // a write, and this is no primary, or too far behind
		return routing.NodeRejected
	case codes.ResourceExhausted:
		for _, d := range s.Details() {
			if _, ok := d.(*errdetails.RetryInfo); ok {
				return routing.NodeOverloaded
			}
		}
		return routing.NodeError
	case codes.DeadlineExceeded:
		return routing.TimedOut
	case codes.Unavailable, codes.Canceled:
		return routing.ConnectionBroken
	}
	return routing.NodeError
}

// evidence reads what a database tells of itself with an answer.
func evidence(mds ...metadata.MD) (e routing.Evidence) {
	for _, md := range mds {
		if v := md.Get(KeyMode); len(v) > 0 {
			switch v[0] {
			case "read-write":
				e.Role = routing.Primary
			case "read-only":
				e.Role = routing.Replica
			}
		}
		if at, err := position(md.Get(KeyWALTime)); err == nil {
			e.Position = max(e.Position, at)
		}
	}
	return e
}

func position(v []string) (time.Duration, error) {
	if len(v) == 0 || v[0] == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v[0], 10, 64)
	if err != nil || ms < 0 || ms > 1<<42 {
		return 0, errors.New("not a position")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
