package oracle

import (
	"strings"
	"testing"

	pgquery "github.com/wasilibs/go-pgquery"

	"capercove/internal/statement"
)

// keywords returns all keywords of PostgreSQL's parser, in lower case, and some words that are none.
func keywords(t *testing.T) []string {
	scan, err := pgquery.Scan("select")
	if err != nil {
		t.Fatal(err)
	}
	words := []string{"my_own", "state", `"quoted"`}
	values := scan.GetTokens()[0].GetToken().Descriptor().Values()
	for i := range values.Len() {
		name := strings.TrimSuffix(string(values.Get(i).Name()), "_P")
		words = append(words, strings.ToLower(name))
	}
	return words
}

// writesTo are statements that write to a relation; % is its name, or a part of it.
var writesTo = []string{
	"WITH u AS (UPDATE % SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE ONLY % SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE ONLY (%) SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE % * SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE % x SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE %.state SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (UPDATE s.% SET val = 1 RETURNING val) SELECT val FROM u",
	"WITH u AS (DELETE FROM % RETURNING val) SELECT val FROM u",
	"WITH u AS (INSERT INTO % VALUES (1) RETURNING val) SELECT val FROM u",
	"WITH u AS (MERGE INTO % USING b ON true WHEN MATCHED THEN DELETE RETURNING val) SELECT val FROM u",
	"WITH u AS (SELECT 1) UPDATE % SET val = 1",
	"WITH %(a) AS (SELECT 1) UPDATE t SET val = 1",
	"WITH u AS (SELECT 1 AS %) UPDATE t SET val = 1",
	"SELECT * INTO % FROM t",
	"SELECT 1 FROM % FOR UPDATE",
	"SELECT 1 FROM % FOR NO KEY UPDATE",
	"SELECT 1 AS % FROM t FOR KEY SHARE",
	"EXPLAIN (%) DELETE FROM t",
	`EXPLAIN ("%") DELETE FROM t`,
	"EXPLAIN (ANALYZE, %) DELETE FROM t",
	"EXPLAIN (COSTS, \"analyze\", %) DELETE FROM t",
	"EXPLAIN (FORMAT %, \"analyze\") DELETE FROM t",
	"EXPLAIN ANALYZE VERBOSE UPDATE % SET val = 1",
	"COPY % TO '/x'",
	"COPY % TO PROGRAM 'x'",
	"COPY % FROM STDIN",
	"COPY (SELECT % FROM t) TO '/x'",
	"COPY (SELECT 1 AS %) TO '/x'",
	"COPY t (%) TO '/x'",
	"SELECT %; DELETE FROM t",
}

// contexts are statements that only read; % is an expression.
var contexts = []string{
	"SELECT %", "SELECT 1, % AS x", "SELECT 1 + %", "SELECT - %", "SELECT NOT %", "SELECT ALL %", "SELECT DISTINCT %",
	"SELECT DISTINCT ON (a) % FROM t", "SELECT DISTINCT ON (%) a FROM t", "VALUES (%)", "VALUES (1), (%)",
	"SELECT 1 OPERATOR(pg_catalog.+) %", "SELECT OPERATOR(pg_catalog.-) %", "SELECT 1 OPERATOR (+) %",
	"SELECT * FROM t JOIN u ON 1 OPERATOR(pg_catalog.=) %", "SELECT * FROM t WHERE a OPERATOR(pg_catalog.=) %",
	"SELECT substring('x' FROM %)", "SELECT substring('x' FROM 1 FOR %)", "SELECT substring('x' FOR %)",
	"SELECT substring(% FROM 1)", "SELECT substring('x' FROM 1 OPERATOR(pg_catalog.+) %)",
	"SELECT substring('x' FROM 1 FOR 1 OPERATOR(pg_catalog.+) %)", "SELECT substring('x' SIMILAR % ESCAPE 'y')",
	"SELECT substring('x' SIMILAR 'y' ESCAPE %)", "SELECT substring('x' FROM 1 + %)", "SELECT substring('x' FROM - %)",
	"SELECT substring('x' FROM OPERATOR(pg_catalog.-) %)", "SELECT substring('x', %)",
	"SELECT trim(% FROM 'x')", "SELECT trim(both FROM %)", "SELECT trim(leading 'x' FROM %)",
	"SELECT trim(FROM 'x' OPERATOR(pg_catalog.||) %)", "SELECT trim(trailing FROM a COLLATE b OPERATOR(pg_catalog.||) %)",
	"SELECT extract(year FROM %)", "SELECT extract(year FROM a OPERATOR(pg_catalog.+) %)",
	"SELECT extract(year FROM a AT TIME ZONE %)", "SELECT extract(year FROM a AT TIME ZONE b OPERATOR(pg_catalog.||) %)",
	"SELECT overlay(a PLACING % FROM 1)", "SELECT overlay(a PLACING b FROM %)", "SELECT overlay(a PLACING b FROM 1 FOR %)",
	"SELECT overlay(a PLACING b FROM 1 OPERATOR(pg_catalog.+) %)", "SELECT position(% IN 'x')",
	"SELECT position('x' IN %)", "SELECT position('x' IN a OPERATOR(pg_catalog.||) %)", "SELECT normalize(%, NFC)",
	"SELECT treat(% AS t)", "SELECT collation FOR (%)", "SELECT CAST(% AS int)", "SELECT (%)::int", "SELECT a::int + %",
	"SELECT a IS DISTINCT FROM %", "SELECT a IS NOT DISTINCT FROM %", "SELECT a BETWEEN % AND 2",
	"SELECT a BETWEEN 1 AND %",
	"SELECT a BETWEEN SYMMETRIC % AND 2", "SELECT a NOT BETWEEN ASYMMETRIC % AND 2", "SELECT a IN (%)", "SELECT % IN (1)",
	"SELECT a LIKE %", "SELECT a LIKE 'x' ESCAPE %", "SELECT a NOT ILIKE %", "SELECT a SIMILAR TO %",
	"SELECT a SIMILAR TO 'x' ESCAPE %", "SELECT (a, b) OVERLAPS (c, %)", "SELECT a = ANY (%)", "SELECT a < ALL (ARRAY[%])",
	"SELECT a LIKE ANY (%)", "SELECT a AT TIME ZONE %", "SELECT % AT TIME ZONE 'x'", "SELECT % COLLATE \"C\"",
	"SELECT a COLLATE \"C\" < %", "SELECT % IS NULL", "SELECT % ISNULL", "SELECT % IS JSON", "SELECT % IS DOCUMENT",
	"SELECT CASE % WHEN 1 THEN 2 END", "SELECT CASE WHEN % THEN 2 END", "SELECT CASE WHEN a THEN % ELSE 1 END",
	"SELECT CASE WHEN a THEN 1 ELSE % END", "SELECT ARRAY[1, %]", "SELECT ARRAY(SELECT %)", "SELECT ROW(1, %)",
	"SELECT (1, %)", "SELECT a[%]", "SELECT a[1:%]", "SELECT (a).b[% : 2]", "SELECT coalesce(1, %)", "SELECT greatest(%)",
	"SELECT nullif(%, 1)", "SELECT lower(a => %)", "SELECT lower(a := %)", "SELECT concat(VARIADIC %)",
	"SELECT count(DISTINCT %)", "SELECT count(ALL %)", "SELECT array_agg(a ORDER BY %)",
	"SELECT array_agg(a ORDER BY b, %)",
	"SELECT array_agg(a ORDER BY b USING <, %)", "SELECT count(*) FILTER (WHERE %)",
	"SELECT percentile_cont(%) WITHIN GROUP (ORDER BY a)", "SELECT percentile_cont(1) WITHIN GROUP (ORDER BY %)",
	"SELECT sum(%) OVER w FROM t WINDOW w AS (ORDER BY a)", "SELECT sum(a) OVER (PARTITION BY %)",
	"SELECT sum(a) OVER (PARTITION BY b, % ORDER BY c)", "SELECT sum(a) OVER (ORDER BY %)",
	"SELECT sum(a) OVER (ORDER BY a ROWS % PRECEDING)", "SELECT sum(a) OVER (ORDER BY a RANGE % PRECEDING)",
	"SELECT sum(a) OVER (ORDER BY a GROUPS % PRECEDING)",
	"SELECT sum(a) OVER (ORDER BY a ROWS BETWEEN % PRECEDING AND 1 FOLLOWING)",
	"SELECT sum(a) OVER (ORDER BY a ROWS BETWEEN 1 PRECEDING AND % FOLLOWING EXCLUDE TIES)",
	"SELECT sum(a) OVER (ORDER BY a IS DISTINCT FROM b ROWS % PRECEDING)",
	"SELECT sum(a) OVER w FROM t WINDOW w AS (ORDER BY a ROWS % PRECEDING)",
	"SELECT sum(a) OVER (w ROWS % PRECEDING) FROM t",
	"SELECT EXISTS (SELECT %)", "SELECT (SELECT %)", "SELECT (SELECT a FROM t WHERE %)", "SELECT * FROM t WHERE %",
	"SELECT * FROM t WHERE a = 1 AND %", "SELECT * FROM t, u WHERE %", "SELECT * FROM t GROUP BY %",
	"SELECT * FROM t GROUP BY a, %", "SELECT * FROM t GROUP BY ROLLUP (%)", "SELECT * FROM t GROUP BY GROUPING SETS ((%))",
	"SELECT * FROM t GROUP BY DISTINCT %", "SELECT * FROM t GROUP BY a HAVING %", "SELECT * FROM t ORDER BY %",
	"SELECT * FROM t ORDER BY a, %", "SELECT * FROM t ORDER BY a DESC NULLS LAST, %",
	"SELECT * FROM t ORDER BY a USING >, %",
	"SELECT * FROM t LIMIT %", "SELECT * FROM t LIMIT 1 OFFSET %", "SELECT * FROM t OFFSET % ROWS",
	"SELECT * FROM t FETCH FIRST (%) ROWS ONLY", "SELECT * FROM t FETCH NEXT % ROWS ONLY",
	"SELECT * FROM t FETCH FIRST % ROWS WITH TIES", "SELECT 1 UNION SELECT %", "SELECT 1 FROM t UNION ALL SELECT %",
	"(SELECT 1) ORDER BY %", "(SELECT 1 FROM t) LIMIT %", "TABLE t ORDER BY %", "TABLE t LIMIT %",
	"SELECT 1 UNION TABLE t ORDER BY %", "VALUES (1) ORDER BY %", "VALUES (1) LIMIT %",
	"SELECT * FROM %", "SELECT * FROM % AS x", "SELECT * FROM % x(a, b)", "SELECT * FROM t, %", "SELECT * FROM t a(b), %",
	"SELECT * FROM t JOIN % ON true", "SELECT * FROM t CROSS JOIN %", "SELECT * FROM t NATURAL JOIN %",
	"SELECT * FROM t LEFT JOIN % x ON true", "SELECT * FROM t JOIN u ON %", "SELECT * FROM t JOIN u ON a = %",
	"SELECT * FROM t JOIN u USING (a) JOIN v ON %", "SELECT * FROM t JOIN u USING (a), %", "SELECT * FROM LATERAL %",
	"SELECT * FROM t, LATERAL % AS x", "SELECT * FROM ROWS FROM (%) x", "SELECT * FROM ROWS FROM (lower('a'), %) x",
	"SELECT * FROM ROWS FROM (lower('a') AS (b int), %) x", "SELECT * FROM (SELECT %) x",
	"SELECT * FROM (VALUES (%)) x(a)",
	"SELECT * FROM (t JOIN u ON %)", "SELECT * FROM (t a(b) JOIN % ON true)", "SELECT * FROM t TABLESAMPLE system (%)",
	"SELECT * FROM t TABLESAMPLE bernoulli (1) REPEATABLE (%)", "SELECT * FROM lower(%) WITH ORDINALITY x(a, b)",
	"SELECT * FROM lower('a') WITH ORDINALITY, %", "SELECT * FROM lower('a') x(a), %", "SELECT * FROM ONLY (t), %",
	"WITH a AS (SELECT %) SELECT 1", "WITH a(b) AS (SELECT 1) SELECT %", "WITH a AS (SELECT 1), b AS (SELECT %) SELECT 1",
	"WITH a AS MATERIALIZED (SELECT %) SELECT 1", "WITH a AS NOT MATERIALIZED (SELECT 1) SELECT %",
	"WITH a AS (SELECT 1) (SELECT 1) ORDER BY %", "WITH a AS (SELECT 1) TABLE a ORDER BY %",
	"WITH a AS (SELECT 1) VALUES (1) ORDER BY %", "WITH a AS (SELECT 1) TABLE a LIMIT %",
	"SELECT (WITH a AS (SELECT 1) TABLE a ORDER BY %)", "SELECT * FROM (WITH a AS (SELECT 1) TABLE a ORDER BY %) x",
	"SELECT (WITH a AS (SELECT 1) VALUES (%))", "SELECT (WITH a AS (SELECT 1) SELECT %)",
	"SELECT (WITH a AS (SELECT 1) (SELECT 1) OFFSET %)", "WITH RECURSIVE a(n) AS (VALUES (1) UNION ALL SELECT %) SELECT 1",
	"WITH RECURSIVE a AS (SELECT 1) SEARCH DEPTH FIRST BY b SET c SELECT %",
	"WITH RECURSIVE a AS (SELECT 1) CYCLE b SET c USING d SELECT %",
	"WITH RECURSIVE a AS (SELECT 1) CYCLE b SET c TO 'x' DEFAULT 'y' USING d TABLE a ORDER BY %",
	"SELECT xmlelement(NAME x, %)", "SELECT xmlelement(NAME x, xmlattributes(% AS a))", "SELECT xmlforest(% AS a)",
	"SELECT xmlconcat(%)", "SELECT xmlparse(DOCUMENT %)", "SELECT xmlparse(CONTENT %)", "SELECT xmlpi(NAME x, %)",
	"SELECT xmlroot(a, VERSION %)", "SELECT xmlroot(%, VERSION NO VALUE, STANDALONE YES)",
	"SELECT xmlserialize(CONTENT % AS text)", "SELECT xmlserialize(DOCUMENT % AS text)", "SELECT xmlexists(% PASSING a)",
	"SELECT xmlexists('x' PASSING %)", "SELECT xmlexists('x' PASSING BY REF %)",
	"SELECT xmlexists('x' PASSING BY VALUE %)",
	"SELECT * FROM xmltable('x' PASSING % COLUMNS a int)", "SELECT * FROM xmltable(% PASSING a COLUMNS a int)",
	"SELECT * FROM xmltable('x' PASSING BY VALUE % COLUMNS a int)",
	"SELECT * FROM xmltable('x' PASSING a COLUMNS a int PATH %)",
	"SELECT * FROM xmltable('x' PASSING a COLUMNS a int PATH 'x' DEFAULT %)",
	"SELECT * FROM xmltable('x' PASSING a COLUMNS a int DEFAULT % NOT NULL)",
	"SELECT * FROM xmltable(XMLNAMESPACES('x' AS a, % AS b), 'x' PASSING a COLUMNS a int)",
	"SELECT * FROM xmltable(XMLNAMESPACES(DEFAULT %), 'x' PASSING a COLUMNS a int)",
	"SELECT json_object('a' VALUE %)", "SELECT json_object('a': %)", "SELECT json_object(a VALUE 1, b VALUE %)",
	"SELECT json_object('a' VALUE % FORMAT JSON ABSENT ON NULL)", "SELECT json_objectagg(a VALUE %)",
	"SELECT json_objectagg(a: %)", "SELECT json_array(1, %)", "SELECT json_array(SELECT %)", "SELECT json_arrayagg(%)",
	"SELECT json_arrayagg(a ORDER BY % RETURNING text)", "SELECT json(%)", "SELECT json_scalar(%)",
	"SELECT json_serialize(% RETURNING text)", "SELECT json_value(%, '$')", "SELECT json_value(a, %)",
	"SELECT json_value(a, '$' PASSING % AS x)", "SELECT json_value(a, '$' PASSING 1 AS x, % AS y)",
	"SELECT json_value(a, '$' RETURNING int DEFAULT % ON EMPTY)",
	"SELECT json_value(a, '$' NULL ON EMPTY DEFAULT % ON ERROR)", "SELECT json_query(%, '$' WITH WRAPPER)",
	"SELECT json_exists(a, '$' PASSING % AS x)", "SELECT * FROM json_table(%, '$' COLUMNS (a int))",
	"SELECT * FROM json_table(a, '$' PASSING % AS x COLUMNS (a int))",
	"SELECT * FROM json_table(a, '$' COLUMNS (a int PATH '$' DEFAULT % ON EMPTY))",
	"SELECT * FROM json_table(a, '$' COLUMNS (NESTED PATH '$' COLUMNS (a int DEFAULT % ON ERROR)))",
	"SELECT interval '1' YEAR + %", "SELECT time '1', %", "SELECT a FROM t WHERE b ~ % AND c", "SELECT grouping(a), %",
	"EXPLAIN ANALYZE SELECT %", "EXPLAIN (ANALYZE) SELECT %", "COPY (SELECT %) TO STDOUT", "SELECT 1; SELECT %",
}

// expressions are calls, which may write unless the catalogue has the function; % is a word of the name.
var expressions = []string{
	"%(1)", "% (a, b)", "%.lower('a')", "%.s.lower('a')", "s.%(1)", "lower(%(1))", "(%(1))", "- %(1)", "a % (1)",
	"a OPERATOR(pg_catalog.+) %(1)", "f.% (1)", "nextval('s')", "%", "a.% + nextval('s')", "% + nextval('s')",
}

// No keyword makes a write, or a call that may write, count as a read, in no place of a statement. Each is tried as the
// name of a relation and of a function, and as a part of such a name. PostgreSQL's parser determines which texts are
// accepted.
func TestNoKeywordHidesWrite(t *testing.T) {
	analyser := statement.New(&statement.Rules{})
	var total counts
	compare := func(template, word string) {
		sql := strings.ReplaceAll(template, "%", word)
		total.compare(t, "keywords", sql, analyser.Analyse(sql))
	}
	words := keywords(t)
	for _, template := range writesTo {
		for _, word := range words {
			compare(template, word)
		}
	}
	for i, context := range contexts {
		for j, expression := range expressions {
			for k, word := range words {
				tried := j < 3 || (i+j+k)%23 == 0 // a call of the word itself everywhere, the others in some contexts
				if tried {
					compare(strings.Replace(context, "%", expression, 1), word)
				}
			}
		}
	}
	t.Logf("%d accepted, %d writes, %d missed, %d of %d reads classified as writes",
		total.accepted, total.writes, total.missedWrites, total.falseWrites, total.plainReads)
}
