package pg

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Reply is what a database sent up to ReadyForQuery, or up to a fatal error.
type Reply struct {
	Rows     []byte        // RowDescription, DataRow and CommandComplete messages, unchanged
	Complete bool          // CommandComplete or EmptyQueryResponse has arrived, and no error
	Value    []byte        // value of the result's only column; nil without a row or if it was streamed
	Code     string        // SQLSTATE of an error; empty if there was none
	Message  string        // message of the error
	Detail   string        // detail of the error
	Mode     string        // ParameterStatus mode: the role that the database reports
	Position time.Duration // ParameterStatus wal_time: replication position, as time since the Unix epoch; 0: none
	Stats    string        // ParameterStatus stats: a load report
	Fatal    bool          // the connection cannot be used again
	Streamed bool          // the row was returned by Piece; Rows holds only the messages after it
}

// Names of the ParameterStatus messages that databases send with their replies.
const (
	parameterMode     = "mode"
	parameterStats    = "stats"
	parameterPosition = "wal_time" // milliseconds since the Unix epoch
)

// positionLimit is the limit of replication positions, in milliseconds since the Unix epoch: the year 2109.
const positionLimit = 1 << 42

// setParameter sets the parameter in the body of a ParameterStatus. Unknown names are skipped.
func (r *Reply) setParameter(body []byte) error {
	name, rest, named := cutString(body)
	value, rest, found := cutString(rest)
	if !named || !found || len(rest) > 0 {
		return ErrMalformedMessage
	}
	switch name {
	case parameterMode:
		r.Mode = value
	case parameterStats:
		r.Stats = value
	case parameterPosition:
		if number, err := strconv.ParseFloat(value, 64); err == nil && number > 0 && number < positionLimit {
			r.Position = time.Duration(number) * time.Millisecond
		}
	}
	return nil
}

// setError sets the error in the body of an ErrorResponse, and removes the result that preceded it.
func (r *Reply) setError(body []byte) error {
	r.Complete = false
	r.Rows = nil
	r.Value = nil
	if len(body) == 0 || body[len(body)-1] != 0 {
		return ErrMalformedMessage
	}
	for body[0] != 0 {
		field := body[0]
		value, rest, found := cutString(body[1:])
		if !found || len(rest) == 0 {
			return ErrMalformedMessage
		}
		r.setErrorField(field, value)
		body = rest
	}
	if r.Code == "" || len(body) > 1 {
		return ErrMalformedMessage
	}
	return nil
}

// setErrorField sets the value of one field of an ErrorResponse. Fields of other types are skipped.
func (r *Reply) setErrorField(field byte, value string) {
	switch field {
	case fieldCode:
		r.Code = value
	case fieldMessage:
		r.Message = value
	case fieldDetail:
		r.Detail = value
	case fieldSeverity, fieldSeverityInvariant:
		r.Fatal = r.Fatal || value == SeverityFatal || value == SeverityPanic
	}
}

// describesOneColumn reports whether a body is a valid RowDescription body with one column.
func describesOneColumn(body []byte) bool {
	const (
		countBytes  = 2
		columnBytes = 18 // after the name: table, attribute, type, size, modifier, format
	)
	if len(body) < countBytes || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, found := cutString(body[countBytes:])
	return found && len(rest) == columnBytes
}

// Sizes of the parts of a DataRow with one column, in bytes.
const (
	columnCountBytes = 2
	valueLengthBytes = 4
	rowBodyBytes     = columnCountBytes + valueLengthBytes // without the value
)

// onlyColumn returns a copy of the value of a DataRow with one column, nil for any other body.
func onlyColumn(body []byte) []byte {
	if len(body) < rowBodyBytes || binary.BigEndian.Uint16(body) != 1 {
		return nil
	}
	value := body[rowBodyBytes:]
	if int64(binary.BigEndian.Uint32(body[columnCountBytes:])) != int64(len(value)) {
		return nil
	}
	return append([]byte{}, value...)
}

// isCommandTag reports whether a body is a valid CommandComplete body.
func isCommandTag(body []byte) bool {
	_, rest, found := cutString(body)
	return found && len(rest) == 0
}
