package pg

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// Query is a statement that ends in a comment with a label, such as
// "SELECT a FROM t WHERE k = 'x' /* id=1,c=read,d=500,cluster=3 */".
type Query struct {
	ID          string        // field id: the client's name for the request
	Class       string        // field c: name of the request's class
	Group       int           // field cluster: number of the group of databases
	TimeLeft    time.Duration // field d: how long the client waits for the answer
	MinPosition time.Duration // field after: position that a read must see, as time since the Unix epoch; 0: none
	Key         uint64        // session key: hash of the first quoted string in the statement; 0: none
	Head        string        // the statement before the digits of field d
	Tail        string        // the statement after the digits of field d
	HasGroup    bool          // the label has the field cluster
	LabelOffset int           // offset of the comment in the statement, in bytes
	Comment     string        // the text of the comment without its delimiters
}

const (
	commentOpen  = "/*"
	commentClose = "*/"
)

// Names of the fields of a label.
const (
	labelID       = "id"
	labelClass    = "c"
	labelGroup    = "cluster"
	labelWait     = "d"
	labelPosition = "after"
)

// waitBits is the maximum size of a client's wait in milliseconds, in bits: about 24 days.
const waitBits = 31

// maxLabelFields is how many fields a label may have, the unknown ones included. Those that are read are five.
const maxLabelFields = 256

// labelField is one field of a label.
type labelField struct {
	name, value string
	start, end  int // offsets of the value in the statement, in bytes
}

// ParseQuery parses the label of a statement. The error is one of ErrNoLabel, ErrTooManyFields, ErrBadGroup, ErrBadWait
// and ErrBadPosition.
func ParseQuery(sql string) (query Query, err error) {
	start, end, found := findLabel(sql)
	if !found {
		return query, ErrNoLabel
	}
	query.LabelOffset = start
	query.Comment = sql[start+len(commentOpen) : end]
	if strings.Count(query.Comment, ",") >= maxLabelFields {
		return query, ErrTooManyFields
	}
	for fieldStart := start + len(commentOpen); fieldStart < end; {
		fieldEnd := end
		if comma := strings.IndexByte(sql[fieldStart:end], ','); comma >= 0 {
			fieldEnd = fieldStart + comma
		}
		if err := query.setField(sql, parseField(sql, fieldStart, fieldEnd)); err != nil {
			return query, err
		}
		fieldStart = fieldEnd + len(",")
	}
	isComplete := query.ID != "" && query.TimeLeft != 0 && query.Class != ""
	if !isComplete {
		return query, ErrNoLabel
	}
	query.Key = hashKey(sql[:start])
	return query, nil
}

// findLabel returns the offsets of both delimiters of the comment at the end of a statement.
func findLabel(sql string) (start, end int, found bool) {
	start = strings.LastIndex(sql, commentOpen)
	if start < 0 {
		return 0, 0, false
	}
	size := strings.Index(sql[start:], commentClose)
	if size < len(commentOpen) { // no closing delimiter, or "/*/", whose star belongs to the opening one
		return 0, 0, false
	}
	end = start + size
	return start, end, isEmpty(sql[end+len(commentClose):])
}

// parseField returns the field between two offsets of a statement.
func parseField(sql string, start, end int) labelField {
	name, value, _ := strings.Cut(sql[start:end], "=")
	valueStart := end - len(value)
	value = strings.TrimRight(value, " ")
	return labelField{
		name:  strings.TrimSpace(name),
		value: value,
		start: valueStart,
		end:   valueStart + len(value),
	}
}

// setField sets the value of one field of a statement's label. Unknown fields are skipped.
func (q *Query) setField(sql string, field labelField) (err error) {
	switch field.name {
	case labelID:
		q.ID = field.value
	case labelClass:
		q.Class = field.value
	case labelGroup:
		if q.Group, err = strconv.Atoi(field.value); err != nil {
			return ErrBadGroup
		}
		q.HasGroup = true
	case labelWait:
		milliseconds, err := strconv.ParseUint(field.value, 10, waitBits)
		if err != nil || milliseconds == 0 {
			return ErrBadWait
		}
		q.TimeLeft = time.Duration(milliseconds) * time.Millisecond
		q.Head, q.Tail = sql[:field.start], sql[field.end:]
	case labelPosition:
		milliseconds, err := strconv.ParseInt(field.value, 10, 64)
		if err != nil || milliseconds < 0 || milliseconds > positionLimit {
			return ErrBadPosition
		}
		q.MinPosition = time.Duration(milliseconds) * time.Millisecond
	}
	return nil
}

// Field returns the value of the comment's first field with the given name, empty if there is none.
func (q *Query) Field(name string) string {
	for rest, more := q.Comment, true; more; {
		var field string
		field, rest, more = strings.Cut(rest, ",")
		if found, value, _ := strings.Cut(field, "="); strings.TrimSpace(found) == name {
			return strings.TrimRight(value, " ")
		}
	}
	return ""
}

// hashKey returns the hash of the first quoted string in a statement, 0 if there is none or it is empty.
func hashKey(sql string) uint64 {
	_, rest, opened := strings.Cut(sql, "'")
	if !opened {
		return 0
	}
	key, _, closed := strings.Cut(rest, "'")
	if !closed || key == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // a hash's Write never fails
	return max(hash.Sum64(), 1)    // 0 means no key
}

// AppendWithWait appends a Query message of the statement whose field d is replaced by the wait, at least 1 ms.
func (q *Query) AppendWithWait(dst []byte, wait time.Duration) []byte {
	milliseconds := max(1, int64(wait/time.Millisecond))
	return AppendQuery(dst, q.Head, strconv.FormatInt(milliseconds, 10), q.Tail)
}
