package statement

import "strings"

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	endToken    tokenKind = iota // the end of the text
	word                         // a keyword or an unquoted name
	quoted                       // a quoted name
	stringToken                  // a string constant of any form
	number
	parameter     // $1
	operatorToken // an operator
	punctuation   // one of ( ) [ ] , ; . :
	invalidToken  // a byte that cannot begin a token, or an unterminated token
)

// token is a token of a text, from start to before end, in bytes.
type token struct {
	kind       tokenKind
	start, end int
	// ambiguous: it differs with standard_conforming_strings off (string), has Unicode escapes (name), or ends earlier
	// in PostgreSQL up to 14, which reads another token behind it (number, parameter).
	ambiguous bool
}

// lexer splits a text into tokens by the lexical rules of PostgreSQL ("Lexical Structure" in its documentation) with
// standard_conforming_strings on. It visits each byte a bounded number of times and does not allocate.
type lexer struct {
	sql          string
	position     int                      // offset of the next byte
	comment      struct{ start, end int } // the last complete block comment
	commentStart int                      // start of the last block comment, complete or not
}

// peek returns the byte at an offset from the current position, or 0 beyond the end.
func (l *lexer) peek(offset int) byte {
	if l.position+offset < len(l.sql) {
		return l.sql[l.position+offset]
	}
	return 0
}

// Classes of bytes, as bits.
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

// next returns the next token. At the end, and after an invalid token, it returns an endToken.
func (l *lexer) next() token {
	if !l.skipBlanks() {
		return l.fail(l.commentStart)
	}
	start := l.position
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
		l.position++
		return token{kind: punctuation, start: start, end: l.position}
	case char == ':':
		l.position++
		if l.peek(0) == ':' || l.peek(0) == '=' {
			l.position++
			return token{kind: operatorToken, start: start, end: l.position}
		}
		return token{kind: punctuation, start: start, end: l.position}
	case classes[char]&operator != 0:
		return l.operator(start)
	}
	return l.fail(start)
}

// fail returns an invalid token that extends to the end of the text.
func (l *lexer) fail(start int) token {
	l.position = len(l.sql)
	return token{kind: invalidToken, start: start, end: len(l.sql)}
}

// skipBlanks skips white space and comments. It returns false if a block comment is unterminated.
func (l *lexer) skipBlanks() bool {
	for l.position < len(l.sql) {
		switch c := l.sql[l.position]; {
		case classes[c]&space != 0:
			l.position++
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

// lineComment skips a comment that extends to the end of its line.
func (l *lexer) lineComment() {
	for l.position < len(l.sql) && l.sql[l.position] != '\n' && l.sql[l.position] != '\r' {
		l.position++
	}
}

// blockComment skips a block comment, which may contain nested ones. It returns false if the comment is unterminated.
func (l *lexer) blockComment() bool {
	l.commentStart = l.position
	depth := 1
	for l.position += 2; depth > 0; {
		i := strings.IndexAny(l.sql[l.position:], "*/")
		if i < 0 || l.position+i+1 >= len(l.sql) {
			return false
		}
		l.position += i
		switch pair := l.sql[l.position : l.position+2]; pair {
		case "/*":
			depth++
			l.position += 2
		case "*/":
			depth--
			l.position += 2
		default:
			l.position++
		}
	}
	l.comment.start, l.comment.end = l.commentStart, l.position
	return true
}

// quotedString reads a string whose opening quote ends a prefix of so many bytes. With escapes, a backslash escapes the
// next byte.
func (l *lexer) quotedString(start, prefix int, escapes bool) token {
	token := token{kind: stringToken, start: start}
	l.position = start + prefix
	for {
		i := 0
		if escapes {
			i = strings.IndexAny(l.sql[l.position:], "'\\")
		} else {
			i = strings.IndexByte(l.sql[l.position:], '\'')
		}
		if i < 0 {
			return l.fail(start)
		}
		if l.position += i; l.sql[l.position] == '\\' {
			l.position = min(l.position+2, len(l.sql))
			continue
		}
		token.ambiguous = token.ambiguous || !escapes && l.sql[l.position-1] == '\\'
		if l.position++; l.peek(0) == '\'' {
			l.position++
			continue
		}
		if !l.continued() {
			token.end = l.position
			return token
		}
	}
}

// continued reports whether another string continues this one. Only white space and line comments may be between them,
// with at least one line break. If so, continued skips the opening quote of the other string.
func (l *lexer) continued() bool {
	newline := false
	for i := l.position; i < len(l.sql); i++ {
		switch c := l.sql[i]; {
		case c == '\n' || c == '\r':
			newline = true
		case classes[c]&space != 0:
		case c == '-' && i+1 < len(l.sql) && l.sql[i+1] == '-':
			for i+1 < len(l.sql) && l.sql[i+1] != '\n' && l.sql[i+1] != '\r' {
				i++
			}
		case c == '\'' && newline:
			l.position = i + 1
			return true
		default:
			return false
		}
	}
	return false
}

// quotedName reads a quoted name whose opening quote ends a prefix of so many bytes.
func (l *lexer) quotedName(start, prefix int) token {
	l.position = start + prefix
	for {
		i := strings.IndexByte(l.sql[l.position:], '"')
		if i < 0 {
			return l.fail(start)
		}
		if l.position += i + 1; l.peek(0) != '"' {
			break
		}
		l.position++
	}
	if l.position-start == prefix+1 { // empty names are not allowed
		return l.fail(start)
	}
	return token{kind: quoted, start: start, end: l.position, ambiguous: prefix > 1}
}

// word reads a word, or a string or quoted name whose prefix begins with a letter.
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
	for l.position < len(l.sql) && classes[l.sql[l.position]]&continuesName != 0 {
		l.position++
	}
	return token{kind: word, start: start, end: l.position}
}

// number reads a number, including letters that directly follow it, which make it ambiguous.
func (l *lexer) number(start int) token {
	l.skipNumber(start)
	return token{kind: number, start: start, end: l.position, ambiguous: !isNumber(l.sql[start:l.position])}
}

// skipNumber skips a number that begins at start.
func (l *lexer) skipNumber(start int) {
	for l.position < len(l.sql) {
		c := l.sql[l.position]
		switch {
		case classes[c]&continuesName != 0 && c != '$':
			l.position++
			signed := (c == 'e' || c == 'E') && (l.peek(0) == '+' || l.peek(0) == '-') && classes[l.peek(1)]&digit != 0
			if signed && !l.hexadecimalAt(start) {
				l.position++
			}
		case c == '.' && l.peek(1) != '.':
			l.position++
		default:
			return
		}
	}
}

const digits = "0123456789_" // of a number, with the separator of groups

// isNumber reports whether a text is a whole number of any form, and nothing else.
func isNumber(text string) bool {
	if len(text) > 2 && text[0] == '0' && strings.IndexByte("xXoObB", text[1]) >= 0 {
		return strings.Trim(text[2:], digits+"abcdefABCDEF") == ""
	}
	text = strings.TrimLeft(text, digits)
	text = strings.TrimPrefix(text, ".")
	text = strings.TrimLeft(text, digits)
	if text == "" {
		return true
	}
	if text[0] != 'e' && text[0] != 'E' {
		return false
	}
	exponent := strings.TrimLeft(text[1:], "+-")
	return exponent != "" && strings.Trim(exponent, digits) == ""
}

// hexadecimalAt reports whether the number that begins at start has the prefix of hexadecimal numbers.
func (l *lexer) hexadecimalAt(start int) bool {
	return l.sql[start] == '0' && start+1 < l.position && (l.sql[start+1] == 'x' || l.sql[start+1] == 'X')
}

// dollar reads a parameter or a dollar-quoted string.
func (l *lexer) dollar(start int) token {
	i := start + 1
	if i < len(l.sql) && classes[l.sql[i]]&digit != 0 {
		for i < len(l.sql) && classes[l.sql[i]]&continuesName != 0 && l.sql[i] != '$' {
			i++
		}
		l.position = i
		return token{kind: parameter, start: start, end: i, ambiguous: strings.Trim(l.sql[start+1:i], digits) != ""}
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
	l.position = i + 1 + closing + len(tag)
	return token{kind: stringToken, start: start, end: l.position}
}

// operator reads an operator, which ends before a comment.
func (l *lexer) operator(start int) token {
	for l.position < len(l.sql) && classes[l.sql[l.position]]&operator != 0 {
		if l.position > start &&
			(l.sql[l.position] == '-' && l.peek(1) == '-' || l.sql[l.position] == '/' && l.peek(1) == '*') {
			break
		}
		l.position++
	}
	return token{kind: operatorToken, start: start, end: l.position}
}
