package statement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var none = &Rules{}

func reads(t *testing.T, sql string) {
	t.Helper()
	i := New(none).Read(sql)
	require.False(t, i.MayWrite, "%s: %v: %s", sql, i.Why, sql[i.Where.Start:i.Where.End])
}

func writes(t *testing.T, sql string, why Why) {
	t.Helper()
	i := New(none).Read(sql)
	require.True(t, i.MayWrite, sql)
	require.Equal(t, why, i.Why, "%s: %s", sql, i.Why)
}

// Plain reads are recognised, whatever words their values, names and comments contain.
func TestReads(t *testing.T) {
	for _, sql := range []string{
		"SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2 */",
		"select 1", "SELECT", "VALUES (1, 2), (3, 4)", "TABLE state", "SHOW work_mem", "(SELECT 1) UNION (SELECT 2)", "((select 1))",
		"SELECT 'DELETE FROM x; nextval(1)'", "SELECT $$ insert into $$, $a$ $$ update x $a$", `SELECT "delete" FROM "insert"`,
		"SELECT 1 -- ; DELETE FROM x\n", "SELECT /* /* */ DELETE FROM x */ 1", "SELECT E'\\' DELETE FROM x; '",
		"SELECT count(*), max(a), coalesce(b, 0) FROM t GROUP BY (c) HAVING sum(d) > 3 ORDER BY lower(e) LIMIT (2)",
		"SELECT a FROM t LEFT JOIN (SELECT 1) u ON (a = b) JOIN v USING (x) CROSS JOIN (w)",
		"SELECT * FROM t a(x, y), (VALUES (1, 2)) AS b(x, y), u c(z) WHERE a.x IN (1, 2) AND NOT EXISTS (SELECT 1)",
		"WITH a(x, y) AS (SELECT 1, 2), b(z) AS MATERIALIZED (SELECT 3), c AS NOT MATERIALIZED (SELECT 4) SELECT * FROM a, b, c",
		"WITH RECURSIVE t(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM t WHERE n < 100) SELECT sum(n) FROM t",
		"SELECT rank() OVER (PARTITION BY (a) ORDER BY (b)), sum(x) FILTER (WHERE y) OVER w FROM t WINDOW w AS (PARTITION BY z)",
		"SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY x), array_agg(x ORDER BY y) FROM t TABLESAMPLE system (1)",
		"SELECT CAST(x AS numeric(10, 2)), y::varchar(3), z::bit varying(4), INTERVAL(3) '1', TIMESTAMP(2) '2020-01-01' FROM t",
		"SELECT extract(year FROM now()), substring('a' FROM 1 FOR 2), trim(both 'x' from 'y'), position('a' in 'b'), overlay('a' placing 'b' from 1)",
		"SELECT ARRAY[1, 2], ROW(1, 2), (1, 2) = ANY (ARRAY[(1, 2)]), x IS DISTINCT FROM (y) FROM generate_series(1, 3) AS g(x)",
		"SELECT * FROM ROWS FROM (unnest(a), generate_series(1, 2)) AS z(a, b), json_table(j, '$' COLUMNS (a int PATH '$.a')) t",
		"SELECT a LIKE (b), a ILIKE ('x') ESCAPE ('y'), left('abc', 2), right('abc', 1), a AT TIME ZONE ('UTC')",
		"SELECT * FROM t GROUP BY ROLLUP (a, b)", "SELECT * FROM t GROUP BY GROUPING SETS ((a), ())", "SELECT delete, update, insert FROM t",
		"EXPLAIN DELETE FROM t", "EXPLAIN (VERBOSE, COSTS off) UPDATE t SET a = 1", "EXPLAIN ANALYZE SELECT 1", "EXPLAIN (ANALYZE) WITH a AS (SELECT 1) SELECT * FROM a",
		"COPY t TO STDOUT", "COPY (SELECT a FROM t) TO STDOUT", "SELECT pg_catalog.lower('A')", "SELECT 1;", "SELECT 1; SELECT 2;",
		"SELECT a FROM t FETCH FIRST (3) ROWS ONLY", "SELECT date '2020-01-01', x.y.z, $1, -1.5e+3, 0x1F, 1_000 FROM a.b.c",
	} {
		reads(t, sql)
	}
}

// Everything that writes, locks or is unknown counts as a possible write, however it is hidden.
func TestMayWrite(t *testing.T) {
	for sql, why := range map[string]Why{
		"INSERT INTO t VALUES (1)": ByVerb, "update t set a = 1": ByVerb, "DELETE FROM t": ByVerb, "MERGE INTO t USING u ON a": ByVerb,
		"CALL p()": ByVerb, "DO $$ x $$": ByVerb, "TRUNCATE t": ByVerb, "EXECUTE p": ByVerb, "PREPARE p AS SELECT 1": ByVerb,
		"BEGIN": ByVerb, "SET x = 1": ByVerb, "CREATE TABLE t AS SELECT 1": ByVerb, "LOCK t": ByVerb, "odd thing": ByVerb, "1": ByVerb,
		"SELECT 1; DELETE FROM t": ByVerb, "COPY t FROM STDIN": ByPart, "COPY t TO PROGRAM 'x'": ByPart, "COPY t TO '/x'": ByVerb,
		"EXPLAIN ANALYZE DELETE FROM t": ByVerb, "EXPLAIN (COSTS, ANALYZE) UPDATE t SET a = 1": ByVerb, "EXPLAIN ANALYZE VERBOSE INSERT INTO t VALUES (1)": ByVerb,
		"WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d":                               ByPart,
		"WITH d AS MATERIALIZED (WITH e AS (SELECT 1) UPDATE t SET a = 1 RETURNING a) SELECT": ByPart,
		"WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a":                                  ByPart,
		"WITH RECURSIVE t AS (SELECT 1) SEARCH DEPTH FIRST BY a SET o DELETE FROM t":          ByPart,
		"WITH a AS (SELECT 1) UPDATE ONLY t SET b = 1":                                        ByPart,
		"WITH a AS (SELECT 1) UPDATE \"T\" SET b = 1":                                         ByPart,
		"WITH a AS (SELECT 1) MERGE INTO t USING a ON true":                                   ByPart,
		"SELECT * INTO u FROM t":                                                              ByPart, "SELECT a FROM t FOR UPDATE": ByLock, "SELECT a FROM t FOR NO KEY UPDATE OF t": ByLock,
		"SELECT a FROM t FOR SHARE": ByLock, "SELECT a FROM (SELECT 1 FROM t FOR KEY SHARE) x": ByLock,
		"SELECT nextval('s')": ByFunction, "SELECT pg_catalog.nextval('s')": ByFunction, "SELECT PG_CATALOG . \"nextval\" /* ( */ ('s')": ByFunction,
		"SELECT a FROM t WHERE b = (SELECT setval('s', 1))": ByFunction, "WITH x AS (SELECT nextval('s')) SELECT 1": ByFunction,
		"SELECT lower(a => nextval('s'))": ByFunction, "SELECT lower(a := pg_advisory_lock(1))": ByFunction,
		"SELECT DISTINCT ON (a) nextval('s') FROM t": ByFunction, "SELECT 1 /* '*/, nextval('s') /* '*/": ByFunction,
		"SELECT 1 FROM a JOIN b ON a.x LIKE b.y ESCAPE nextval('s')": ByFunction, "WITH a AS (SELECT 1) (SELECT 1) ORDER BY nextval('s')": ByFunction,
		"SELECT * FROM t a(x), nextval('s') b(y)": ByFunction, "SELECT * FROM ROWS FROM (lower('a'), nextval('s')) z": ByFunction,
		"SELECT 'a' 'b' FROM t WHERE nextval('s') = 1": ByFunction, "SELECT E'a'\n'\\'', nextval('s') --'": ByFunction,
		"SELECT mine(1)": ByUnknown, "SELECT s.lower('A')": ByUnknown, "SELECT \"Lower\"('A')": ByUnknown, "SELECT U&\"low\\0065r\"('A')": ByUnknown,
		"SELECT 'it\\'s', 1 --'": Unreadable, "SELECT 'abc": Unreadable, "SELECT $a$ x": Unreadable, "SELECT \"abc": Unreadable, "SELECT /* x": Unreadable,
		"": Unreadable, " ; ": Unreadable, "SELECT '\xff'": Unreadable, "SELECT \x00": Unreadable, "SELECT \"\"": Unreadable,
		"SELECT " + strings.Repeat("(", 100_000) + "1" + strings.Repeat(")", 100_000): Unreadable,
	} {
		writes(t, sql, why)
	}
}

// The operators' rules go before the catalogue, by name and by schema.
func TestRules(t *testing.T) {
	r := &Rules{Writers: wordSet("note audit.write lower"), Readers: wordSet("mine app.nextval"), Relations: wordSet("app.live counted")}
	for sql, why := range map[string]Why{
		"SELECT note(1)": ByFunction, "SELECT x.note(1)": ByFunction, "SELECT audit.write(1)": ByFunction, "SELECT lower('A')": ByFunction,
		"SELECT write(1)": ByUnknown, "SELECT mine(1), x.mine(2), app.nextval(3)": Surely, "SELECT nextval(3)": ByFunction,
		"SELECT t.note FROM t": ByFunction, "SELECT t.other FROM t": Surely, "SELECT * FROM app.live": ByRelation, "SELECT * FROM live": Surely,
		"SELECT * FROM (a JOIN \"counted\" ON true)": ByRelation, "TABLE x.counted": ByRelation, "SELECT * FROM a, counted c": ByRelation,
		"SELECT * FROM a LEFT JOIN counted ON true": ByRelation, "SELECT counted FROM a": Surely,
	} {
		i := New(r).Read(sql)
		require.Equal(t, why, i.Why, sql)
	}
	require.False(t, New(&Rules{TrustUnknown: true}).Read("SELECT mine(1)").MayWrite)
	require.True(t, New(&Rules{TrustUnknown: true}).Read("SELECT setval('a', 1)").MayWrite)
}

// The names in a statement and its last real comment are found.
func TestNames(t *testing.T) {
	sql := "SELECT lower(a), app.f(b) FROM app.t, u JOIN \"V\" ON true /* first */ /* id=1 */ ;"
	i := New(none).Read(sql)
	part := func(s Span) string { return sql[s.Start:s.End] }
	require.Equal(t, 3, i.RelationsN)
	require.Equal(t, []string{"app.t", "u", `"V"`}, []string{part(i.Relations[0]), part(i.Relations[1]), part(i.Relations[2])})
	require.Equal(t, 2, i.FunctionsN)
	require.Equal(t, "app.f", part(i.Functions[1]))
	require.Equal(t, "/* id=1 */", part(i.Comment))
	require.True(t, i.Tail)
	for _, forged := range []string{"SELECT 'x /* id=1 */'", "SELECT 1 -- /* id=1 */", "SELECT 1 /* id=1 /* id=2 */", "SELECT /* id=1 */ 1"} {
		require.False(t, New(none).Read(forged).Tail, forged)
	}
	nested := "SELECT 1 /* a /* id=2 */ */"
	require.Equal(t, strings.Index(nested, "/*"), New(none).Read(nested).Comment.Start, "the outer one")
}

// All values, and lists of any length, have one fingerprint; it contains everything that decides the route.
func TestFingerprints(t *testing.T) {
	a := New(none)
	fingerprint := func(sql string) string { a.Read(sql); return string(a.Fingerprint()) }
	require.Equal(t, "select a, lower(b) from t where c in(?) and d = ?",
		fingerprint("SELECT a,LOWER( b )\nFROM t WHERE c IN (1, 2,\n'x') /* y */ AND d=$1 -- z"))
	require.Equal(t, fingerprint("INSERT INTO t VALUES (1, 'a')"), fingerprint("insert into t values (2,'b') , (3,'c'),(4, 'd')"))
	require.NotEqual(t, fingerprint("SELECT f(1)"), fingerprint("SELECT f(1, 2)"))
	require.NotEqual(t, fingerprint("SELECT 'it'"), fingerprint("SELECT 'it\\''"))
	require.NotEqual(t, fingerprint(`SELECT "A"`), fingerprint(`SELECT a`))
	require.Equal(t, fingerprint("SELECT 'a'"), fingerprint("SELECT $$b$$"))
}

// Long texts take linear time and no memory of their own.
func TestLong(t *testing.T) {
	a := New(none)
	long := "SELECT '" + strings.Repeat("x", 256<<10) + "'"
	deep := "SELECT " + strings.Repeat("(", 999) + "1" + strings.Repeat(")", 999)
	require.False(t, a.Read(long).MayWrite)
	require.False(t, a.Read(deep).MayWrite)
	for _, sql := range []string{
		long, deep, "SELECT " + strings.Repeat("a", 256<<10), strings.Repeat("/*", 1<<17), strings.Repeat("$a", 1<<17),
		"SELECT " + strings.Repeat("x.", 1<<16) + "y", strings.Repeat("'a'\n", 1<<16),
	} {
		a.Read(sql)
		require.LessOrEqual(t, testing.AllocsPerRun(3, func() { a.Read(sql) }), 0.0)
	}
}
