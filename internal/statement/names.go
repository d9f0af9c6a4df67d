package statement

import "unicode/utf8"

// maxNameBytes is the length to which PostgreSQL truncates names (NAMEDATALEN - 1).
const maxNameBytes = 63

// namePart is one part of a name that is qualified by dots.
type namePart struct {
	token token
	name  []byte // folded and truncated as PostgreSQL does it; nil if it cannot be determined
}

// foldName returns an unquoted name as PostgreSQL folds it: ASCII letters in lower case, truncated to maxNameBytes.
func foldName(dst *[maxNameBytes]byte, s string) []byte {
	n := min(len(s), maxNameBytes)
	for n < len(s) && n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	for i := range n {
		c := s[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		dst[i] = c
	}
	return dst[:n]
}

// unquoteName returns a quoted name without its quotes, truncated to maxNameBytes.
func unquoteName(dst *[maxNameBytes]byte, s string) []byte {
	n := 0
	for i := 1; i < len(s)-1; i++ {
		if s[i] == '"' {
			i++
		}
		if n == maxNameBytes {
			for n > 0 && !utf8.RuneStart(s[i]) { // truncate between characters
				n--
				if utf8.RuneStart(dst[n]) {
					break
				}
			}
			break
		}
		dst[n] = s[i]
		n++
	}
	return dst[:n]
}

// addNamePart processes a name, or a part of one. After a dot every word is a name.
func (s *scanner) addNamePart(token token, name []byte, isReserved bool) {
	if !s.afterDot {
		s.endName()
		if isReserved {
			return
		}
		s.beforeName, s.wordBeforeName = s.prev, s.prevWord
	}
	s.afterDot = false
	if s.partCount == len(s.parts) { // only the last parts count: catalog.schema.name
		s.parts[0], s.parts[1] = s.parts[1], s.parts[2]
		s.partBuffers[0], s.partBuffers[1] = s.partBuffers[1], s.partBuffers[2]
		for i := range 2 {
			if s.parts[i].name != nil {
				s.parts[i].name = s.partBuffers[i][:len(s.parts[i].name)]
			}
		}
		s.partCount--
	}
	part := namePart{token: token}
	if name != nil {
		part.name = s.partBuffers[s.partCount][:copy(s.partBuffers[s.partCount][:], name)]
	}
	s.parts[s.partCount] = part
	s.partCount++
}

// endName is called at a token that is no part of a name: a name before it is complete.
func (s *scanner) endName() {
	if s.partCount > 0 {
		s.finishName()
	}
	s.partCount, s.afterDot = 0, false
}

// span returns the position of the last name.
func (s *scanner) span() Span { return Span{s.parts[0].token.start, s.parts[s.partCount-1].token.end} }

// finishName processes a complete name that no bracket follows.
func (s *scanner) finishName() {
	last := s.parts[s.partCount-1]
	// A column's name may call a function of the row: t.f is f(t). Only the operators' rules can tell.
	if s.partCount > 1 && last.name != nil && s.analyser.rules.Writers[string(last.name)] {
		s.mayWrite(ByFunction, s.span())
	}
	keyword, _ := keywordOf(last.name)
	if !s.relationNext || s.partCount == 1 && last.token.kind == word && infix[keyword] {
		return
	}
	s.relationNext = false
	if s.info.RelationsN < NamesMost {
		s.info.Relations[s.info.RelationsN] = s.span()
	}
	s.info.RelationsN++
	if last.name == nil && len(s.analyser.rules.Relations) > 0 || s.nameIn(s.analyser.rules.Relations) {
		s.mayWrite(ByRelation, s.span())
	}
}

// nameIn reports whether a list holds the last name, with its schema or without.
func (s *scanner) nameIn(list map[string]bool) bool {
	if len(list) == 0 {
		return false
	}
	last := s.parts[s.partCount-1].name
	if last == nil {
		return false
	}
	if list[string(last)] {
		return true
	}
	if s.partCount < 2 || s.parts[s.partCount-2].name == nil {
		return false
	}
	var buffer [2*maxNameBytes + 1]byte
	qualified := append(append(append(buffer[:0], s.parts[s.partCount-2].name...), '.'), last...)
	return list[string(qualified)]
}

// operand reports whether a token can end a value, so that what follows is an operator or an alias.
func operand(token token, keyword string) bool {
	switch token.kind {
	case quoted, stringToken, number, parameter:
		return true
	case word:
		switch keyword {
		case "", "ordinality", "end", "null", "true", "false":
			return true
		case "update", "share":
			return false
		}
		return !reserved[keyword] && !infix[keyword] && wordsAfter[keyword] == nil
	case punctuation:
		return true // the caller has excluded all but ) and ]
	}
	return false
}

// call processes a name that a bracket follows.
func (s *scanner) call() {
	last := s.parts[s.partCount-1]
	s.relationNext = false
	here := depthBit(s.depth)
	opens := s.beforeName.kind == punctuation && s.sql[s.beforeName.start] != ')' && s.sql[s.beforeName.start] != ']'
	behindOperand := !opens && operand(s.beforeName, s.wordBeforeName)
	if s.partCount == 1 && last.token.kind == word {
		if last.token.start == s.verbAt { // EXPLAIN (options), COPY (query)
			return
		}
		keyword, _ := keywordOf(last.name)
		if infix[keyword] && behindOperand || keyword == "join" && joins[s.wordBeforeName] {
			return
		}
		if after, special := wordsAfter[keyword]; special && after[s.wordBeforeName] {
			return
		}
	}
	switch {
	case s.wordBeforeName == "as": // an alias with its columns, or a type
		return
	case s.beforeName.kind == operatorToken && s.sql[s.beforeName.start:s.beforeName.end] == "::": // a type
		return
	case s.inWithList&here != 0: // WITH name (columns)
		return
	case s.aliasMayFollow&here != 0 && behindOperand &&
		(s.wordBeforeName == "" || s.wordBeforeName == "ordinality"): // an alias without AS, with its columns
		return
	}
	if s.info.FunctionsN < NamesMost {
		s.info.Functions[s.info.FunctionsN] = s.span()
	}
	s.info.FunctionsN++
	switch s.classifyFunction() {
	case ByFunction:
		s.mayWrite(ByFunction, s.span())
	case ByUnknown:
		s.mayWrite(ByUnknown, s.span())
	}
}

// classifyFunction returns what is known of the function that the last name names.
func (s *scanner) classifyFunction() Why {
	last := s.parts[s.partCount-1].name
	if last == nil || s.partCount > 1 && s.parts[s.partCount-2].name == nil {
		return ByUnknown
	}
	if s.nameIn(s.analyser.rules.Writers) {
		return ByFunction
	}
	if s.nameIn(s.analyser.rules.Readers) {
		return Surely
	}
	if s.partCount == 1 || s.partCount == 2 && string(s.parts[0].name) == "pg_catalog" {
		if writers[string(last)] {
			return ByFunction
		}
		if readers[string(last)] {
			return Surely
		}
	}
	if s.analyser.rules.TrustUnknown {
		return Surely
	}
	return ByUnknown
}
