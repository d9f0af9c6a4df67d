package statement

import "strings"

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	endToken    tokenKind = iota
	word                  // a keyword or an unquoted name
	quoted                // a quoted name
	stringToken           // a string constant of any form
	number
	parameter     // $1
	operatorToken // an operator
	punctuation   // one of ( ) [ ] , ; . :
	invalidToken  // no token starts like this, or it is not terminated
)

// token is a part of a text, from start to end as byte offsets.
type token struct {
	kind       tokenKind
	start, end int
	special    bool // string: it would differ if backslashes escaped; name: with Unicode escapes
}

// lexer splits a text into tokens by the lexical rules of PostgreSQL with standard_conforming_strings on ("Lexical
// Structure" in its documentation). It visits each byte a bounded number of times and does not allocate.
type lexer struct {
	sql          string
	at           int
	comment      struct{ start, end int } // the last complete block comment
	commentStart int                      // start of the last one, complete or not
}

// peek returns the byte at an offset from the current one, 0 beyond the end.
func (l *lexer) peek(i int) byte {
	if l.at+i < len(l.sql) {
		return l.sql[l.at+i]
	}
	return 0
}

// Classes of bytes.
const (
	space = 1 << iota
	beginsName
	continuesName
	digit
	operator
	hexadecimal
)

// classes holds the classes of each byte.
var classes = func() (c [256]uint8) {
	set := func(chars string, class uint8) {
		for i := range len(chars) {
			c[chars[i]] |= class
		}
	}
	set(" \t\n\r\f\v", space)
	set("0123456789", digit|continuesName|hexadecimal)
	set("abcdefABCDEF", hexadecimal)
	set("+-*/<>=~!@#%^&|`?", operator)
	set("_", beginsName|continuesName)
	set("$", continuesName)
	for b := 'a'; b <= 'z'; b++ {
		c[b] |= beginsName | continuesName
		c[b-'a'+'A'] |= beginsName | continuesName
	}
	for b := 0x80; b <= 0xff; b++ {
		c[b] |= beginsName | continuesName
	}
	return c
}()

// next returns the next token. At the end, and behind a bad token, it returns end.
func (l *lexer) next() token {
	if !l.skipBlanks() {
		return l.fail(l.commentStart)
	}
	start := l.at
	if start >= len(l.sql) {
		return token{kind: endToken, start: start, end: start}
	}
	char := l.sql[start]
	switch {
	case char == '\'':
		return l.quotedString(start, 1, false)
	case char == '"':
		return l.quotedName(start, 1)
	case classes[char]&beginsName != 0:
		return l.word(start)
	case classes[char]&digit != 0, char == '.' && classes[l.peek(1)]&digit != 0:
		return l.number(start)
	case char == '$':
		return l.dollar(start)
	case strings.IndexByte("()[],;.", char) >= 0:
		l.at++
		return token{kind: punctuation, start: start, end: l.at}
	case char == ':':
		l.at++
		if l.peek(0) == ':' || l.peek(0) == '=' {
			l.at++
			return token{kind: operatorToken, start: start, end: l.at}
		}
		return token{kind: punctuation, start: start, end: l.at}
	case classes[char]&operator != 0:
		return l.operator(start)
	}
	return l.fail(start)
}

// fail returns an invalid token that extends to the end of the text.
func (l *lexer) fail(start int) token {
	l.at = len(l.sql)
	return token{kind: invalidToken, start: start, end: len(l.sql)}
}

// skipBlanks skips white space and comments. It returns false at an unterminated block comment.
func (l *lexer) skipBlanks() bool {
	for l.at < len(l.sql) {
		switch c := l.sql[l.at]; {
		case classes[c]&space != 0:
			l.at++
		case c == '-' && l.peek(1) == '-':
			l.lineComment()
		case c == '/' && l.peek(1) == '*':
			if !l.blockComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

// lineComment skips a comment up to the end of its line.
func (l *lexer) lineComment() {
	for l.at < len(l.sql) && l.sql[l.at] != '\n' && l.sql[l.at] != '\r' {
		l.at++
	}
}

// blockComment skips a block comment, in which others may be nested. It returns false if it is not terminated.
func (l *lexer) blockComment() bool {
	l.commentStart = l.at
	depth := 1
	for l.at += 2; depth > 0; {
		i := strings.IndexAny(l.sql[l.at:], "*/")
		if i < 0 || l.at+i+1 >= len(l.sql) {
			return false
		}
		l.at += i
		switch two := l.sql[l.at : l.at+2]; two {
		case "/*":
			depth++
			l.at += 2
		case "*/":
			depth--
			l.at += 2
		default:
			l.at++
		}
	}
	l.comment.start, l.comment.end = l.commentStart, l.at
	return true
}

// quotedString reads a string whose quote follows a prefix. With escapes, a backslash escapes the next byte.
func (l *lexer) quotedString(start, prefix int, escapes bool) token {
	token := token{kind: stringToken, start: start}
	l.at = start + prefix
	for {
		i := 0
		if escapes {
			i = strings.IndexAny(l.sql[l.at:], "'\\")
		} else {
			i = strings.IndexByte(l.sql[l.at:], '\'')
		}
		if i < 0 {
			return l.fail(start)
		}
		if l.at += i; l.sql[l.at] == '\\' {
			l.at = min(l.at+2, len(l.sql))
			continue
		}
		token.special = token.special || !escapes && l.sql[l.at-1] == '\\'
		if l.at++; l.peek(0) == '\'' {
			l.at++
			continue
		}
		if !l.continued() {
			token.end = l.at
			return token
		}
	}
}

// continued reports whether a string is continued: by another one with only white space and a line's end between
// them. If so, it skips the next opening quote.
func (l *lexer) continued() bool {
	newline := false
	for i := l.at; i < len(l.sql); i++ {
		switch c := l.sql[i]; {
		case c == '\n' || c == '\r':
			newline = true
		case classes[c]&space != 0:
		case c == '-' && i+1 < len(l.sql) && l.sql[i+1] == '-':
			for i+1 < len(l.sql) && l.sql[i+1] != '\n' && l.sql[i+1] != '\r' {
				i++
			}
		case c == '\'' && newline:
			l.at = i + 1
			return true
		default:
			return false
		}
	}
	return false
}

// quotedName reads a quoted name whose opening quote follows a prefix.
func (l *lexer) quotedName(start, prefix int) token {
	l.at = start + prefix
	for {
		i := strings.IndexByte(l.sql[l.at:], '"')
		if i < 0 {
			return l.fail(start)
		}
		if l.at += i + 1; l.peek(0) != '"' {
			break
		}
		l.at++
	}
	if l.at-start == prefix+1 { // empty names are not allowed
		return l.fail(start)
	}
	return token{kind: quoted, start: start, end: l.at, special: prefix > 1}
}

// word reads a word, or a string or quoted name with a letter as its prefix.
func (l *lexer) word(start int) token {
	next := l.peek(1)
	switch l.sql[start] {
	case 'e', 'E':
		if next == '\'' {
			return l.quotedString(start, 2, true)
		}
	case 'b', 'B', 'x', 'X', 'n', 'N':
		if next == '\'' {
			return l.quotedString(start, 2, false)
		}
	case 'u', 'U':
		if next == '&' && l.peek(2) == '\'' {
			return l.quotedString(start, 3, false)
		}
		if next == '&' && l.peek(2) == '"' {
			return l.quotedName(start, 3)
		}
	}
	for l.at < len(l.sql) && classes[l.sql[l.at]]&continuesName != 0 {
		l.at++
	}
	return token{kind: word, start: start, end: l.at}
}

// number reads a number. Its end need only be so exact that what follows is read as PostgreSQL does: letters directly
// after a number are an error there, not another token.
func (l *lexer) number(start int) token {
	for l.at < len(l.sql) {
		c := l.sql[l.at]
		switch {
		case classes[c]&continuesName != 0 && c != '$':
			l.at++
			signed := (c == 'e' || c == 'E') && (l.peek(0) == '+' || l.peek(0) == '-') && classes[l.peek(1)]&digit != 0
			if signed && !l.hexadecimalAt(start) {
				l.at++
			}
		case c == '.' && l.peek(1) != '.':
			l.at++
		default:
			return token{kind: number, start: start, end: l.at}
		}
	}
	return token{kind: number, start: start, end: l.at}
}

// hexadecimalAt reports whether the number that is being read from start on has the prefix of hexadecimal numbers.
func (l *lexer) hexadecimalAt(start int) bool {
	return l.sql[start] == '0' && start+1 < l.at && (l.sql[start+1] == 'x' || l.sql[start+1] == 'X')
}

// dollar reads a parameter or a dollar-quoted string.
func (l *lexer) dollar(start int) token {
	i := start + 1
	if i < len(l.sql) && classes[l.sql[i]]&digit != 0 {
		for i < len(l.sql) && classes[l.sql[i]]&continuesName != 0 && l.sql[i] != '$' {
			i++
		}
		l.at = i
		return token{kind: parameter, start: start, end: i}
	}
	if i < len(l.sql) && classes[l.sql[i]]&beginsName != 0 {
		for i < len(l.sql) && classes[l.sql[i]]&continuesName != 0 && l.sql[i] != '$' {
			i++
		}
	}
	if i >= len(l.sql) || l.sql[i] != '$' {
		return l.fail(start)
	}
	tag := l.sql[start : i+1]
	closing := strings.Index(l.sql[i+1:], tag)
	if closing < 0 {
		return l.fail(start)
	}
	l.at = i + 1 + closing + len(tag)
	return token{kind: stringToken, start: start, end: l.at}
}

// operator reads an operator. It ends before the beginning of a comment.
func (l *lexer) operator(start int) token {
	for l.at < len(l.sql) && classes[l.sql[l.at]]&operator != 0 {
		if l.at > start && (l.sql[l.at] == '-' && l.peek(1) == '-' || l.sql[l.at] == '/' && l.peek(1) == '*') {
			break
		}
		l.at++
	}
	return token{kind: operatorToken, start: start, end: l.at}
}
