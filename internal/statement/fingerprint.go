package statement

import "bytes"

// A fingerprint is the text with each value replaced by a placeholder, words in lower case, one space between tokens,
// and lists of values after IN and rows after VALUES merged. Comments are omitted. Routing analyses each text and does
// not use the fingerprint. Even so, texts with equal fingerprints are routed alike, because a fingerprint contains
// everything that determines the route.

// Placeholders of values in a fingerprint.
const (
	valuePlaceholder     = '?'
	ambiguousPlaceholder = '!' // a value that would end elsewhere with another setting or version; see token
)

// appendToken appends a token of the text to a fingerprint.
func appendToken(dst []byte, sql string, token token) []byte {
	switch token.kind {
	case stringToken, number, parameter:
		if token.ambiguous {
			return appendValue(dst, ambiguousPlaceholder)
		}
		return appendValue(dst, valuePlaceholder)
	}
	dst = appendSpace(dst, sql[token.start])
	if token.kind != word {
		return mergeRows(append(dst, sql[token.start:token.end]...))
	}
	for _, c := range []byte(sql[token.start:token.end]) {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		dst = append(dst, c)
	}
	return dst
}

// appendSpace appends a space if the fingerprint needs one before a token that begins with next.
func appendSpace(dst []byte, next byte) []byte {
	if len(dst) == 0 {
		return dst
	}
	last := dst[len(dst)-1]
	if last == '(' || last == '.' {
		return dst
	}
	switch next {
	case ')', ',', '.', ';':
		return dst
	case '(':
		if classes[last]&continuesName != 0 {
			return dst
		}
	}
	return append(dst, ' ')
}

// appendValue appends the placeholder of a value. In a list of IN or a row of VALUES, it merges the value with the one
// before if both have the same placeholder.
func appendValue(dst []byte, placeholder byte) []byte {
	if n := len(dst); n > 2 && dst[n-1] == ',' && dst[n-2] == placeholder && inValueList(dst[:n-2]) {
		return dst[:n-1]
	}
	dst = appendSpace(dst, placeholder)
	return append(dst, placeholder)
}

// mergeRows removes the last row of VALUES if it equals the row before it.
func mergeRows(dst []byte) []byte {
	const row = "(?)"
	if before, equal := bytes.CutSuffix(dst, []byte(row+", "+row)); equal {
		return dst[:len(before)+len(row)]
	}
	return dst
}

// inValueList reports whether a fingerprint ends in the opening parenthesis of a list of values: after IN, after VALUES
// or after a comma, which precedes another row.
func inValueList(dst []byte) bool {
	n := len(dst)
	if n == 0 || dst[n-1] != '(' {
		return false
	}
	before := dst[:n-1]
	for _, word := range []string{"in", "values", ","} {
		if endsIn(before, word) {
			return true
		}
		if last := len(before) - 1; last >= 0 && before[last] == ' ' && endsIn(before[:last], word) {
			return true
		}
	}
	return false
}

// endsIn reports whether a fingerprint ends in a word.
func endsIn(dst []byte, word string) bool {
	return len(dst) >= len(word) && string(dst[len(dst)-len(word):]) == word
}
