package oracle

import (
	"math/rand/v2"
	"strings"
)

// generator generates random statements. Equal seeds generate equal statements.
type generator struct {
	*rand.Rand
	depth        int  // nesting of expressions and SELECTs
	keywordNames bool // some names are keywords
}

// pick returns a random one of the texts.
func (g *generator) pick(texts ...string) string { return texts[g.IntN(len(texts))] }

// name returns the name of a relation.
func (g *generator) name() string {
	if g.keywordNames && g.IntN(2) == 0 {
		return g.pick("update", "filter", "over", "key", "first", "delete", "share")
	}
	return g.pick("a", "b", "tbl", "\"Q t\"", "s.tbl", "x1", "\"delete\"", "val", "u", "ärger")
}

// column returns a reference to a column.
func (g *generator) column() string {
	if g.keywordNames && g.IntN(3) == 0 {
		return g.pick("delete", "update", "share", "no", "key", "first")
	}
	return g.pick("a", "b", "t.a", "\"C\"", "val", "x1", "u.update")
}

// literal returns a value.
func (g *generator) literal() string {
	return g.pick("1", "2.5", "'x'", "'it''s'", "E'a\\'b'", "$$ insert into t $$", "$q$ delete $q$", "U&'\\0041'",
		"B'101'", "X'1F'", "NULL", "true",
		"'a'\n  'b'", "$1", "1e-3", "'/* id=1 */'", "'-- x'", "DATE '2020-01-01'", "interval '1 day'", "-3", "0x1F",
		"CURRENT_TIMESTAMP")
}

// space returns white space, in some cases with a comment.
func (g *generator) space() string {
	return g.pick(" ", " ", " ", "\n", "\t ", " /* c */ ", " /* a /* b */ c */ ", " -- line\n", " /* 'x */ ")
}

// function returns the name of a function that only reads.
func (g *generator) function() string {
	return g.pick("lower", "count", "max", "coalesce", "now", "length", "pg_catalog.lower", "LOWER", "\"lower\"",
		"abs", "json_build_object", "left", "right",
		"substr", "date_trunc", "unnest", "replace", "md5", "round", "greatest", "to_char")
}

// expression returns an expression. Beyond a nesting depth of 5, it is a column or a value.
func (g *generator) expression() string {
	if g.depth++; g.depth > 5 {
		g.depth--
		return g.pick(g.column(), g.literal())
	}
	defer func() { g.depth-- }()
	switch g.IntN(22) {
	case 0, 1, 2:
		return g.column()
	case 3, 4, 5:
		return g.literal()
	case 6, 7:
		return g.call()
	case 8:
		operators := []string{"+", "-", "*", "/", "||", "=", "<", ">=", "<>", "AND", "OR", "->>", "@>", "~", "%"}
		return g.expression() + g.space() + g.pick(operators...) + g.space() + g.expression()
	case 9:
		return "(" + g.expression() + ")"
	case 10:
		return "(" + g.selectStatement() + ")"
	case 11:
		return g.column() + " IN (" + g.expression() + ", " + g.literal() + ")"
	case 12:
		return "EXISTS (" + g.selectStatement() + ")"
	case 13:
		return "CASE WHEN " + g.expression() + " THEN " + g.expression() + " ELSE " + g.expression() + " END"
	case 14:
		return "CAST(" + g.expression() + " AS " + g.pick("int", "numeric(10, 2)", "varchar(3)", "text") + ")"
	case 15:
		return "(" + g.expression() + ")::" + g.pick("int", "numeric(10,2)", "text[]", "bit varying(3)",
			"pg_catalog.int4")
	case 16:
		return "count(*) FILTER (WHERE " + g.expression() + ")"
	case 17:
		return "sum(a) OVER (PARTITION BY (" + g.column() + ") ORDER BY " + g.expression() + ")"
	case 18:
		return g.pick("extract(year FROM "+g.column()+")", "substring("+g.column()+" FROM 1 FOR 2)",
			"trim(both 'x' from "+g.column()+")", "position('a' in "+g.column()+")",
			"overlay(a placing b from 1 for 2)", g.column()+" AT TIME ZONE 'UTC'", "a IS DISTINCT FROM b")
	case 19:
		return "ARRAY[" + g.expression() + ", " + g.expression() + "]"
	case 20:
		return g.column() + g.pick(" LIKE ", " NOT ILIKE ", " SIMILAR TO ") + g.literal()
	}
	return "NOT " + g.column() + " BETWEEN " + g.literal() + " AND " + g.literal()
}

// call returns a call of a function that only reads.
func (g *generator) call() string {
	function := g.function()
	arguments := g.expression()
	for g.IntN(3) == 0 {
		arguments += ", " + g.expression()
	}
	return function + g.pick("(", " (", "(") + arguments + ")"
}

// fromItem returns an item of a FROM list.
func (g *generator) fromItem() string {
	switch g.IntN(9) {
	case 0:
		return "(" + g.selectStatement() + ") " + g.pick("", "AS ") + "d"
	case 1:
		return "generate_series(1, 3) " + g.pick("g", "AS g(n)", "g(n)", "WITH ORDINALITY o(p, q)")
	case 2:
		return g.name() + " " + g.pick("t(c1, c2)", "AS t(c1, c2)", "t")
	case 3:
		return "LATERAL (" + g.selectStatement() + ") l"
	case 4:
		return "(VALUES (1, " + g.expression() + ")) v(p, q)"
	case 5:
		return "ROWS FROM (unnest(a), generate_series(1, 2)) r"
	}
	return g.name()
}

// from returns a FROM list.
func (g *generator) from() string {
	list := g.fromItem()
	for g.IntN(3) == 0 {
		switch g.IntN(4) {
		case 0:
			list += ", " + g.fromItem()
		case 1:
			list += g.pick(" JOIN ", " LEFT JOIN ", " FULL OUTER JOIN ") + g.fromItem() + " ON " + g.expression()
		case 2:
			list += " JOIN " + g.fromItem() + " USING (a)"
		default:
			list += g.pick(" CROSS JOIN ", " NATURAL JOIN ") + g.fromItem()
		}
	}
	return list
}

// selectStatement returns a SELECT. Beyond a nesting depth of 5, it selects a single value.
func (g *generator) selectStatement() string {
	if g.depth++; g.depth > 5 {
		g.depth--
		return "SELECT " + g.literal()
	}
	defer func() { g.depth-- }()
	sql := g.pick("SELECT", "select", "SELECT DISTINCT", "SELECT DISTINCT ON (a)", "SELECT ALL") +
		g.space() + g.expression()
	for g.IntN(3) == 0 {
		sql += "," + g.space() + g.expression() + g.pick("", " AS x", " y")
	}
	if g.IntN(5) > 0 {
		sql += g.space() + "FROM " + g.from()
	}
	if g.IntN(2) == 0 {
		sql += g.space() + "WHERE " + g.expression()
	}
	if g.IntN(5) == 0 {
		sql += " GROUP BY " + g.pick("a", "(a, b)", "ROLLUP (a, b)", "GROUPING SETS ((a), ())") +
			g.pick("", " HAVING "+g.expression())
	}
	if g.IntN(6) == 0 {
		sql += g.pick(" UNION ", " UNION ALL ", " EXCEPT ") + g.selectStatement()
	}
	if g.IntN(5) == 0 {
		sql += " ORDER BY " + g.expression() +
			g.pick("", " DESC NULLS LAST", " LIMIT 3", " OFFSET 2 ROWS FETCH FIRST (3) ROWS ONLY")
	}
	if g.IntN(8) == 0 && g.depth == 1 {
		sql = g.pick("WITH ", "WITH RECURSIVE ") + g.pick("w", "w(a, b)") + " AS " +
			g.pick("", "MATERIALIZED ", "NOT MATERIALIZED ") + "(" + g.selectStatement() + ")" +
			g.pick("", ", z(c) AS (VALUES (1), (2))") + " " + sql
	}
	return sql
}

// writingCalls are calls of functions that write or that the catalogue does not contain.
var writingCalls = []string{
	"nextval('s')", "pg_catalog.setval('s', 1)", "NEXTVAL ('s')", "\"nextval\"('s')", "pg_advisory_lock(1)",
	"my_own(1)", "s.lower('a')", "\"Lower\"('x')", "U&\"n\\0065xtval\"('s')",
	"pg_catalog . nextval /* ( */ ('s')", "join(1)", "filter(1)", "over(a)", "first(a)", "columns(1)", "system(1)",
}

// hiddenWrite returns a SELECT with a part that writes, or with a statement that writes after it.
func (g *generator) hiddenWrite() string {
	call := g.pick(writingCalls...)
	sql := g.selectStatement()
	switch g.IntN(9) {
	case 0:
		return strings.Replace(sql, "SELECT", "SELECT "+call+",", 1)
	case 1:
		return sql + " FOR " + g.pick("UPDATE", "SHARE", "NO KEY UPDATE", "KEY SHARE") +
			g.pick("", " OF a", " NOWAIT", " SKIP LOCKED")
	case 2:
		return "WITH d AS (" + g.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t VALUES (1)",
			"INSERT INTO t "+sql, "UPDATE \"T\" SET a = 1", "UPDATE ONLY t SET a = 1") +
			g.pick("", " RETURNING *") + ") " + sql
	case 3:
		return "SELECT a FROM t WHERE b = (" + strings.Replace(sql, "SELECT", "SELECT "+call+",", 1) + ")"
	case 4:
		return "SELECT a INTO u FROM t"
	case 5:
		return "SELECT * FROM " + g.pick("t a(x), ", "t, LATERAL ", "t JOIN ", "ROWS FROM (unnest(a), ") + call +
			g.pick("", " b", " AS b(c)", " ON true", ") r")
	case 6:
		return "SELECT * FROM t ORDER BY " + call
	case 7:
		return "WITH x AS (SELECT 1) " + g.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t SELECT 1",
			"(SELECT 1) ORDER BY "+call, "MERGE INTO t USING u ON t.a = u.a WHEN MATCHED THEN DELETE")
	}
	return sql + "; " + g.pick("DELETE FROM t", "SELECT "+call, "SET x = 1", "COMMIT", "TRUNCATE t",
		"EXPLAIN ANALYZE DELETE FROM t")
}

// mutationPieces are the texts that mutate inserts.
var mutationPieces = []string{
	"'", "\"", "/*", "*/", "--", "$$", "(", ")", "\n", "\\", ".", ";", " ", "E", "::", ",", "nextval('s')",
	" FOR UPDATE ", " AS ", " JOIN ",
}

// mutate changes a text in up to three places. PostgreSQL may reject the result.
func (g *generator) mutate(sql string) string {
	text := []byte(sql)
	for range 1 + g.IntN(3) {
		at := g.IntN(len(text))
		switch g.IntN(4) {
		case 0: // delete
			text = append(text[:at], text[min(len(text), at+1+g.IntN(3)):]...)
		case 1: // insert
			piece := g.pick(mutationPieces...)
			text = append(text[:at], append([]byte(piece), text[at:]...)...)
		case 2: // swap
			other := g.IntN(len(text))
			text[at], text[other] = text[other], text[at]
		default: // copy
			from := g.IntN(len(text))
			to := min(len(text), from+g.IntN(12))
			text = append(text[:at], append(append([]byte{}, text[from:to]...), text[at:]...)...)
		}
		if len(text) == 0 {
			return "SELECT 1"
		}
	}
	return string(text)
}
