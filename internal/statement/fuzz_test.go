package statement

import (
	"testing"
	"unicode/utf8"
)

// FuzzRead feeds any text. Whatever it is: it is read without a panic and twice alike, what is said to be where lies
// within it, and a write that follows is never lost behind it, as what could hide it cannot be read.
func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"SELECT 1", "SELECT 'a''b' /* /* */ */ -- x\n", "WITH a AS (DELETE FROM t) SELECT", "$a$ $$ $a$", "E'\\''", "U&\"a\" U&'b'",
		"explain (analyze) select", "f(x).y.z(1)", "1.e+5..2 :: := $1 @-- x", "/*", "'a'\n'b'", "\xff", ";;", "((((", "select a from b c(d)",
	} {
		f.Add(s)
	}
	a, b := New(&Rules{}), New(&Rules{})
	f.Fuzz(func(t *testing.T, sql string) {
		info := a.Read(sql)
		if again := b.Read(sql); again != info || string(a.Fingerprint()) != string(b.Fingerprint()) {
			t.Fatalf("%q is read in two ways", sql)
		}
		for _, s := range append([]Span{info.Where, info.Comment}, info.Relations[:min(NamesMost, info.RelationsN)]...) {
			if s.Start < 0 || s.End < s.Start || s.End > len(sql) {
				t.Fatalf("%q: span %v", sql, s)
			}
		}
		if len(a.Fingerprint()) > 2*len(sql)+16 {
			t.Fatalf("%q: its fingerprint is %d long", sql, len(a.Fingerprint()))
		}
		if info.Why == Unreadable && !info.MayWrite || !utf8.ValidString(sql) && !info.MayWrite {
			t.Fatalf("%q is not to be read and yet a read", sql)
		}
		for _, tail := range []string{"\n;DELETE FROM t", "\n;SELECT nextval('s')", "\n;WITH x AS (UPDATE t SET a = 1) SELECT 1"} {
			if !b.Read(sql + tail).MayWrite {
				t.Fatalf("%q hides %q", sql, tail)
			}
		}
	})
}
