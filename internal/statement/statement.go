// Package statement analyses SQL as far as routing needs it: whether a text certainly only reads, or may write, lock
// or change the session; which relations and functions it names; and its fingerprint, the text without its values.
//
// It implements PostgreSQL's lexical rules completely, and of its grammar only what distinguishes reads. A text that
// is not certainly a read counts as one that may write: if it is malformed, unknown or ambiguous. There is no
// recursion, the time is linear in the length of the text, and an Analyser does not allocate once its buffers have
// grown.
package statement

import (
	"unicode/utf8"
)

// Kind is the kind of a statement by its first words.
type Kind uint8

// The kinds of statements.
const (
	Unknown Kind = iota
	Read
	Lock // a read that takes locks
	Write
	Define  // of tables, rights and so on
	Control // of transactions or the session
	Utility
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"unknown", "read", "lock", "write", "define", "control", "utility"}[k]
}

// Why is the reason why a statement may write.
type Why uint8

// The reasons why a statement may write.
const (
	Surely     Why = iota // it only reads
	Unreadable            // malformed UTF-8, an unterminated string, nested too deeply, or empty
	ByVerb                // its first word, or one of those after a semicolon
	ByPart                // something within it inserts, updates, deletes, merges, or creates a table
	ByLock                // FOR UPDATE or the like
	ByFunction            // a function that is known to write
	ByUnknown             // a function that is not known
	ByRelation            // a relation that writes by the operators' rules
)

// String returns the reason in words.
func (w Why) String() string {
	return [...]string{
		"only reads", "unreadable", "verb", "part", "lock", "function", "unknown function", "relation",
	}[w]
}

// Span is a part of the text, as byte offsets.
type Span struct{ Start, End int }

// NamesMost is the number of relations, and of functions, that an Info can name.
const NamesMost = 16

// Nesting bounds the depth of brackets. PostgreSQL reaches its own stack limit at about this depth.
const Nesting = 1000

// maxClauseDepth bounds the depth to which FROM clauses are tracked. Below it a column list of an alias counts as a
// call.
const maxClauseDepth = 64

// Info is the result of analysing a text. It holds no pointers: the spans refer to the text.
type Info struct {
	Kind     Kind
	MayWrite bool
	Why      Why
	Where    Span // of what made it one that may write
	Several  bool // the text holds several statements
	Comment  Span // the last block comment outside of strings and other comments
	Tail     bool // only white space and semicolons follow the comment

	Relations, Functions   [NamesMost]Span
	RelationsN, FunctionsN int // their number, including those beyond NamesMost
}

// Rules are the operators' rules on their own functions and relations. Names are in lower case, with or without a
// schema, such as "audit.note"; a name without a schema matches in every schema.
type Rules struct {
	Writers, Readers map[string]bool // functions; they go before the built-in ones
	Relations        map[string]bool // relations such as views that write when they are read
	TrustUnknown     bool            // functions that are in neither list nor the catalogue only read
}

// Analyser analyses texts. It is used by one goroutine at a time.
type Analyser struct {
	rules       *Rules
	fingerprint []byte
	info        Info
	scan        scanner
}

// New returns an analyser with rules, which must not be changed afterwards.
func New(rules *Rules) *Analyser { return &Analyser{rules: rules} }

// namePart is one part of a name that is qualified by dots.
type namePart struct {
	token token
	name  []byte // folded and truncated as PostgreSQL does it; nil if it cannot be determined
}

// explainState is how far the options of an EXPLAIN have been read.
type explainState uint8

const (
	notExplained     explainState = iota // the statement does not begin with EXPLAIN
	explainOptions                       // options may follow
	explainBrackets                      // in the options' brackets
	explainStatement                     // the explained statement has begun
)

// scanner is the state of one analysis.
type scanner struct {
	lexer
	analyser *Analyser
	info     *Info

	depth                  int
	inFrom, aliasMayFollow uint64 // bits by depth: in a FROM clause; an alias may follow in it
	inWithList             uint64 // bits by depth: in the list of a WITH
	atStart                bool   // the first word of a statement is still to come
	verb                   string
	verbAt                 int
	afterSemicolon         bool         // of an earlier statement
	explainState           explainState // progress through EXPLAIN and its options
	analyze                bool
	toStdout               bool // of COPY
	pendingWrite           string
	prev                   token
	prevWord               string // its keyword, if prev is one
	relationNext           bool   // the name of a relation comes next

	parts          [3]namePart
	partCount      int    // 0: the last token is not the end of a name
	beforeName     token  // the token before the name
	wordBeforeName string // its keyword, if it is one
	afterDot       bool   // the last token was a dot after a part of the name
	partBuffers    [3][maxNameBytes]byte
	wordBuffer     [maxNameBytes]byte
	isSelect       bool
}

// maxNameBytes is the length to which PostgreSQL truncates names (NAMEDATALEN - 1).
const maxNameBytes = 63

// Read analyses a text.
func (a *Analyser) Read(sql string) Info {
	a.fingerprint, a.info = a.fingerprint[:0], Info{}
	info := &a.info
	a.scan = scanner{lexer: lexer{sql: sql}, analyser: a, info: info, atStart: true}
	scan := &a.scan
	if !utf8.ValidString(sql) {
		scan.mayWrite(Unreadable, Span{0, 0})
		a.fingerprint = append(a.fingerprint, "(not UTF-8)"...)
		return *info
	}
	for {
		token := scan.next()
		if token.kind == endToken {
			break
		}
		if token.kind == invalidToken || scan.depth > Nesting {
			scan.mayWrite(Unreadable, Span{token.start, token.end})
			break
		}
		if token.kind == stringToken && token.special { // with standard_conforming_strings off it would not end here
			scan.mayWrite(Unreadable, Span{token.start, token.end})
		}
		scan.token(token)
		a.fingerprint = appendToken(a.fingerprint, sql, token)
	}
	scan.finish()
	if info.Kind == Unknown && !info.MayWrite {
		scan.mayWrite(Unreadable, Span{0, len(sql)})
	}
	if c := scan.comment; c.end > 0 {
		info.Comment = Span{c.start, c.end}
		info.Tail = blank(sql[c.end:])
	}
	// Drop the references to the text.
	scan.sql, scan.info, scan.verb, scan.prevWord, scan.wordBeforeName, scan.pendingWrite = "", nil, "", "", "", ""
	return *info
}

// Fingerprint returns the fingerprint of the text that was read last. It is valid until the next call of Read.
func (a *Analyser) Fingerprint() []byte { return a.fingerprint }

// blank reports whether a text holds only white space and semicolons.
func blank(s string) bool {
	for i := range len(s) {
		if classes[s[i]]&space == 0 && s[i] != ';' {
			return false
		}
	}
	return true
}

// mayWrite notes that the text may write. Only the first reason is kept.
func (s *scanner) mayWrite(why Why, where Span) {
	if !s.info.MayWrite {
		s.info.MayWrite, s.info.Why, s.info.Where = true, why, where
	}
}

// depthBit returns the bit of a depth in the scanner's sets of depths; none beyond maxClauseDepth.
func depthBit(depth int) uint64 {
	if depth >= maxClauseDepth {
		return 0
	}
	return 1 << depth
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

// keywordOf returns the keyword that equals a folded name, or "". The string is that of the table, so that keeping it
// does not allocate.
func keywordOf(name []byte) (word string, isReserved bool) {
	found, known := keywords[string(name)]
	return found.word, known && found.reserved
}

// keyword is an entry of the table of keywords.
type keyword struct {
	word     string
	reserved bool
}

// keywords are the words that the scanner tells apart.
var keywords = func() map[string]keyword {
	table := map[string]keyword{}
	for word := range reserved {
		table[word] = keyword{word, true}
	}
	for word := range infix {
		table[word] = keyword{word, false}
	}
	for word := range wordsAfter {
		table[word] = keyword{word, false}
	}
	for word := range wordSet(`insert update delete merge copy explain prepare execute deallocate call begin start commit
		rollback abort savepoint release set reset show discard listen notify unlisten lock truncate alter drop revoke
		comment security reindex cluster vacuum refresh import reassign declare move close checkpoint load verbose
		stdout program share no key partition as`) {
		if _, known := table[word]; !known {
			table[word] = keyword{word, false}
		}
	}
	return table
}()

// verbs are the kinds of statements by their first words; others are Unknown.
var verbs = map[string]Kind{
	"select": Read, "values": Read, "table": Read, "with": Read, "show": Utility, "copy": Utility,
	"insert": Write, "update": Write, "delete": Write, "merge": Write, "truncate": Write, "call": Write, "do": Write,
	"notify": Write, "lock": Lock, "prepare": Control, "execute": Control, "deallocate": Control, "begin": Control,
	"start": Control, "commit": Control, "end": Control, "rollback": Control, "abort": Control, "savepoint": Control,
	"release": Control, "set": Control, "reset": Control, "discard": Control, "listen": Control, "unlisten": Control,
	"declare": Control, "fetch": Control, "move": Control, "close": Control, "create": Define, "alter": Define,
	"drop": Define, "grant": Define, "revoke": Define, "comment": Define, "security": Define, "reassign": Define,
	"refresh": Define, "import": Define, "reindex": Utility, "cluster": Utility, "vacuum": Utility, "analyze": Utility,
	"analyse": Utility, "checkpoint": Utility, "load": Utility,
}

// readOnlyVerbs are the first words of statements that are reads if nothing within them says otherwise.
var readOnlyVerbs = wordSet("select values table with show copy")

// token processes the next token.
func (s *scanner) token(token token) {
	var keyword string
	isReserved := false
	switch token.kind {
	case word:
		name := foldName(&s.wordBuffer, s.sql[token.start:token.end])
		if !s.afterDot {
			keyword, isReserved = keywordOf(name)
		}
		s.addNamePart(token, name, isReserved)
	case quoted:
		var name []byte
		if !token.special {
			name = unquoteName(&s.wordBuffer, s.sql[token.start:token.end])
		}
		s.addNamePart(token, name, false)
	case punctuation:
		s.trackPunctuation(token)
	default:
		s.endName()
	}
	s.trackVerb(token, keyword)
	if token.kind == word && keyword != "" {
		s.trackClause(token, keyword)
	}
	s.prev, s.prevWord = token, keyword
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

// trackPunctuation processes a bracket, a comma, a dot or a semicolon.
func (s *scanner) trackPunctuation(token token) {
	switch s.sql[token.start] {
	case '.':
		if s.partCount > 0 && !s.afterDot {
			s.afterDot = true
			return
		}
		s.endName()
	case '(':
		if s.partCount > 0 {
			s.call()
			s.partCount, s.afterDot = 0, false
		}
		s.depth++
		here := depthBit(s.depth)
		s.inFrom, s.aliasMayFollow, s.inWithList = s.inFrom&^here, s.aliasMayFollow&^here, s.inWithList&^here
		if s.relationNext { // FROM (a JOIN b): the clause goes on within the brackets
			s.inFrom, s.aliasMayFollow = s.inFrom|here, s.aliasMayFollow|here
		}
	case ')':
		s.endName()
		s.depth = max(0, s.depth-1)
		s.relationNext = false
	case ',':
		s.endName()
		if s.inFrom&depthBit(s.depth) != 0 {
			s.aliasMayFollow |= depthBit(s.depth)
			s.relationNext = true
		}
	case ';':
		s.endName()
		s.finish()
		*s = scanner{lexer: s.lexer, analyser: s.analyser, info: s.info, atStart: true, afterSemicolon: true}
	default:
		s.endName()
	}
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

// finish processes the end of a statement.
func (s *scanner) finish() {
	s.endName()
	if s.verb == "copy" && !s.toStdout && (s.explainState == notExplained || s.analyze) {
		s.mayWrite(ByVerb, Span{0, 0})
	}
}
