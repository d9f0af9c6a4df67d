package statement

import (
	"strings"
)

// kind of a token.
type kind uint8

const (
	end    kind = iota
	word        // a key word or a name without quotes
	quoted      // a name in quotes
	text        // a string of any sort
	number
	param // $1
	sign  // an operator
	mark  // one of ( ) [ ] , ; . :
	bad   // what cannot be the start of a token, or has no end
)

// token is a piece of a text, from start to end in bytes.
type token struct {
	kind       kind
	start, end int
	odd        bool // of a string: it reads otherwise where backslashes escape; of a name: it holds Unicode escapes
}

// lexer cuts a text into tokens by the lexical rules of PostgreSQL with standard_conforming_strings on ("Lexical
// Structure" in its documentation). It goes over each byte a bounded number of times, and needs no memory.
type lexer struct {
	s       string
	at      int
	comment struct{ start, end int } // the last block comment passed
	opened  int                      // where the last one began, be it whole or not
}

func (l *lexer) peek(i int) byte {
	if l.at+i < len(l.s) {
		return l.s[l.at+i]
	}
	return 0
}

const (
	space = 1 << iota
	begins
	goesOn
	digit
	operator
	hexadecimal
)

var classes = func() (c [256]uint8) {
	set := func(chars string, class uint8) {
		for i := range len(chars) {
			c[chars[i]] |= class
		}
	}
	set(" \t\n\r\f\v", space)
	set("0123456789", digit|goesOn|hexadecimal)
	set("abcdefABCDEF", hexadecimal)
	set("+-*/<>=~!@#%^&|`?", operator)
	set("_", begins|goesOn)
	set("$", goesOn)
	for b := 'a'; b <= 'z'; b++ {
		c[b] |= begins | goesOn
		c[b-'a'+'A'] |= begins | goesOn
	}
	for b := 0x80; b <= 0xff; b++ {
		c[b] |= begins | goesOn
	}
	return c
}()

// next returns the next token. At the end, and behind a bad token, it returns end.
func (l *lexer) next() token {
	if !l.skip() {
		return l.fail(l.opened)
	}
	start := l.at
	if start >= len(l.s) {
		return token{kind: end, start: start, end: start}
	}
	c := l.s[start]
	switch {
	case c == '\'':
		return l.str(start, 1, false)
	case c == '"':
		return l.name(start, 1)
	case classes[c]&begins != 0:
		return l.word(start)
	case classes[c]&digit != 0, c == '.' && classes[l.peek(1)]&digit != 0:
		return l.number(start)
	case c == '$':
		return l.dollar(start)
	case strings.IndexByte("()[],;.", c) >= 0:
		l.at++
		return token{kind: mark, start: start, end: l.at}
	case c == ':':
		l.at++
		if l.peek(0) == ':' || l.peek(0) == '=' {
			l.at++
			return token{kind: sign, start: start, end: l.at}
		}
		return token{kind: mark, start: start, end: l.at}
	case classes[c]&operator != 0:
		return l.operator(start)
	}
	return l.fail(start)
}

// fail ends the text at what is not to be read.
func (l *lexer) fail(start int) token {
	l.at = len(l.s)
	return token{kind: bad, start: start, end: len(l.s)}
}

// skip passes white space and comments. It returns false at a block comment without end.
func (l *lexer) skip() bool {
	for l.at < len(l.s) {
		switch c := l.s[l.at]; {
		case classes[c]&space != 0:
			l.at++
		case c == '-' && l.peek(1) == '-':
			l.line()
		case c == '/' && l.peek(1) == '*':
			if !l.block() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

// line passes a comment up to the end of its line.
func (l *lexer) line() {
	for l.at < len(l.s) && l.s[l.at] != '\n' && l.s[l.at] != '\r' {
		l.at++
	}
}

// block passes a comment that may hold others.
func (l *lexer) block() bool {
	l.opened = l.at
	depth := 1
	for l.at += 2; depth > 0; {
		i := strings.IndexAny(l.s[l.at:], "*/")
		if i < 0 || l.at+i+1 >= len(l.s) {
			return false
		}
		l.at += i
		switch two := l.s[l.at : l.at+2]; two {
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
	l.comment.start, l.comment.end = l.opened, l.at
	return true
}

// str reads a string whose quote stands behind a prefix. In one with escapes, a backslash takes the next byte's meaning.
func (l *lexer) str(start, prefix int, escapes bool) token {
	t := token{kind: text, start: start}
	l.at = start + prefix
	for {
		i := 0
		if escapes {
			i = strings.IndexAny(l.s[l.at:], "'\\")
		} else {
			i = strings.IndexByte(l.s[l.at:], '\'')
		}
		if i < 0 {
			return l.fail(start)
		}
		if l.at += i; l.s[l.at] == '\\' {
			l.at = min(l.at+2, len(l.s))
			continue
		}
		t.odd = t.odd || !escapes && l.s[l.at-1] == '\\'
		if l.at++; l.peek(0) == '\'' {
			l.at++
			continue
		}
		if !l.continued() {
			t.end = l.at
			return t
		}
	}
}

// continued tells whether a string goes on behind a line's end, as two strings with nothing else between them do, and
// if so passes its next quote.
func (l *lexer) continued() bool {
	line := false
	for i := l.at; i < len(l.s); i++ {
		switch c := l.s[i]; {
		case c == '\n' || c == '\r':
			line = true
		case classes[c]&space != 0:
		case c == '-' && i+1 < len(l.s) && l.s[i+1] == '-':
			for i+1 < len(l.s) && l.s[i+1] != '\n' && l.s[i+1] != '\r' {
				i++
			}
		case c == '\'' && line:
			l.at = i + 1
			return true
		default:
			return false
		}
	}
	return false
}

// name reads a name in quotes, whose opening one stands behind a prefix.
func (l *lexer) name(start, prefix int) token {
	l.at = start + prefix
	for {
		i := strings.IndexByte(l.s[l.at:], '"')
		if i < 0 {
			return l.fail(start)
		}
		if l.at += i + 1; l.peek(0) != '"' {
			break
		}
		l.at++
	}
	if l.at-start == prefix+1 { // a name is not empty
		return l.fail(start)
	}
	return token{kind: quoted, start: start, end: l.at, odd: prefix > 1}
}

// word reads a word, or a string or name that begins with a letter.
func (l *lexer) word(start int) token {
	next := l.peek(1)
	switch l.s[start] {
	case 'e', 'E':
		if next == '\'' {
			return l.str(start, 2, true)
		}
	case 'b', 'B', 'x', 'X', 'n', 'N':
		if next == '\'' {
			return l.str(start, 2, false)
		}
	case 'u', 'U':
		if next == '&' && l.peek(2) == '\'' {
			return l.str(start, 3, false)
		}
		if next == '&' && l.peek(2) == '"' {
			return l.name(start, 3)
		}
	}
	for l.at < len(l.s) && classes[l.s[l.at]]&goesOn != 0 {
		l.at++
	}
	return token{kind: word, start: start, end: l.at}
}

// number reads a number. Where it ends matters only so far that what follows is not read otherwise than PostgreSQL does:
// letters right behind a number are part of no other token there, but an error.
func (l *lexer) number(start int) token {
	for l.at < len(l.s) {
		c := l.s[l.at]
		switch {
		case classes[c]&goesOn != 0 && c != '$':
			l.at++
			if (c == 'e' || c == 'E') && (l.peek(0) == '+' || l.peek(0) == '-') && classes[l.peek(1)]&digit != 0 &&
				!(l.s[start] == '0' && start+1 < l.at && (l.s[start+1] == 'x' || l.s[start+1] == 'X')) {
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

// dollar reads a parameter or a string in dollar quotes.
func (l *lexer) dollar(start int) token {
	i := start + 1
	if i < len(l.s) && classes[l.s[i]]&digit != 0 {
		for i < len(l.s) && classes[l.s[i]]&goesOn != 0 && l.s[i] != '$' {
			i++
		}
		l.at = i
		return token{kind: param, start: start, end: i}
	}
	if i < len(l.s) && classes[l.s[i]]&begins != 0 {
		for i < len(l.s) && classes[l.s[i]]&goesOn != 0 && l.s[i] != '$' {
			i++
		}
	}
	if i >= len(l.s) || l.s[i] != '$' {
		return l.fail(start)
	}
	tag := l.s[start : i+1]
	close := strings.Index(l.s[i+1:], tag)
	if close < 0 {
		return l.fail(start)
	}
	l.at = i + 1 + close + len(tag)
	return token{kind: text, start: start, end: l.at}
}

// operator reads an operator. One that holds the beginning of a comment ends before it.
func (l *lexer) operator(start int) token {
	for l.at < len(l.s) && classes[l.s[l.at]]&operator != 0 {
		if l.at > start && (l.s[l.at] == '-' && l.peek(1) == '-' || l.s[l.at] == '/' && l.peek(1) == '*') {
			break
		}
		l.at++
	}
	return token{kind: sign, start: start, end: l.at}
}
