package pg

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FNV-1a hashes of the keys 'p' and 'x'.
const (
	hashOfP = 0xaf63ed4c8602096f
	hashOfX = 0xaf63f54c86021707
)

var labelledQueries = map[string]struct {
	sql  string
	want Query
}{
	"all fields": {
		"SELECT a FROM t WHERE k = 'x' /* id=r1,c=read,d=500,cluster=3,after=1500 */",
		Query{
			ID: "r1", Class: "read", Group: 3, HasGroup: true, TimeLeft: 500 * time.Millisecond,
			MinPosition: 1500 * time.Millisecond, Key: hashOfX,
			LabelOffset: 30,
			Comment:     " id=r1,c=read,d=500,cluster=3,after=1500 ",
			Head:        "SELECT a FROM t WHERE k = 'x' /* id=r1,c=read,d=", Tail: ",cluster=3,after=1500 */",
		},
	},
	"required fields alone": {
		"SELECT 1/*d=1,c=w,id=a*/",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, LabelOffset: 8, Comment: "d=1,c=w,id=a",
			Head: "SELECT 1/*d=", Tail: ",c=w,id=a*/",
		},
	},
	"comment alone, position of 0": {
		"/*id=a,c=w,d=1,after=0*/",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, Comment: "id=a,c=w,d=1,after=0",
			Head: "/*id=a,c=w,d=", Tail: ",after=0*/",
		},
	},
	"spaces around the fields": {
		"x /* id = a , c=w  , d=20  ,cluster=-1 */ ;\n",
		Query{
			ID: " a", Class: "w", TimeLeft: 20 * time.Millisecond, Group: -1, HasGroup: true, LabelOffset: 2,
			Comment: " id = a , c=w  , d=20  ,cluster=-1 ",
			Head:    "x /* id = a , c=w  , d=", Tail: "  ,cluster=-1 */ ;\n",
		},
	},
	"last of two comments": {
		"/* id=b,c=w,d=2 */ x /* id=a,c=w,d=1 */",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, LabelOffset: 21, Comment: " id=a,c=w,d=1 ",
			Head: "/* id=b,c=w,d=2 */ x /* id=a,c=w,d=", Tail: " */",
		},
	},
	"last of two values, unknown fields, empty fields": {
		"x /*id=b,id=a,c=w,d=1,,d=2,odd,app=shop*/",
		Query{
			ID: "a", Class: "w", TimeLeft: 2 * time.Millisecond, LabelOffset: 2,
			Comment: "id=b,id=a,c=w,d=1,,d=2,odd,app=shop",
			Head:    "x /*id=b,id=a,c=w,d=1,,d=", Tail: ",odd,app=shop*/",
		},
	},
	"longest wait and position": {
		"x /*id=a,c=w,d=2147483647,after=4398046511104*/",
		Query{
			ID: "a", Class: "w", TimeLeft: math.MaxInt32 * time.Millisecond,
			MinPosition: 4398046511104 * time.Millisecond,
			LabelOffset: 2,
			Comment:     "id=a,c=w,d=2147483647,after=4398046511104",
			Head:        "x /*id=a,c=w,d=", Tail: ",after=4398046511104*/",
		},
	},
	"first of two keys": {
		"'p' 'q' /*id=a,c=w,d=1*/",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, Key: hashOfP, LabelOffset: 8, Comment: "id=a,c=w,d=1",
			Head: "'p' 'q' /*id=a,c=w,d=", Tail: "*/",
		},
	},
	"empty key": {
		"'' 'q' /*id=a,c=w,d=1*/",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, LabelOffset: 7, Comment: "id=a,c=w,d=1",
			Head: "'' 'q' /*id=a,c=w,d=", Tail: "*/",
		},
	},
	"key that is not closed": {
		"'q /*id=a,c=w,d=1*/",
		Query{
			ID: "a", Class: "w", TimeLeft: time.Millisecond, LabelOffset: 3, Comment: "id=a,c=w,d=1",
			Head: "'q /*id=a,c=w,d=", Tail: "*/",
		},
	},
}

// ParseQuery reads the label in the comment at the end of a statement, and AppendWithWait replaces its wait.
func TestParseQueryReadsLabel(t *testing.T) {
	for name, test := range labelledQueries {
		t.Run(name, func(t *testing.T) {
			query, err := ParseQuery(test.sql)
			require.NoError(t, err)
			require.Equal(t, test.want, query)
			require.Equal(t, packet('Q', test.want.Head+"7"+test.want.Tail+"\x00"),
				string(query.AppendWithWait(nil, 7*time.Millisecond)))
		})
	}
}

// Texts that are sent to clients.
const (
	noLabel = "the statement does not end in a comment with id, c and d"
	badWait = "d is not a positive number of milliseconds"
)

// A label that is missing, incomplete or out of range returns the error for that fault, whose text clients receive.
func TestParseQueryRejectsInvalidLabel(t *testing.T) {
	cases := map[string]struct {
		sql  string
		want error
		text string
	}{
		"nothing":               {"", ErrNoLabel, noLabel},
		"no comment":            {"SELECT 1", ErrNoLabel, noLabel},
		"comment not closed":    {"x /*id=a,c=w,d=1", ErrNoLabel, noLabel},
		"comment not at end":    {"x /*id=a,c=w,d=1*/ y", ErrNoLabel, noLabel},
		"line comment":          {"x -- id=a,c=w,d=1", ErrNoLabel, noLabel},
		"no id":                 {"x /*c=w,d=1*/", ErrNoLabel, noLabel},
		"empty id":              {"x /*id=,c=w,d=1*/", ErrNoLabel, noLabel},
		"no class":              {"x /*id=a,d=1*/", ErrNoLabel, noLabel},
		"no wait":               {"x /*id=a,c=w*/", ErrNoLabel, noLabel},
		"empty comment":         {"x /**/", ErrNoLabel, noLabel},
		"delimiters share star": {"x /*/", ErrNoLabel, noLabel},
		"shared star in label":  {"x /*id=a,c=w,d=1/*/", ErrNoLabel, noLabel},
		"shared star and label": {"x /*/,id=a,c=w,d=1*/", ErrNoLabel, noLabel},
		"group is a word":       {"x /*id=a,c=w,d=1,cluster=b*/", ErrBadGroup, "cluster is not a number"},
		"group without value":   {"x /*id=a,c=w,d=1,cluster*/", ErrBadGroup, "cluster is not a number"},
		"wait of 0":             {"x /*id=a,c=w,d=0*/", ErrBadWait, badWait},
		"wait under 0":          {"x /*id=a,c=w,d=-1*/", ErrBadWait, badWait},
		"wait with a fraction":  {"x /*id=a,c=w,d=1.5*/", ErrBadWait, badWait},
		"wait of 32 bits":       {"x /*id=a,c=w,d=2147483648*/", ErrBadWait, badWait},
		"wait without value":    {"x /*id=a,c=w,d*/", ErrBadWait, badWait},
		"position is a word":    {"x /*id=a,c=w,d=1,after=b*/", ErrBadPosition, "after is not a position"},
		"position under 0":      {"x /*id=a,c=w,d=1,after=-1*/", ErrBadPosition, "after is not a position"},
		"position over 42 bits": {"x /*id=a,c=w,d=1,after=4398046511105*/", ErrBadPosition, "after is not a position"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseQuery(test.sql)
			require.ErrorIs(t, err, test.want)
			require.EqualError(t, err, test.text)
		})
	}
}

// Field returns the value of any field of the comment, even if the field is not part of the label.
func TestFieldReturnsAnyCommentField(t *testing.T) {
	query := Query{Comment: " id=a,c=w , app=shop  ,app=other,empty=,odd, k=v=w "}
	cases := map[string]string{
		"id": "a", "c": "w", "app": "shop", "empty": "", "odd": "", "k": "v=w", "missing": "", "": "",
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, want, query.Field(name))
		})
	}
}

// Only SET, RESET and DISCARD concern just the connection, in upper or lower case and with any whitespace before them.
func TestOnlySetResetDiscardConcernConnectionOnly(t *testing.T) {
	cases := map[string]struct {
		connectionOnly bool
		tag            string
	}{
		"SET x = 1":            {true, "SET"},
		" \r\n\tset x = 1":     {true, "SET"},
		"reset;":               {true, "RESET"},
		"Discard\nALL":         {true, "DISCARD"},
		"SETTLE":               {false, "SETTLE"},
		"SELECT set":           {false, "SELECT"},
		";SET x = 1":           {false, ""},
		"/* */ SET x = 1":      {false, "/*"},
		"UPDATE t SET a = 'b'": {false, "UPDATE"},
		"":                     {false, ""},
	}
	for sql, want := range cases {
		t.Run(sql, func(t *testing.T) {
			require.Equal(t, want.connectionOnly, ChangesConnectionStateOnly(sql))
			require.Equal(t, packet('C', want.tag+"\x00"), string(AppendComplete(nil, sql)))
		})
	}
}

// ParseLoadReport returns the fields of a load report whose values are numbers and omits the others.
func TestParseReportOmitsNonNumbers(t *testing.T) {
	cases := map[string]map[string]float64{
		"x0=1767225600.123,x1=1,util=0.61": {"x0": 1767225600.123, "x1": 1, "util": 0.61},
		" x0=1 , x1=2":                     {"x0": 1, "x1": 2},
		"x0=1,x0=2":                        {"x0": 2},
		"x0=,x1,x2=soon,x3=4,":             {"x3": 4},
		"x0= 1":                            {},
		"":                                 {},
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			require.Equal(t, want, ParseLoadReport(text))
		})
	}
}
