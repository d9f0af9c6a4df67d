package statement

import (
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// followingWrites are statements that must be detected after any text.
var followingWrites = []string{
	"\n;DELETE FROM t",
	"\n;SELECT nextval('s')",
	"\n;WITH x AS (UPDATE t SET a = 1) SELECT 1",
}

// FuzzRead analyses arbitrary text. It proves that Read does not panic, that its result is deterministic, that the
// reported spans are within the text, and that no text hides a write that follows. A text that could hide one must be
// classified as Unreadable.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"SELECT 1", "SELECT 'a''b' /* /* */ */ -- x\n", "WITH a AS (DELETE FROM t) SELECT", "$a$ $$ $a$", "E'\\''",
		"U&\"a\" U&'b'", "explain (analyze) select", "f(x).y.z(1)", "1.e+5..2 :: := $1 @-- x", "/*", "'a'\n'b'",
		"\xff", ";;", "((((", "select a from b c(d)",
	} {
		f.Add(seed)
	}
	analyser, second := New(noRules), New(noRules)
	f.Fuzz(func(t *testing.T, sql string) {
		info := analyser.Analyse(sql)
		require.Equal(t, info, second.Analyse(sql), "the results of two analyses of %q differ", sql)
		require.Equal(t, string(analyser.Fingerprint()), string(second.Fingerprint()), "%q", sql)
		require.LessOrEqual(t, len(analyser.Fingerprint()), 2*len(sql)+16, "fingerprint of %q", sql)
		spans := append([]Span{info.Where, info.Comment}, info.Relations[:min(MaxNames, info.RelationCount)]...)
		for _, span := range spans {
			require.GreaterOrEqual(t, span.Start, 0, "%q", sql)
			require.GreaterOrEqual(t, span.End, span.Start, "%q", sql)
			require.LessOrEqual(t, span.End, len(sql), "%q", sql)
		}
		if info.Why == Unreadable || !utf8.ValidString(sql) {
			require.True(t, info.MayWrite, "%q is unreadable, but not a possible write", sql)
		}
		for _, write := range followingWrites {
			require.True(t, second.Analyse(sql+write).MayWrite, "%q hides %q", sql, write)
		}
	})
}
