package statement

// trackVerb tracks the first words of statements, and writes within them.
func (s *scanner) trackVerb(token token, keyword string) {
	if s.pendingWrite != "" {
		s.finishPendingWrite(token, keyword)
	}
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
		s.beginPendingWrite(keyword)
		return
	}
	if token.kind == punctuation && s.sql[token.start] == '(' { // (SELECT ...)
		return
	}
	s.beginStatement(token, keyword)
}

// beginPendingWrite notes a word within a statement that begins a write if the right token follows.
func (s *scanner) beginPendingWrite(keyword string) {
	switch keyword {
	case "update":
		if s.prevWord != "for" && s.prevWord != "key" {
			s.pendingWrite = keyword
		}
	case "delete", "insert", "merge":
		s.pendingWrite = keyword
	}
}

// finishPendingWrite decides by the token after a word that may begin a write whether it does.
func (s *scanner) finishPendingWrite(token token, keyword string) {
	writes := false
	switch s.pendingWrite {
	case "update":
		writes = token.kind == quoted || token.kind == word && (!reserved[keyword] || keyword == "only")
	case "delete":
		writes = keyword == "from"
	case "insert", "merge":
		writes = keyword == "into"
	}
	if writes {
		s.mayWrite(ByPart, Span{token.start, token.end})
	}
	s.pendingWrite = ""
}

// beginStatement classifies a statement by its first word. An explained statement counts only if it is executed.
func (s *scanner) beginStatement(token token, keyword string) {
	s.atStart, s.verbAt = false, token.start
	if keyword == "explain" && s.explainState == notExplained {
		s.explainState = explainOptions
		s.setKind(Utility)
		return
	}
	s.verb = keyword
	s.isSelect = readOnlyVerbs[keyword]
	if s.planned() {
		return
	}
	s.setKind(verbs[keyword])
	if !s.isSelect {
		s.mayWrite(ByVerb, Span{token.start, token.end})
	}
}

// planned reports whether the statement is explained without being executed.
func (s *scanner) planned() bool { return s.explainState != notExplained && !s.analyze }

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
	here := depthBit(s.depth)
	switch keyword {
	case "with":
		if token.start == s.verbAt || s.prev.kind == punctuation && s.sql[s.prev.start] == '(' {
			s.inWithList |= here
		}
	case "from":
		s.beginFrom(token, here)
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
	case "select", "values", "insert", "delete", "merge",
		"where", "group", "having", "order", "limit", "offset", "fetch", "union", "intersect", "except", "window",
		"for", "returning":
		s.endClauses(here)
	case "update", "share", "no", "key":
		s.trackLock(token, keyword, here)
	case "into", "program", "stdout":
		s.trackTarget(token, keyword)
	}
	switch keyword {
	case "from", "join", "only", "lateral", "table", "on":
	default:
		s.relationNext = s.relationNext && !reserved[keyword]
	}
}

// beginFrom processes FROM at a depth. In DISTINCT FROM it begins no clause, and in COPY it names a source.
func (s *scanner) beginFrom(token token, here uint64) {
	if s.prevWord != "distinct" {
		s.inFrom, s.aliasMayFollow = s.inFrom|here, s.aliasMayFollow|here
		s.relationNext = true
	}
	if s.verb == "copy" && s.depth == 0 && !s.planned() {
		s.mayWrite(ByPart, Span{token.start, token.end})
	}
}

// endClauses ends FROM and the list of WITH at a depth.
func (s *scanner) endClauses(here uint64) {
	s.inFrom, s.aliasMayFollow, s.inWithList = s.inFrom&^here, s.aliasMayFollow&^here, s.inWithList&^here
}

// trackLock processes the words of locking clauses: FOR [NO KEY] UPDATE, FOR [KEY] SHARE. Other uses of UPDATE begin a
// statement within this one.
func (s *scanner) trackLock(token token, keyword string, here uint64) {
	afterFor := s.prevWord == "for"
	afterKey := s.prevWord == "key" && (keyword == "update" || keyword == "share")
	switch {
	case afterFor || afterKey:
		s.lock(Span{token.start, token.end})
	case keyword == "update":
		s.endClauses(here)
	}
}

// trackTarget processes the words that name a target: SELECT INTO, and COPY TO PROGRAM or STDOUT.
func (s *scanner) trackTarget(token token, keyword string) {
	writes := false
	switch keyword {
	case "into":
		writes = s.isSelect && !s.planned()
	case "program":
		writes = s.verb == "copy"
	case "stdout":
		s.toStdout = true
	}
	if writes {
		s.mayWrite(ByPart, Span{token.start, token.end})
	}
}

// lock notes a locking clause.
func (s *scanner) lock(where Span) {
	if s.planned() {
		return
	}
	if s.info.Kind == Read {
		s.info.Kind = Lock
	}
	s.mayWrite(ByLock, where)
}
