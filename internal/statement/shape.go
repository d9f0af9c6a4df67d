package statement

import "bytes"

// Shapes. A shape is the text with each value as a question mark, words folded, one space between tokens, and lists of
// values after IN and rows after VALUES taken together. Comments are no part of it. Routing never goes by a shape: it is
// read from each text anew. What decides there is told in the shape all the same, so that one shape is routed one way.

// shapeOf appends a token to a shape. w is its word, if it is a key word.
func shapeOf(dst []byte, sql string, t token, w string) []byte {
	switch t.kind {
	case text:
		if t.odd {
			return value(dst, '!')
		}
		return value(dst, '?')
	case number, param:
		return value(dst, '?')
	}
	dst = gap(dst, sql[t.start])
	if t.kind != word {
		return rows(append(dst, sql[t.start:t.end]...))
	}
	for _, c := range []byte(sql[t.start:t.end]) {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		dst = append(dst, c)
	}
	return dst
}

// gap appends the space before a token, where one is due.
func gap(dst []byte, next byte) []byte {
	if len(dst) == 0 {
		return dst
	}
	last := dst[len(dst)-1]
	if last == '(' || last == '.' || next == ')' || next == ',' || next == '.' || next == ';' || next == '(' && classes[last]&goesOn != 0 {
		return dst
	}
	return append(dst, ' ')
}

// value appends a value. In a list that holds nothing but values, of IN or of a row, it takes the place of the one before
// it; a row of VALUES that is as the one before it takes that one's place.
func value(dst []byte, sign byte) []byte {
	if n := len(dst); n > 2 && dst[n-1] == ',' && dst[n-2] == sign && listed(dst[:n-2]) {
		return dst[:n-1]
	}
	dst = gap(dst, sign)
	return append(dst, sign)
}

// rows takes a row of values that is as the one before it out again.
func rows(dst []byte) []byte {
	const row = "(?)"
	if cut, both := bytes.CutSuffix(dst, []byte(row+", "+row)); both {
		return dst[:len(cut)+len(row)]
	}
	return dst
}

// listed tells whether a shape ends in a bracket that opens a list of values: of IN, of VALUES or of a further row.
func listed(dst []byte) bool {
	n := len(dst)
	if n == 0 || dst[n-1] != '(' {
		return false
	}
	before := dst[:n-1]
	for _, word := range []string{"in", "values", ","} {
		if len(before) >= len(word) && string(before[len(before)-len(word):]) == word {
			return true
		}
		if len(before) > len(word) && before[len(before)-1] == ' ' && string(before[len(before)-1-len(word):len(before)-1]) == word {
			return true
		}
	}
	return false
}
