package statement

// trackVerb processes the first words of statements, and words that begin a write within a statement.
func (s *scanner) trackVerb(token token, keyword string) {
	if s.pendingWrite != "" {
		s.finishPendingWrite(token, keyword)
	}
	if token.kind == punctuation && s.sql[token.start] == ';' {
		return
	}
	s.info.Several = s.info.Several || s.afterSemicolon
	if s.explainState == explainOptions || s.explainState == explainOptionList {
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

// beginPendingWrite records a word within a statement that may begin a write. The next token decides.
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

// finishPendingWrite decides, by the token after the word of a pending write, whether that word begins a write.
func (s *scanner) finishPendingWrite(token token, keyword string) {
	writes := false
	switch s.pendingWrite {
	case "update":
		writes = token.kind == quoted || token.kind == word && mayFollowUpdate(keyword)
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

// mayFollowUpdate reports whether an unquoted word, which is the given keyword or none, can follow UPDATE in an update:
// as the beginning of a relation's name, or as ONLY.
func mayFollowUpdate(keyword string) bool {
	return !reserved[keyword] || keyword == "only"
}

// beginStatement classifies a statement by its first word. A statement that EXPLAIN only plans does not count.
func (s *scanner) beginStatement(token token, keyword string) {
	s.atStart, s.verbAt = false, token.start
	if keyword == "explain" && s.explainState == notExplained {
		s.explainState = explainOptions
		s.setKind(Utility)
		return
	}
	s.verb = keyword
	s.isReadVerb = readVerbs[keyword]
	if s.isOnlyPlanned() {
		return
	}
	s.setKind(verbs[keyword])
	if !s.isReadVerb {
		s.mayWrite(ByVerb, Span{token.start, token.end})
	}
}

// isOnlyPlanned reports whether the statement is part of an EXPLAIN that does not execute it.
func (s *scanner) isOnlyPlanned() bool { return s.explainState != notExplained && !s.analyze }

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
			s.explainState = explainOptionList
			return true
		}
		s.explainState = explainStatement
		return false
	}
	isQuotedOption := token.kind == quoted // it may be "analyze"
	if keyword == "analyze" || keyword == "analyse" || isQuotedOption {
		s.analyze = true
	}
	if token.kind == punctuation && s.sql[token.start] == ')' {
		s.explainState = explainStatement
		s.atStart = true
	}
	return true
}

// setKind sets the kind of the text. The first of several statements determines it, and the explained statement has
// precedence over its EXPLAIN.
func (s *scanner) setKind(kind Kind) {
	if s.info.Kind == Unknown || s.explainState != notExplained && s.info.Kind == Utility {
		s.info.Kind = kind
	}
}

// trackClause processes the keyword of a clause, including clauses by which a read locks or writes.
func (s *scanner) trackClause(token token, keyword string) {
	bit := depthBit(s.depth)
	switch keyword {
	case "with":
		if token.start == s.verbAt || s.prev.kind == punctuation && s.sql[s.prev.start] == '(' {
			s.inWithList |= bit
		}
	case "from":
		s.beginFrom(token, bit)
	case "join":
		s.aliasMayFollow |= s.inFrom & bit // elsewhere it names a function
		s.relationNext = true
	case "table":
		s.inWithList &^= bit
		s.relationNext = true
	case "on", "using":
		s.aliasMayFollow &^= bit
		s.distinctOn = s.prevWord == "distinct"
	case "by":
		s.grouping = s.prevWord == "group"
	case "select":
		s.endClauses(bit)
		s.inSelect |= bit
	case "values", "insert", "delete", "merge",
		"where", "group", "having", "order", "limit", "offset", "fetch", "union", "intersect", "except", "window",
		"for", "returning":
		s.endClauses(bit)
	case "update", "share", "no", "key":
		s.trackLock(token, keyword, bit)
	case "into", "program", "stdout":
		s.trackTarget(token, keyword)
	}
	switch keyword {
	case "from", "join", "only", "lateral", "table", "on":
	default:
		s.relationNext = s.relationNext && !reserved[keyword]
	}
}

// beginFrom processes FROM at a depth. It begins no clause in IS DISTINCT FROM and in the arguments of substring, trim,
// extract and overlay, and COPY ... FROM writes.
func (s *scanner) beginFrom(token token, bit uint64) {
	beginsClause := (s.inSelect|s.inFrom)&bit != 0 && s.prevWord != "distinct"
	if beginsClause {
		s.inFrom, s.aliasMayFollow = s.inFrom|bit, s.aliasMayFollow|bit
		s.relationNext = true
	}
	if s.verb == "copy" && s.depth == 0 && !s.isOnlyPlanned() {
		s.mayWrite(ByPart, Span{token.start, token.end})
	}
}

// endClauses ends FROM and the list of WITH at a depth.
func (s *scanner) endClauses(bit uint64) {
	s.inFrom, s.aliasMayFollow, s.inWithList = s.inFrom&^bit, s.aliasMayFollow&^bit, s.inWithList&^bit
}

// trackLock processes the words of locking clauses: FOR [NO KEY] UPDATE, FOR [KEY] SHARE. Any other UPDATE begins a
// nested statement.
func (s *scanner) trackLock(token token, keyword string, bit uint64) {
	afterFor := s.prevWord == "for"
	afterKey := s.prevWord == "key" && (keyword == "update" || keyword == "share")
	switch {
	case afterFor || afterKey:
		s.recordLock(Span{token.start, token.end})
	case keyword == "update":
		s.endClauses(bit)
	}
}

// trackTarget processes the words before a target: SELECT INTO, and COPY TO PROGRAM or STDOUT.
func (s *scanner) trackTarget(token token, keyword string) {
	writes := false
	switch keyword {
	case "into":
		writes = s.isReadVerb && !s.isOnlyPlanned()
	case "program":
		writes = s.verb == "copy"
	case "stdout":
		s.toStdout = s.toStdout || s.depth == 0 && s.prevWord == "to" // elsewhere it is a name
	}
	if writes {
		s.mayWrite(ByPart, Span{token.start, token.end})
	}
}

// recordLock records a locking clause.
func (s *scanner) recordLock(where Span) {
	if s.isOnlyPlanned() {
		return
	}
	if s.info.Kind == Read {
		s.info.Kind = Lock
	}
	s.mayWrite(ByLock, where)
}
