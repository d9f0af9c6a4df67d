package statement

// trackVerb tracks the first words of statements, and writes within them.
func (s *scanner) trackVerb(token token, keyword string) {
	where := Span{token.start, token.end}
	switch s.pendingWrite {
	case "update":
		if token.kind == quoted || token.kind == word && (!reserved[keyword] || keyword == "only") {
			s.mayWrite(ByPart, where)
		}
	case "delete":
		if keyword == "from" {
			s.mayWrite(ByPart, where)
		}
	case "insert", "merge":
		if keyword == "into" {
			s.mayWrite(ByPart, where)
		}
	}
	s.pendingWrite = ""
	if token.kind == punctuation && s.sql[token.start] == ';' {
		return
	}
	s.info.Several = s.info.Several || s.afterSemicolon
	if s.explainState == explainOptions || s.explainState == explainBrackets {
		if s.explainOption(token, keyword) {
			return
		}
		s.atStart = true
	}
	if !s.atStart {
		switch keyword {
		case "update":
			if s.prevWord != "for" && s.prevWord != "key" {
				s.pendingWrite = keyword
			}
		case "delete", "insert", "merge":
			s.pendingWrite = keyword
		}
		return
	}
	if token.kind == punctuation && s.sql[token.start] == '(' { // (SELECT ...)
		return
	}
	s.atStart, s.verbAt = false, token.start
	if keyword == "explain" && s.explainState == notExplained {
		s.explainState = explainOptions
		s.setKind(Utility)
		return
	}
	s.verb = keyword
	kind := verbs[keyword]
	s.isSelect = readOnlyVerbs[keyword]
	if s.explainState == notExplained {
		s.setKind(kind)
	}
	if s.explainState != notExplained && !s.analyze { // planned, not run
		return
	}
	if s.explainState != notExplained {
		s.setKind(kind)
	}
	if !readOnlyVerbs[keyword] {
		s.mayWrite(ByVerb, where)
	}
}

// explainOption processes the options of EXPLAIN. It returns false at the first token of the explained statement.
func (s *scanner) explainOption(token token, keyword string) bool {
	if s.explainState == explainOptions {
		switch {
		case keyword == "analyze" || keyword == "analyse":
			s.analyze = true
			return true
		case keyword == "verbose":
			return true
		case token.kind == punctuation && s.sql[token.start] == '(' && s.prevWord == "explain":
			s.explainState = explainBrackets
			return true
		}
		s.explainState = explainStatement
		return false
	}
	if keyword == "analyze" || keyword == "analyse" {
		s.analyze = true
	}
	if token.kind == punctuation && s.sql[token.start] == ')' {
		s.explainState = explainStatement
		s.atStart = true
	}
	return true
}

// setKind notes the kind of the statement; the first statement of several decides.
func (s *scanner) setKind(kind Kind) {
	if s.info.Kind == Unknown || s.explainState != notExplained && s.info.Kind == Utility {
		s.info.Kind = kind
	}
}

// trackClause tracks the clauses of a statement by their keywords, and the clauses that make a read something else.
func (s *scanner) trackClause(token token, keyword string) {
	where := Span{token.start, token.end}
	here := depthBit(s.depth)
	planned := s.explainState != notExplained && !s.analyze
	switch keyword {
	case "with":
		if token.start == s.verbAt || s.prev.kind == punctuation && s.sql[s.prev.start] == '(' {
			s.inWithList |= here
		}
	case "select", "values", "insert", "delete", "merge":
		s.inWithList &^= here
		s.inFrom, s.aliasMayFollow = s.inFrom&^here, s.aliasMayFollow&^here
	case "from":
		if s.prevWord != "distinct" {
			s.inFrom, s.aliasMayFollow = s.inFrom|here, s.aliasMayFollow|here
			s.relationNext = true
		}
		if s.verb == "copy" && s.depth == 0 && !planned {
			s.mayWrite(ByPart, where)
		}
	case "join":
		s.inFrom, s.aliasMayFollow = s.inFrom|here, s.aliasMayFollow|here
		s.relationNext = true
	case "table":
		if s.verb == "table" || s.verb == "with" {
			s.inWithList &^= here
			s.relationNext = true
		}
	case "on", "using":
		s.aliasMayFollow &^= here
	case "where", "group", "having", "order", "limit", "offset", "fetch", "union", "intersect", "except", "window",
		"for", "returning":
		s.inFrom, s.aliasMayFollow, s.inWithList = s.inFrom&^here, s.aliasMayFollow&^here, s.inWithList&^here
	case "into":
		if !planned && s.isSelect {
			s.mayWrite(ByPart, where)
		}
	case "update", "share":
		if s.prevWord == "for" || s.prevWord == "key" {
			s.lock(where)
		} else if keyword == "update" {
			s.inWithList, s.inFrom, s.aliasMayFollow = s.inWithList&^here, s.inFrom&^here, s.aliasMayFollow&^here
		}
	case "no", "key":
		if s.prevWord == "for" {
			s.lock(where)
		}
	case "program":
		if s.verb == "copy" {
			s.mayWrite(ByPart, where)
		}
	case "stdout":
		s.toStdout = true
	}
	switch keyword {
	case "from", "join", "only", "lateral", "table", "on":
	default:
		s.relationNext = s.relationNext && !reserved[keyword]
	}
}

// lock notes a locking clause.
func (s *scanner) lock(where Span) {
	if s.explainState != notExplained && !s.analyze {
		return
	}
	if s.info.Kind == Read {
		s.info.Kind = Lock
	}
	s.mayWrite(ByLock, where)
}
