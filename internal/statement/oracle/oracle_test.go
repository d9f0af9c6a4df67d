// Package oracle holds the reading of statements against PostgreSQL's own parser. It is a module of its own, so that the
// parser is a need of this test alone.
package oracle

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"

	pgquery "github.com/wasilibs/go-pgquery"

	"capercove/internal/statement"
)

// truth walks a parse tree: whether it writes, locks or calls what is not known to read.
func truth(v any) (write bool, why string) {
	switch v := v.(type) {
	case map[string]any:
		for key, below := range v {
			switch key {
			case "InsertStmt", "UpdateStmt", "DeleteStmt", "MergeStmt", "lockingClause", "intoClause", "IntoClause":
				if key == "intoClause" && below == nil {
					continue
				}
				return true, key
			case "FuncCall":
				f := below.(map[string]any)
				if f["funcformat"] != "COERCE_SQL_SYNTAX" && !known(f) {
					return true, fmt.Sprint(f["funcname"])
				}
			}
			if w, why := truth(below); w {
				return true, why
			}
		}
	case []any:
		for _, below := range v {
			if w, why := truth(below); w {
				return true, why
			}
		}
	}
	return false, ""
}

func known(f map[string]any) bool {
	var names []string
	for _, n := range f["funcname"].([]any) {
		names = append(names, n.(map[string]any)["String"].(map[string]any)["sval"].(string))
	}
	if last := names[len(names)-1]; last == "similar_to_escape" || last == "like_escape" { // what the parser makes of SIMILAR TO
		return true
	}
	return (len(names) == 1 || len(names) == 2 && names[0] == "pg_catalog") &&
		statement.Builtin(names[len(names)-1]) == statement.Surely
}

// judge tells whether PostgreSQL takes the text, what kind its first statement is and whether any of them may write.
func judge(sql string) (ok bool, kind string, write bool, why string) {
	text, err := pgquery.ParseToJSON(sql)
	if err != nil {
		return false, "", false, ""
	}
	var tree struct {
		Stmts []struct{ Stmt map[string]any }
	}
	if json.Unmarshal([]byte(text), &tree) != nil || len(tree.Stmts) == 0 {
		return false, "", false, ""
	}
	for i, s := range tree.Stmts {
		for k, body := range s.Stmt {
			if i == 0 {
				kind = k
			}
			w := false
			switch k {
			case "SelectStmt", "VariableShowStmt":
				w, why = truth(body)
			case "ExplainStmt":
				options, _ := body.(map[string]any)["options"].([]any)
				for _, o := range options {
					if name := fmt.Sprint(o.(map[string]any)["DefElem"].(map[string]any)["defname"]); name == "analyze" {
						w, why = truth(body)
						query := body.(map[string]any)["query"].(map[string]any)
						if _, read := query["SelectStmt"]; !read {
							w, why = true, "explain"
						}
					}
				}
			default:
				w, why = true, k
			}
			if w {
				return true, kind, true, why
			}
		}
	}
	return true, kind, false, ""
}

// maker makes statements by chance from a grammar of its own, deterministic by its seed.
type maker struct {
	*rand.Rand
	depth int
	odd   bool // key words as names too
}

func (m *maker) pick(s ...string) string { return s[m.IntN(len(s))] }

func (m *maker) name() string {
	if m.odd && m.IntN(2) == 0 {
		return m.pick("update", "filter", "over", "key", "first", "delete", "share")
	}
	return m.pick("a", "b", "tbl", "\"Q t\"", "s.tbl", "x1", "\"delete\"", "val", "u", "ärger")
}

func (m *maker) column() string {
	if m.odd && m.IntN(3) == 0 {
		return m.pick("delete", "update", "share", "no", "key", "first")
	}
	return m.pick("a", "b", "t.a", "\"C\"", "val", "x1", "u.update")
}

func (m *maker) literal() string {
	return m.pick("1", "2.5", "'x'", "'it''s'", "E'a\\'b'", "$$ insert into t $$", "$q$ delete $q$", "U&'\\0041'", "B'101'", "X'1F'", "NULL", "true",
		"'a'\n  'b'", "$1", "1e-3", "'/* id=1 */'", "'-- x'", "DATE '2020-01-01'", "interval '1 day'", "-3", "0x1F", "CURRENT_TIMESTAMP")
}

func (m *maker) space() string {
	return m.pick(" ", " ", " ", "\n", "\t ", " /* c */ ", " /* a /* b */ c */ ", " -- line\n", " /* 'x */ ")
}

func (m *maker) function() string {
	return m.pick("lower", "count", "max", "coalesce", "now", "length", "pg_catalog.lower", "LOWER", "\"lower\"", "abs", "json_build_object", "left", "right",
		"substr", "date_trunc", "unnest", "replace", "md5", "round", "greatest", "to_char")
}

func (m *maker) expr() string {
	if m.depth++; m.depth > 5 {
		m.depth--
		return m.pick(m.column(), m.literal())
	}
	defer func() { m.depth-- }()
	switch m.IntN(22) {
	case 0, 1, 2:
		return m.column()
	case 3, 4, 5:
		return m.literal()
	case 6, 7:
		f := m.function()
		args := m.expr()
		for m.IntN(3) == 0 {
			args += ", " + m.expr()
		}
		return f + m.pick("(", " (", "(") + args + ")"
	case 8:
		return m.expr() + m.space() + m.pick("+", "-", "*", "/", "||", "=", "<", ">=", "<>", "AND", "OR", "->>", "@>", "~", "%") + m.space() + m.expr()
	case 9:
		return "(" + m.expr() + ")"
	case 10:
		return "(" + m.sel() + ")"
	case 11:
		return m.column() + " IN (" + m.expr() + ", " + m.literal() + ")"
	case 12:
		return "EXISTS (" + m.sel() + ")"
	case 13:
		return "CASE WHEN " + m.expr() + " THEN " + m.expr() + " ELSE " + m.expr() + " END"
	case 14:
		return "CAST(" + m.expr() + " AS " + m.pick("int", "numeric(10, 2)", "varchar(3)", "text") + ")"
	case 15:
		return "(" + m.expr() + ")::" + m.pick("int", "numeric(10,2)", "text[]", "bit varying(3)", "pg_catalog.int4")
	case 16:
		return "count(*) FILTER (WHERE " + m.expr() + ")"
	case 17:
		return "sum(a) OVER (PARTITION BY (" + m.column() + ") ORDER BY " + m.expr() + ")"
	case 18:
		return m.pick("extract(year FROM "+m.column()+")", "substring("+m.column()+" FROM 1 FOR 2)", "trim(both 'x' from "+m.column()+")",
			"position('a' in "+m.column()+")", "overlay(a placing b from 1 for 2)", m.column()+" AT TIME ZONE 'UTC'", "a IS DISTINCT FROM b")
	case 19:
		return "ARRAY[" + m.expr() + ", " + m.expr() + "]"
	case 20:
		return m.column() + m.pick(" LIKE ", " NOT ILIKE ", " SIMILAR TO ") + m.literal()
	}
	return "NOT " + m.column() + " BETWEEN " + m.literal() + " AND " + m.literal()
}

func (m *maker) from() string {
	item := func() string {
		switch m.IntN(9) {
		case 0:
			return "(" + m.sel() + ") " + m.pick("", "AS ") + "d"
		case 1:
			return "generate_series(1, 3) " + m.pick("g", "AS g(n)", "g(n)", "WITH ORDINALITY o(p, q)")
		case 2:
			return m.name() + " " + m.pick("t(c1, c2)", "AS t(c1, c2)", "t")
		case 3:
			return "LATERAL (" + m.sel() + ") l"
		case 4:
			return "(VALUES (1, " + m.expr() + ")) v(p, q)"
		case 5:
			return "ROWS FROM (unnest(a), generate_series(1, 2)) r"
		}
		return m.name()
	}
	s := item()
	for m.IntN(3) == 0 {
		switch m.IntN(4) {
		case 0:
			s += ", " + item()
		case 1:
			s += m.pick(" JOIN ", " LEFT JOIN ", " FULL OUTER JOIN ") + item() + " ON " + m.expr()
		case 2:
			s += " JOIN " + item() + " USING (a)"
		default:
			s += m.pick(" CROSS JOIN ", " NATURAL JOIN ") + item()
		}
	}
	return s
}

func (m *maker) sel() string {
	if m.depth++; m.depth > 5 {
		m.depth--
		return "SELECT " + m.literal()
	}
	defer func() { m.depth-- }()
	sp := m.space
	s := m.pick("SELECT", "select", "SELECT DISTINCT", "SELECT DISTINCT ON (a)", "SELECT ALL") + sp() + m.expr()
	for m.IntN(3) == 0 {
		s += "," + sp() + m.expr() + m.pick("", " AS x", " y")
	}
	if m.IntN(5) > 0 {
		s += sp() + "FROM " + m.from()
	}
	if m.IntN(2) == 0 {
		s += sp() + "WHERE " + m.expr()
	}
	if m.IntN(5) == 0 {
		s += " GROUP BY " + m.pick("a", "(a, b)", "ROLLUP (a, b)", "GROUPING SETS ((a), ())") + m.pick("", " HAVING "+m.expr())
	}
	if m.IntN(6) == 0 {
		s += m.pick(" UNION ", " UNION ALL ", " EXCEPT ") + m.sel()
	}
	if m.IntN(5) == 0 {
		s += " ORDER BY " + m.expr() + m.pick("", " DESC NULLS LAST", " LIMIT 3", " OFFSET 2 ROWS FETCH FIRST (3) ROWS ONLY")
	}
	if m.IntN(8) == 0 && m.depth == 1 {
		s = m.pick("WITH ", "WITH RECURSIVE ") + m.pick("w", "w(a, b)") + " AS " + m.pick("", "MATERIALIZED ", "NOT MATERIALIZED ") + "(" + m.sel() + ")" +
			m.pick("", ", z(c) AS (VALUES (1), (2))") + " " + s
	}
	return s
}

// hide puts something that writes somewhere into a read.
func (m *maker) hide() string {
	bad := m.pick("nextval('s')", "pg_catalog.setval('s', 1)", "NEXTVAL ('s')", "\"nextval\"('s')", "pg_advisory_lock(1)", "my_own(1)", "s.lower('a')",
		"\"Lower\"('x')", "U&\"n\\0065xtval\"('s')", "pg_catalog . nextval /* ( */ ('s')", "join(1)", "filter(1)", "over(a)", "first(a)", "columns(1)", "system(1)")
	s := m.sel()
	switch m.IntN(9) {
	case 0:
		return strings.Replace(s, "SELECT", "SELECT "+bad+",", 1)
	case 1:
		return s + " FOR " + m.pick("UPDATE", "SHARE", "NO KEY UPDATE", "KEY SHARE") + m.pick("", " OF a", " NOWAIT", " SKIP LOCKED")
	case 2:
		return "WITH d AS (" + m.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t VALUES (1)", "INSERT INTO t "+s, "UPDATE \"T\" SET a = 1", "UPDATE ONLY t SET a = 1") +
			m.pick("", " RETURNING *") + ") " + s
	case 3:
		return "SELECT a FROM t WHERE b = (" + strings.Replace(s, "SELECT", "SELECT "+bad+",", 1) + ")"
	case 4:
		return "SELECT a INTO u FROM t"
	case 5:
		return "SELECT * FROM " + m.pick("t a(x), ", "t, LATERAL ", "t JOIN ", "ROWS FROM (unnest(a), ") + bad + m.pick("", " b", " AS b(c)", " ON true", ") r")
	case 6:
		return "SELECT * FROM t ORDER BY " + bad
	case 7:
		return "WITH x AS (SELECT 1) " + m.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t SELECT 1", "(SELECT 1) ORDER BY "+bad,
			"MERGE INTO t USING u ON t.a = u.a WHEN MATCHED THEN DELETE")
	}
	return s + "; " + m.pick("DELETE FROM t", "SELECT "+bad, "SET x = 1", "COMMIT", "TRUNCATE t", "EXPLAIN ANALYZE DELETE FROM t")
}

// mutate changes a few bytes of a text, which PostgreSQL may then refuse.
func (m *maker) mutate(s string) string {
	b := []byte(s)
	for range 1 + m.IntN(3) {
		at := m.IntN(len(b))
		switch m.IntN(4) {
		case 0:
			b = append(b[:at], b[min(len(b), at+1+m.IntN(3)):]...)
		case 1:
			piece := m.pick("'", "\"", "/*", "*/", "--", "$$", "(", ")", "\n", "\\", ".", ";", " ", "E", "::", ",", "nextval('s')", " FOR UPDATE ", " AS ", " JOIN ")
			b = append(b[:at], append([]byte(piece), b[at:]...)...)
		case 2:
			other := m.IntN(len(b))
			b[at], b[other] = b[other], b[at]
		default:
			from := m.IntN(len(b))
			to := min(len(b), from+m.IntN(12))
			b = append(b[:at], append(append([]byte{}, b[from:to]...), b[at:]...)...)
		}
		if len(b) == 0 {
			return "SELECT 1"
		}
	}
	return string(b)
}

// No write is ever taken for a read, and hardly a read for a write, by what PostgreSQL itself makes of the texts.
func TestAgreement(t *testing.T) {
	m := &maker{Rand: rand.New(rand.NewPCG(11, 12))}
	type row struct{ taken, writes, missed, plain, doubted int }
	rows := map[string]*row{}
	doubts := map[string]int{}
	a := statement.New(&statement.Rules{})
	count := 6000
	if os.Getenv("CAPERCOVE_MEASURE") != "" {
		count = 40_000
	}
	for i := range count {
		var sql, source string
		m.odd = i%5 > 2
		switch i % 5 {
		case 3:
			sql, source = m.sel(), "reads with key words as names"
		case 0:
			sql, source = m.sel(), "reads"
		case 1:
			sql, source = m.hide(), "hidden writes"
		case 2:
			sql, source = m.mutate(m.sel()), "reads, mutated"
		default:
			sql, source = m.mutate(m.hide()), "hidden writes, mutated"
		}
		ok, kind, write, why := judge(sql)
		if !ok {
			continue
		}
		r := rows[source]
		if r == nil {
			r = &row{}
			rows[source] = r
		}
		r.taken++
		info := a.Read(sql)
		switch {
		case write && !info.MayWrite:
			r.writes++
			r.missed++
			t.Errorf("taken for a read, but %s (%s): %s", why, kind, sql)
		case write:
			r.writes++
		case info.MayWrite:
			r.plain++
			r.doubted++
			where := sql[info.Where.Start:info.Where.End]
			if doubts[info.Why.String()+" "+where]++; r.doubted < 20 && source == "reads" {
				t.Logf("doubted for %s %q: %s", info.Why, where, sql)
			}
		default:
			r.plain++
		}
	}
	var out strings.Builder
	out.WriteString("| corpus | taken by PostgreSQL | that write | of them taken for reads | plain reads | of them doubted |\n| --- | --- | --- | --- | --- | --- |\n")
	var names []string
	for name := range rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := rows[name]
		fmt.Fprintf(&out, "| %s | %d | %d | %d | %d | %d (%.2f%%) |\n", name, r.taken, r.writes, r.missed, r.plain, r.doubted, 100*float64(r.doubted)/float64(max(1, r.plain)))
	}
	t.Log("\n" + out.String())
	if r := rows["reads"]; float64(r.doubted) > 0.01*float64(r.plain) {
		t.Errorf("%d of %d plain reads are doubted", r.doubted, r.plain)
	}
	if path := os.Getenv("CAPERCOVE_MEASURE"); path != "" {
		text := "# Reading statements against PostgreSQL's own parser\n\nMade again by `cd internal/statement/oracle && CAPERCOVE_MEASURE=$PWD/../../../docs/measured/statements-oracle.md go test -count=1 ./...`.\n\n" + out.String()
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
