package statement

import "unicode/utf8"

// maxNameBytes is the length to which PostgreSQL truncates names (NAMEDATALEN - 1).
const maxNameBytes = 63

// namePart is one part of a qualified name: a schema, a relation, a column and so on.
type namePart struct {
	token token
	name  []byte // folded and truncated as by PostgreSQL; nil if the part contains Unicode escapes
}

// foldName folds an unquoted name as PostgreSQL does: ASCII letters become lower case, and the name is truncated to
// maxNameBytes. The result is a part of dst.
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

// unquoteName returns a quoted name without its quotes, truncated to maxNameBytes. The result is a part of dst.
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

// addNamePart processes a word or a quoted name as a part of a name. After a dot, reserved words are names too.
func (s *scanner) addNamePart(token token, name []byte, isReserved bool) {
	if !s.afterDot {
		s.endName()
		if isReserved {
			return
		}
		s.beforeName, s.wordBeforeName = s.prev, s.prevWord
	}
	s.afterDot = false
	if s.partCount == len(s.parts) { // only the last three count: catalog.schema.name
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

// endName completes the current name, if there is one. It is called at a token that is not part of the name.
func (s *scanner) endName() {
	if s.partCount > 0 {
		s.finishName()
	}
	s.partCount, s.afterDot = 0, false
}

// nameSpan returns the position of the current name.
func (s *scanner) nameSpan() Span {
	return Span{s.parts[0].token.start, s.parts[s.partCount-1].token.end}
}

// finishName processes a complete name that is not followed by a parenthesis.
func (s *scanner) finishName() {
	last := s.parts[s.partCount-1]
	// A column's name may call a function of the row: t.f is f(t). Only the operators' rules identify such functions.
	if s.partCount > 1 && last.name != nil && s.analyser.rules.Writers[string(last.name)] {
		s.mayWrite(ByFunction, s.nameSpan())
	}
	keyword, _ := keywordOf(last.name)
	if !s.relationNext || s.partCount == 1 && last.token.kind == word && noRelations[keyword] {
		return
	}
	s.relationNext = false
	if s.info.RelationCount < MaxNames {
		s.info.Relations[s.info.RelationCount] = s.nameSpan()
	}
	s.info.RelationCount++
	if last.name == nil && len(s.analyser.rules.Relations) > 0 || s.nameIn(s.analyser.rules.Relations) {
		s.mayWrite(ByRelation, s.nameSpan())
	}
}

// nameIn reports whether a list contains the current name, with its schema or without.
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

// endsParenthesis reports whether a token closes a parenthesis that ends an operand.
func (s *scanner) endsParenthesis(token token) bool {
	return token.kind == punctuation && s.sql[token.start] == ')'
}

// endsOperand reports whether a token surely ends an operand, so that an operator follows it and no other operand.
func (s *scanner) endsOperand(token token, keyword string) bool {
	switch token.kind {
	case quoted, stringToken, number, parameter:
		return true
	case word:
		switch keyword {
		case "", "ordinality", "end", "null", "true", "false":
			return true
		}
		return otherKeywords[keyword] && !beforeOperands[keyword]
	case punctuation:
		return s.sql[token.start] == ')' || s.sql[token.start] == ']'
	}
	return false
}

// aliasMayFollowName reports whether the token before the current name can be the end of an item of a FROM clause.
func (s *scanner) aliasMayFollowName() bool {
	return s.endsOperand(s.beforeName, s.wordBeforeName) || beforeOperands[s.wordBeforeName]
}

// processCall processes the current name if a parenthesis follows it: a call of a function, or one of the forms of
// syntax that look like a call.
func (s *scanner) processCall() {
	last := s.parts[s.partCount-1]
	s.relationNext = false
	bit := depthBit(s.depth)
	if s.partCount == 1 && last.token.kind == word && s.isSyntax(last, bit) {
		return
	}
	switch {
	case s.wordBeforeName == "as": // an alias with columns, or a type
		return
	case s.beforeName.kind == operatorToken && s.sql[s.beforeName.start:s.beforeName.end] == "::": // a type
		return
	case s.inWithList&bit != 0: // WITH name (columns)
		return
	case s.aliasMayFollow&bit != 0 && s.aliasMayFollowName(): // an alias with columns and without AS
		return
	}
	if s.info.FunctionCount < MaxNames {
		s.info.Functions[s.info.FunctionCount] = s.nameSpan()
	}
	s.info.FunctionCount++
	switch s.classifyFunction() {
	case ByFunction:
		s.mayWrite(ByFunction, s.nameSpan())
	case ByUnknown:
		s.mayWrite(ByUnknown, s.nameSpan())
	}
}

// isSyntax reports whether a word before a parenthesis at the depth of a bit is surely syntax and names no function.
func (s *scanner) isSyntax(name namePart, bit uint64) bool {
	if name.token.start == s.verbAt { // EXPLAIN (options), COPY (query)
		return true
	}
	keyword, _ := keywordOf(name.name)
	switch keyword {
	case "treat": // TREAT (a AS f) is f(a)
		return false
	case "rollup", "cube":
		return s.wordBeforeName == "by" && s.grouping
	case "materialized":
		return wordsBefore[keyword][s.wordBeforeName] && s.inWithList&bit != 0
	case "join":
		return s.inFrom&bit != 0 && (s.aliasMayFollowName() || joinModifiers[s.wordBeforeName])
	case "over", "filter":
		return bit != 0 && s.endsParenthesis(s.beforeName)
	case "like", "ilike", "overlaps", "escape", "columns":
		return bit != 0 && s.endsOperand(s.beforeName, s.wordBeforeName)
	}
	return relationNames[keyword] || wordsBefore[keyword][s.wordBeforeName]
}

// classifyFunction classifies the function that the current name refers to: ByFunction if it writes, OnlyReads if it
// only reads, else ByUnknown.
func (s *scanner) classifyFunction() Why {
	last := s.parts[s.partCount-1].name
	if last == nil || s.partCount > 1 && s.parts[s.partCount-2].name == nil {
		return ByUnknown
	}
	if s.nameIn(s.analyser.rules.Writers) {
		return ByFunction
	}
	if s.nameIn(s.analyser.rules.Readers) {
		return OnlyReads
	}
	if s.partCount == 1 || s.partCount == 2 && string(s.parts[0].name) == "pg_catalog" {
		if writers[string(last)] {
			return ByFunction
		}
		if readers[string(last)] {
			return OnlyReads
		}
	}
	if s.analyser.rules.TrustUnknown {
		return OnlyReads
	}
	return ByUnknown
}
