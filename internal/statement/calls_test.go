package statement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// placesOfCalls are texts that only read; % is an expression that begins with a name.
var placesOfCalls = []string{
	"SELECT 1 OPERATOR(pg_catalog.+) %",
	"SELECT OPERATOR(pg_catalog.-) %",
	"SELECT substring('x' FROM %)",
	"SELECT substring('x' FROM 1 OPERATOR(pg_catalog.+) %)",
	"SELECT substring('x' FROM 1 FOR 1 OPERATOR ( + ) %)",
	"SELECT substring('x' FROM OPERATOR(pg_catalog.-) %)",
	"SELECT trim(FROM 'x' OPERATOR(pg_catalog.||) %)",
	"SELECT trim(both FROM a COLLATE b OPERATOR(s.||) %)",
	"SELECT extract(year FROM a AT TIME ZONE b OPERATOR(pg_catalog.||) %)",
	"SELECT overlay(a PLACING b FROM 1 OPERATOR(pg_catalog.+) %)",
	"SELECT position('x' IN a OPERATOR(pg_catalog.||) %)",
	"SELECT * FROM t JOIN u ON 1 OPERATOR(pg_catalog.=) %",
	"SELECT DISTINCT ON (a) % FROM t",
	"SELECT 1 FROM t UNION SELECT DISTINCT ON (a, b) % FROM t",
	"SELECT (SELECT DISTINCT ON ((a)) % FROM t)",
	"SELECT NOT %",
	"SELECT a BETWEEN % AND 2",
	"SELECT a LIKE 'x' ESCAPE %",
	"SELECT array_agg(a ORDER BY %)",
	"SELECT * FROM t GROUP BY a ORDER BY %",
	"SELECT sum(a) OVER (PARTITION BY %)",
	"SELECT sum(a) OVER (ORDER BY a ROWS % PRECEDING)",
	"SELECT sum(a) OVER (ORDER BY a IS DISTINCT FROM b RANGE % PRECEDING)",
	"SELECT sum(a) OVER w FROM t WINDOW w AS (ORDER BY a GROUPS % PRECEDING)",
	"SELECT (WITH a AS (SELECT 1) TABLE a ORDER BY %)",
	"SELECT * FROM (WITH a AS (SELECT 1) TABLE a LIMIT %) x",
	"SELECT xmlparse(DOCUMENT %)",
	"SELECT xmlserialize(CONTENT % AS text)",
	"SELECT xmlroot(a, VERSION %)",
	"SELECT xmlexists('x' PASSING %)",
	"SELECT xmlexists('x' PASSING BY REF %)",
	"SELECT xmlexists('x' PASSING BY VALUE %)",
	"SELECT * FROM xmltable('x' PASSING a COLUMNS a int PATH %)",
	"SELECT json_object('a' VALUE %)",
	"SELECT json_objectagg(a VALUE %)",
	"SELECT * FROM t JOIN u ON a = % JOIN v ON true",
}

// namesOfFunctions are names that functions of the users' own can have.
var namesOfFunctions = strings.Fields(`
nextval my_own join like ilike overlaps escape over filter columns is isnull notnull similar collation cross natural
inner full outer tablesample ordinality rollup cube materialized first next system bernoulli zone varying sets by key
value operator treat s.lower position.lower
`)

// Guards against a call that counts as an alias with columns or as syntax, and hides a write: what precedes it seems to
// end an operand, or a FROM that begins no clause seems to begin one.
func TestCallIsFoundInAnyPlace(t *testing.T) {
	for _, place := range placesOfCalls {
		require.False(t, New(&Rules{TrustUnknown: true}).Analyse(strings.Replace(place, "%", "a", 1)).MayWrite, place)
		for _, name := range namesOfFunctions {
			for depth := range 3 {
				call := strings.Repeat("(", depth) + name + "(1)" + strings.Repeat(")", depth)
				sql := strings.Replace(place, "%", call, 1)
				assert.True(t, New(noRules).Analyse(sql).MayWrite, sql)
			}
		}
	}
}

// Guards against a call that hides behind parentheses beyond those whose clauses are tracked.
func TestCallIsFoundAtAnyDepth(t *testing.T) {
	for depth := maxClauseDepth - 4; depth < maxClauseDepth+4; depth++ {
		open, closed := strings.Repeat("(SELECT ", depth), strings.Repeat(")", depth)
		for _, place := range placesOfCalls {
			sql := open + "(" + strings.Replace(place, "%", "filter(1)", 1) + ")" + closed
			assert.True(t, New(noRules).Analyse(sql).MayWrite, sql)
		}
	}
}
