package statement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// nonReserved are keywords that can name a relation: those of the appendix "SQL Key Words" of PostgreSQL's
// documentation that cannot name a function or a type, some that can, and one that older versions do not have.
var nonReserved = strings.Fields(`
between bigint bit boolean char character coalesce dec decimal exists extract float greatest grouping inout int integer
interval json json_array json_arrayagg json_exists json_object json_objectagg json_query json_scalar json_serialize
json_table json_value least merge_action national nchar none normalize nullif numeric out overlay position precision
real row setof smallint substring time timestamp treat trim values varchar xmlattributes xmlconcat xmlelement xmlexists
xmlforest xmlnamespaces xmlparse xmlpi xmlroot xmlserialize xmltable
share key no update delete insert merge by first next sets zone over filter columns escape ordinality rollup cube
materialized recursive system bernoulli varying as_ name value data type set no program stdout partition operator
system_user
`)

// Guards against an update that counts as a read, as its relation has the name of a keyword.
func TestUpdateOfRelationWithNameOfKeywordWrites(t *testing.T) {
	for _, word := range nonReserved {
		for _, shape := range []string{
			"WITH u AS (UPDATE %s SET a = 1 RETURNING a) SELECT a FROM u",
			"WITH u AS (UPDATE ONLY %s SET a = 1 RETURNING a) SELECT a FROM u",
			"WITH u AS (UPDATE %s.t SET a = 1 RETURNING a) SELECT a FROM u",
			"WITH u AS (UPDATE %s * SET a = 1 RETURNING a) SELECT a FROM u",
			"WITH u AS (SELECT 1) UPDATE %s SET a = 1",
			"WITH u AS (UPDATE\n/* x */ %s x SET a = 1 RETURNING a) SELECT a FROM u",
		} {
			for _, name := range []string{word, strings.ToUpper(word)} {
				sql := fmt.Sprintf(shape, name)
				require.True(t, New(noRules).Analyse(sql).MayWrite, sql)
			}
		}
	}
}

// Guards against a function of the users' own that counts as a built-in one, as its schema has the name of a keyword.
func TestFunctionInSchemaWithNameOfKeywordIsUnknown(t *testing.T) {
	for _, word := range nonReserved {
		sql := fmt.Sprintf("SELECT %s.lower('A')", word)
		info := New(noRules).Analyse(sql)
		require.True(t, info.MayWrite, sql)
		require.Equal(t, ByUnknown, info.Why, sql)
	}
}

// Guards against a relation that operators list as writing, and that is not found as it has the name of a keyword.
func TestListedRelationWithNameOfKeywordWrites(t *testing.T) {
	for _, word := range nonReserved {
		rules := &Rules{Relations: map[string]bool{word: true}}
		for _, shape := range []string{
			"SELECT * FROM %s", "SELECT * FROM t, %s", "SELECT * FROM t JOIN s.%s ON true", "TABLE %s",
			"SELECT * FROM ONLY (%s)", "SELECT 1 UNION TABLE %s", "SELECT * FROM t LEFT JOIN %s USING (a)",
		} {
			sql := fmt.Sprintf(shape, word)
			require.Equal(t, ByRelation, New(rules).Analyse(sql).Why, sql)
		}
	}
}
