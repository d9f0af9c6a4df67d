package statement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// noRules are the rules of an empty configuration.
var noRules = &Rules{}

// plainReads only read. Any words of writes in them are values, names or comments.
var plainReads = []string{
	"SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* " +
		"id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2 */",
	"select 1",
	"SELECT",
	"VALUES (1, 2), (3, 4)",
	"TABLE state",
	"SHOW work_mem",
	"(SELECT 1) UNION (SELECT 2)",
	"((select 1))",
	"SELECT 'DELETE FROM x; nextval(1)'",
	"SELECT $$ insert into $$, $a$ $$ update x $a$",
	`SELECT "delete" FROM "insert"`,
	"SELECT 1 -- ; DELETE FROM x\n",
	"SELECT /* /* */ DELETE FROM x */ 1",
	"SELECT E'\\' DELETE FROM x; '",
	"SELECT count(*), max(a), coalesce(b, 0) FROM t GROUP BY (c) HAVING sum(d) > 3 ORDER BY " +
		"lower(e) LIMIT (2)",
	"SELECT a FROM t LEFT JOIN (SELECT 1) u ON (a = b) JOIN v USING (x) CROSS JOIN (w)",
	"SELECT * FROM t a(x, y), (VALUES (1, 2)) AS b(x, y), u c(z) WHERE a.x IN (1, 2) AND NOT " +
		"EXISTS (SELECT 1)",
	"WITH a(x, y) AS (SELECT 1, 2), b(z) AS MATERIALIZED (SELECT 3), c AS NOT MATERIALIZED (SELECT " +
		"4) SELECT * FROM a, b, c",
	"WITH RECURSIVE t(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM t WHERE n < 100) SELECT sum(n) FROM t",
	"SELECT rank() OVER (PARTITION BY (a) ORDER BY (b)), sum(x) FILTER (WHERE y) OVER w FROM t " +
		"WINDOW w AS (PARTITION BY z)",
	"SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY x), array_agg(x ORDER BY y) FROM t " +
		"TABLESAMPLE system (1)",
	"SELECT CAST(x AS numeric(10, 2)), y::varchar(3), z::bit varying(4), INTERVAL(3) '1', " +
		"TIMESTAMP(2) '2020-01-01' FROM t",
	"SELECT extract(year FROM now()), substring('a' FROM 1 FOR 2), trim(both 'x' from 'y'), " +
		"position('a' in 'b'), overlay('a' placing 'b' from 1)",
	"SELECT ARRAY[1, 2], ROW(1, 2), (1, 2) = ANY (ARRAY[(1, 2)]), x IS DISTINCT FROM (y) FROM " +
		"generate_series(1, 3) AS g(x)",
	"SELECT * FROM ROWS FROM (unnest(a), generate_series(1, 2)) AS z(a, b), json_table(j, '$' " +
		"COLUMNS (a int PATH '$.a')) t",
	"SELECT a LIKE (b), a ILIKE ('x') ESCAPE ('y'), left('abc', 2), right('abc', 1), a AT TIME ZONE ('UTC')",
	"SELECT * FROM t GROUP BY ROLLUP (a, b)",
	"SELECT * FROM t GROUP BY GROUPING SETS ((a), ())",
	"SELECT delete, update, insert FROM t",
	"EXPLAIN DELETE FROM t",
	"EXPLAIN (VERBOSE, COSTS off) UPDATE t SET a = 1",
	"EXPLAIN ANALYZE SELECT 1",
	"EXPLAIN (ANALYZE) WITH a AS (SELECT 1) SELECT * FROM a",
	"COPY t TO STDOUT",
	"COPY (SELECT a FROM t) TO STDOUT",
	"SELECT pg_catalog.lower('A')",
	"SELECT 1;",
	"SELECT 1; SELECT 2;",
	"SELECT a FROM t FETCH FIRST (3) ROWS ONLY",
	"SELECT date '2020-01-01', x.y.z, $1, -1.5e+3, 0x1F, 1_000 FROM a.b.c",
	"SELECT .5, 1., 1.e5, 1E-7, 0o17, 0b11, 0XfF, 12_3.4_5, a[1:2], $12",
}

// Plain reads are recognised, even if their values, names and comments contain words of writes.
func TestRecognisesPlainReads(t *testing.T) {
	for _, sql := range plainReads {
		info := New(noRules).Analyse(sql)
		require.False(t, info.MayWrite, "%s: %v: %s", sql, info.Why, sql[info.Where.Start:info.Where.End])
	}
}

// possibleWrites are statements that may write, by the reported reason.
var possibleWrites = map[Why][]string{
	ByVerb: {
		"INSERT INTO t VALUES (1)",
		"update t set a = 1",
		"DELETE FROM t",
		"MERGE INTO t USING u ON a",
		"CALL p()",
		"DO $$ x $$",
		"TRUNCATE t",
		"EXECUTE p",
		"PREPARE p AS SELECT 1",
		"BEGIN",
		"SET x = 1",
		"CREATE TABLE t AS SELECT 1",
		"LOCK t",
		"odd thing",
		"1",
		"SELECT 1; DELETE FROM t",
		"COPY t TO '/x'",
		"EXPLAIN ANALYZE DELETE FROM t",
		"EXPLAIN (COSTS, ANALYZE) UPDATE t SET a = 1",
		"EXPLAIN (\"analyze\") DELETE FROM t", // guards against an execution that a quoted option hides
		"EXPLAIN (COSTS off, U&\"analy\\007Ae\" on) UPDATE t SET a = 1",
		"COPY stdout TO '/x'", // guards against a file written beside a name that is stdout
		"COPY (SELECT stdout FROM t) TO '/x'",
		"COPY (SELECT 1 AS stdout) TO '/x'",
		"EXPLAIN ANALYZE VERBOSE INSERT INTO t VALUES (1)",
	},
	ByPart: {
		"COPY t FROM STDIN",
		"COPY t TO PROGRAM 'x'",
		"WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d",
		"WITH d AS MATERIALIZED (WITH e AS (SELECT 1) UPDATE t SET a = 1 RETURNING a) SELECT",
		"WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a",
		"WITH RECURSIVE t AS (SELECT 1) SEARCH DEPTH FIRST BY a SET o DELETE FROM t",
		"WITH a AS (SELECT 1) UPDATE ONLY t SET b = 1",
		"WITH a AS (SELECT 1) UPDATE \"T\" SET b = 1",
		"WITH a AS (SELECT 1) MERGE INTO t USING a ON true",
		"SELECT * INTO u FROM t",
	},
	ByLock: {
		"SELECT a FROM t FOR UPDATE",
		"SELECT a FROM t FOR NO KEY UPDATE OF t",
		"SELECT a FROM t FOR SHARE",
		"SELECT a FROM (SELECT 1 FROM t FOR KEY SHARE) x",
	},
	ByFunction: {
		"SELECT nextval('s')",
		"SELECT pg_catalog.nextval('s')",
		"SELECT PG_CATALOG . \"nextval\" /* ( */ ('s')",
		"SELECT a FROM t WHERE b = (SELECT setval('s', 1))",
		"WITH x AS (SELECT nextval('s')) SELECT 1",
		"SELECT lower(a => nextval('s'))",
		"SELECT lower(a := pg_advisory_lock(1))",
		"SELECT DISTINCT ON (a) nextval('s') FROM t",
		"SELECT 1 /* '*/, nextval('s') /* '*/",
		"SELECT 1 FROM a JOIN b ON a.x LIKE b.y ESCAPE nextval('s')",
		"WITH a AS (SELECT 1) (SELECT 1) ORDER BY nextval('s')",
		"SELECT * FROM t a(x), nextval('s') b(y)",
		"SELECT * FROM ROWS FROM (lower('a'), nextval('s')) z",
		"SELECT 'a' 'b' FROM t WHERE nextval('s') = 1",
		"SELECT E'a'\n'\\'', nextval('s') --'",
	},
	ByUnknown: {
		"SELECT mine(1)",
		"COPY t (stdout) TO '/x'", // t counts as a call
		"SELECT s.lower('A')",
		"SELECT \"Lower\"('A')",
		"SELECT U&\"low\\0065r\"('A')",
	},
	Unreadable: {
		"SELECT 'it\\'s', 1 --'",
		"SELECT a FROM t LIMIT 1FOR UPDATE", // guards against a lock that PostgreSQL up to 14 reads behind a number
		"SELECT a FROM t WHERE b = $1FOR UPDATE",
		"SELECT 1.5e3FROM t",
		"SELECT 0x1FFROM t",
		"SELECT 'abc",
		"SELECT $a$ x",
		"SELECT \"abc",
		"SELECT /* x",
		"",
		" ; ",
		"SELECT '\xff'",
		"SELECT \x00",
		"SELECT \"\"",
		deeplyNested(100_000),
	},
}

// deeplyNested returns a statement with a value in the given number of nested parentheses.
func deeplyNested(depth int) string {
	return "SELECT " + strings.Repeat("(", depth) + "1" + strings.Repeat(")", depth)
}

// Every statement that writes, locks or is unknown counts as a possible write, at any position in the text.
func TestRecognisesPossibleWrites(t *testing.T) {
	for why, statements := range possibleWrites {
		t.Run(why.String(), func(t *testing.T) {
			for _, sql := range statements {
				info := New(noRules).Analyse(sql)
				require.True(t, info.MayWrite, sql)
				require.Equal(t, why, info.Why, "%s: %s", sql, info.Why)
			}
		})
	}
}

// The operators' rules have precedence over the catalogue, for names with and without a schema.
func TestRulesOverrideCatalogue(t *testing.T) {
	rules := &Rules{
		Writers:   wordSet("note audit.write lower"),
		Readers:   wordSet("mine app.nextval"),
		Relations: wordSet("app.live counted"),
	}
	for sql, why := range map[string]Why{
		"SELECT note(1)":                             ByFunction,
		"SELECT x.note(1)":                           ByFunction,
		"SELECT audit.write(1)":                      ByFunction,
		"SELECT lower('A')":                          ByFunction,
		"SELECT write(1)":                            ByUnknown,
		"SELECT mine(1), x.mine(2), app.nextval(3)":  OnlyReads,
		"SELECT nextval(3)":                          ByFunction,
		"SELECT t.note FROM t":                       ByFunction,
		"SELECT t.other FROM t":                      OnlyReads,
		"SELECT * FROM app.live":                     ByRelation,
		"SELECT * FROM live":                         OnlyReads,
		"SELECT * FROM (a JOIN \"counted\" ON true)": ByRelation,
		"TABLE x.counted":                            ByRelation,
		"SELECT * FROM a, counted c":                 ByRelation,
		"SELECT * FROM a LEFT JOIN counted ON true":  ByRelation,
		"SELECT counted FROM a":                      OnlyReads,
	} {
		t.Run(sql, func(t *testing.T) {
			require.Equal(t, why, New(rules).Analyse(sql).Why)
		})
	}
	trusting := &Rules{TrustUnknown: true}
	require.False(t, New(trusting).Analyse("SELECT mine(1)").MayWrite)
	require.True(t, New(trusting).Analyse("SELECT setval('a', 1)").MayWrite)
}

// The relations, the functions and the last block comment of a statement are found.
func TestFindsNamesAndLastComment(t *testing.T) {
	sql := "SELECT lower(a), app.f(b) FROM app.t, u JOIN \"V\" ON true /* first */ /* id=1 */ ;"
	info := New(noRules).Analyse(sql)
	text := func(span Span) string { return sql[span.Start:span.End] }
	require.Equal(t, 3, info.RelationCount)
	relations := []string{text(info.Relations[0]), text(info.Relations[1]), text(info.Relations[2])}
	require.Equal(t, []string{"app.t", "u", `"V"`}, relations)
	require.Equal(t, 2, info.FunctionCount)
	require.Equal(t, "app.f", text(info.Functions[1]))
	require.Equal(t, "/* id=1 */", text(info.Comment))
	require.True(t, info.CommentAtEnd)
	nested := "SELECT 1 /* a /* id=2 */ */"
	require.Equal(t, strings.Index(nested, "/*"), New(noRules).Analyse(nested).Comment.Start,
		"start of the outer comment")
}

// Text that only looks like a comment at the end of the statement is not reported as one.
func TestRejectsForgedLastComments(t *testing.T) {
	for name, sql := range map[string]string{
		"in a string":                "SELECT 'x /* id=1 */'",
		"in a line comment":          "SELECT 1 -- /* id=1 */",
		"unclosed":                   "SELECT 1 /* id=1 /* id=2 */",
		"before the statement's end": "SELECT /* id=1 */ 1",
	} {
		t.Run(name, func(t *testing.T) {
			require.False(t, New(noRules).Analyse(sql).CommentAtEnd)
		})
	}
}

// Statements that differ only in values and in the lengths of lists have equal fingerprints. A difference that may
// affect the route changes the fingerprint.
func TestFingerprintIgnoresOnlyValuesAndListLengths(t *testing.T) {
	analyzer := New(noRules)
	fingerprint := func(sql string) string {
		analyzer.Analyse(sql)
		return string(analyzer.Fingerprint())
	}
	require.Equal(t, "select a, lower(b) from t where c in(?) and d = ?",
		fingerprint("SELECT a,LOWER( b )\nFROM t WHERE c IN (1, 2,\n'x') /* y */ AND d=$1 -- z"))
	require.Equal(t, fingerprint("INSERT INTO t VALUES (1, 'a')"),
		fingerprint("insert into t values (2,'b') , (3,'c'),(4, 'd')"))
	require.NotEqual(t, fingerprint("SELECT f(1)"), fingerprint("SELECT f(1, 2)"))
	require.NotEqual(t, fingerprint("SELECT 'it'"), fingerprint("SELECT 'it\\''"))
	require.NotEqual(t, fingerprint(`SELECT "A"`), fingerprint(`SELECT a`))
	require.Equal(t, fingerprint("SELECT 'a'"), fingerprint("SELECT $$b$$"))
}

// The analysis of long texts does not allocate once the buffers have grown.
func TestLongTextsDoNotAllocate(t *testing.T) {
	analyzer := New(noRules)
	long := "SELECT '" + strings.Repeat("x", 256<<10) + "'"
	deep := deeplyNested(999)
	require.False(t, analyzer.Analyse(long).MayWrite)
	require.False(t, analyzer.Analyse(deep).MayWrite)
	for name, sql := range map[string]string{
		"string":                    long,
		"parentheses":               deep,
		"name":                      "SELECT " + strings.Repeat("a", 256<<10),
		"openings of comments":      strings.Repeat("/*", 1<<17),
		"openings of dollar quotes": strings.Repeat("$a", 1<<17),
		"qualified name":            "SELECT " + strings.Repeat("x.", 1<<16) + "y",
		"continued strings":         strings.Repeat("'a'\n", 1<<16),
	} {
		t.Run(name, func(t *testing.T) {
			analyzer.Analyse(sql)
			require.LessOrEqual(t, testing.AllocsPerRun(3, func() { analyzer.Analyse(sql) }), 0.0)
		})
	}
}
