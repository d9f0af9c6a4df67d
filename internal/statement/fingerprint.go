package statement

import "bytes"

// A fingerprint is the text with each value replaced by a question mark, words in lower case, one space between
// tokens, and lists of values after IN and rows after VALUES merged. Comments are left out. Routing does not use the
// fingerprint but analyses each text. Everything that decides there is part of the fingerprint nevertheless, so that
// texts with one fingerprint are routed alike.

// Signs of values in a fingerprint.
const (
	valueSign   = '?'
	specialSign = '!' // a string that would differ if backslashes escaped
)

// appendToken appends a token of the text to a fingerprint.
func appendToken(dst []byte, sql string, token token) []byte {
	switch token.kind {
	case stringToken:
		if token.special {
			return appendValue(dst, specialSign)
		}
		return appendValue(dst, valueSign)
	case number, parameter:
		return appendValue(dst, valueSign)
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

// appendSpace appends the space before a token, where one belongs there.
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

// appendValue appends the sign of a value. In a list of values only, of IN or of a row, it replaces the value before
// it if that has the same sign.
func appendValue(dst []byte, sign byte) []byte {
	if n := len(dst); n > 2 && dst[n-1] == ',' && dst[n-2] == sign && inValueList(dst[:n-2]) {
		return dst[:n-1]
	}
	dst = appendSpace(dst, sign)
	return append(dst, sign)
}

// mergeRows removes a row of VALUES that equals the one before it.
func mergeRows(dst []byte) []byte {
	const row = "(?)"
	if cut, both := bytes.CutSuffix(dst, []byte(row+", "+row)); both {
		return dst[:len(cut)+len(row)]
	}
	return dst
}

// inValueList reports whether a fingerprint ends in a bracket that opens a list of values: of IN, of VALUES or of a
// further row.
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
