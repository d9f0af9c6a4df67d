// Package statement reads SQL far enough to route it: whether a text surely only reads, or may write, lock or change
// the session; what it names; and its shape, the text without its values.
//
// It knows PostgreSQL's lexical rules whole and of its grammar only what tells a read from the rest. Whoever is not
// surely a read may write: what cannot be read, what is not known, and every doubt. There is no recursion, the time is
// linear in the text, and nothing is allocated once an Analyser has warmed up.
package statement

import (
	"unicode/utf8"
)

// Kind is what a statement is by its first words.
type Kind uint8

const (
	Unknown Kind = iota
	Read
	Lock // a read that takes locks
	Write
	Define  // of tables, rights and so on
	Control // of transactions or the session
	Utility
)

func (k Kind) String() string {
	return [...]string{"unknown", "read", "lock", "write", "define", "control", "utility"}[k]
}

// Why tells what makes a statement one that may write.
type Why uint8

const (
	Surely     Why = iota // it only reads
	Unreadable            // bad UTF-8, a string without end, too deep, nothing at all
	ByVerb                // its first word, or one of those after a semicolon
	ByPart                // something within it inserts, updates, deletes, merges, or creates a table
	ByLock                // FOR UPDATE or the like
	ByFunction            // a function that is known to write
	ByUnknown             // a function that nobody knows
	ByRelation            // a relation that the operators say writes
)

func (w Why) String() string {
	return [...]string{"only reads", "unreadable", "verb", "part", "lock", "function", "unknown function", "relation"}[w]
}

// Span is a part of the text, in bytes.
type Span struct{ Start, End int }

// NamesMost is how many relations and functions an Info names.
const NamesMost = 16

// Nesting is how deep brackets may go. PostgreSQL's own bound on its stack is met about there.
const Nesting = 1000

// fromDepth is how deep FROM clauses are followed. Further down a column list of an alias is taken for a call.
const fromDepth = 64

// Info is what a text turned out to be. It holds no pointers: the spans are into the text.
type Info struct {
	Kind     Kind
	MayWrite bool
	Why      Why
	Where    Span // of what made it so
	Several  bool // statements in one text
	Comment  Span // the last block comment that is one, not a part of a string or another comment
	Tail     bool // nothing but white space and semicolons follows it

	Relations, Functions   [NamesMost]Span
	RelationsN, FunctionsN int // how many there are, also beyond those named
}

// Rules are what the operators know of their own functions and relations. Names are in lower case, with or without a
// schema, as "audit.note"; one without matches in every schema.
type Rules struct {
	Writers, Readers map[string]bool // functions; before the built-in ones
	Relations        map[string]bool // views and the like that write when read
	TrustUnknown     bool            // functions in neither list nor the catalogue only read
}

// Analyser reads texts. It is used by one goroutine at a time.
type Analyser struct {
	rules *Rules
	shape []byte
	info  Info
	scan  scan
}

// New returns an analyser with rules, which must not change any more.
func New(r *Rules) *Analyser { return &Analyser{rules: r} }

// link is a part of a name.
type link struct {
	token token
	name  []byte // folded and cut as PostgreSQL does it; nil if it cannot be told
}

// scan is the state of one reading.
type scan struct {
	lexer
	a    *Analyser
	info *Info

	depth      int
	from, item uint64 // by depth: in a FROM clause; where an alias may stand in it
	list       uint64 // by depth: in the list of a WITH
	first      bool   // the statement has begun
	verb       string
	verbAt     int
	later      bool  // a semicolon came before
	explain    uint8 // 0: no; 1: options may come; 2: in their brackets; 3: over
	analyze    bool
	stdout     bool // of COPY
	pending    string
	prev       token
	prevWord   string // folded, if prev is a word that is no part of a longer name
	relation   bool   // a relation's name comes next

	chain    [3]link
	links    int    // of the chain; 0: the last token ended no name
	before   token  // the token before the chain
	beforeW  string // its word
	dotted   bool   // the last token was a dot behind the chain
	buffers  [3][nameBytes]byte
	wordBuf  [nameBytes]byte
	isSelect bool
}

// nameBytes is how long a name may be; what is beyond is cut off.
const nameBytes = 63

// Read reads a text.
func (a *Analyser) Read(sql string) Info {
	a.shape, a.info = a.shape[:0], Info{}
	info := &a.info
	a.scan = scan{lexer: lexer{s: sql}, a: a, info: info, first: true}
	s := &a.scan
	if !utf8.ValidString(sql) {
		s.flag(Unreadable, Span{0, 0})
		a.shape = append(a.shape, "(not UTF-8)"...)
		return *info
	}
	for {
		t := s.next()
		if t.kind == end {
			break
		}
		if t.kind == bad || s.depth > Nesting {
			s.flag(Unreadable, Span{t.start, t.end})
			break
		}
		if t.kind == text && t.odd { // where the database lets backslashes escape, it reads on
			s.flag(Unreadable, Span{t.start, t.end})
		}
		s.token(t)
		a.shape = shapeOf(a.shape, sql, t, s.prevWord)
	}
	s.finish()
	if info.Kind == Unknown && !info.MayWrite {
		s.flag(Unreadable, Span{0, len(sql)})
	}
	if c := s.comment; c.end > 0 {
		info.Comment = Span{c.start, c.end}
		info.Tail = blank(sql[c.end:])
	}
	s.lexer.s, s.info, s.verb, s.prevWord, s.beforeW, s.pending = "", nil, "", "", "", ""
	return *info
}

// Fingerprint is the shape of the text that was read last. It is the analyser's, until the next one is read.
func (a *Analyser) Fingerprint() []byte { return a.shape }

func blank(s string) bool {
	for i := range len(s) {
		if classes[s[i]]&space == 0 && s[i] != ';' {
			return false
		}
	}
	return true
}

// flag notes that the text may write. The first reason stands.
func (s *scan) flag(why Why, where Span) {
	if !s.info.MayWrite {
		s.info.MayWrite, s.info.Why, s.info.Where = true, why, where
	}
}

func bit(depth int) uint64 {
	if depth >= fromDepth {
		return 0
	}
	return 1 << depth
}

// fold returns a name as PostgreSQL knows it: letters of ASCII in lower case, cut to 63 bytes.
func fold(dst *[nameBytes]byte, s string) []byte {
	n := min(len(s), nameBytes)
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

// unquote returns the name in quotes, nil if it cannot be told without more work.
func unquote(dst *[nameBytes]byte, s string) []byte {
	n := 0
	for i := 1; i < len(s)-1; i++ {
		if s[i] == '"' {
			i++
		}
		if n == nameBytes {
			for n > 0 && !utf8.RuneStart(s[i]) { // cut between characters
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

// canonical returns a word from the tables that is equal to these bytes, so that nothing is allocated to keep it.
func canonical(b []byte) (w string, isReserved bool) {
	k, known := keywords[string(b)]
	return k.word, known && k.reserved
}

type keyword struct {
	word     string
	reserved bool
}

var keywords = func() map[string]keyword {
	m := map[string]keyword{}
	for w := range reserved {
		m[w] = keyword{w, true}
	}
	for w := range infix {
		m[w] = keyword{w, false}
	}
	for w := range behind {
		m[w] = keyword{w, false}
	}
	for w := range names(`insert update delete merge copy explain prepare execute deallocate call begin start commit
		rollback abort savepoint release set reset show discard listen notify unlisten lock truncate alter drop revoke
		comment security reindex cluster vacuum refresh import reassign declare move close checkpoint load verbose
		stdout program share no key partition as`) {
		if _, known := m[w]; !known {
			m[w] = keyword{w, false}
		}
	}
	return m
}()

// verbs are the kinds of statements by their first words. What is missing is not known.
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

// readVerbs are those whose statement is a read if nothing within it says otherwise.
var readVerbs = map[string]bool{"select": true, "values": true, "table": true, "with": true, "show": true, "copy": true}

// token takes in the next token.
func (s *scan) token(t token) {
	var w string
	isReserved := false
	switch t.kind {
	case word:
		name := fold(&s.wordBuf, s.s[t.start:t.end])
		if !s.dotted {
			w, isReserved = canonical(name)
		}
		s.named(t, name, isReserved)
	case quoted:
		var name []byte
		if !t.odd {
			name = unquote(&s.wordBuf, s.s[t.start:t.end])
		}
		s.named(t, name, false)
	case mark:
		s.mark(t)
	default:
		s.endName()
	}
	s.verbs(t, w)
	if t.kind == word && w != "" {
		s.clause(t, w)
	}
	s.prev, s.prevWord = t, w
}

// named takes in a name, or a part of one. Behind a dot every word is a name.
func (s *scan) named(t token, name []byte, isReserved bool) {
	if !s.dotted {
		s.endName()
		if isReserved {
			return
		}
		s.before, s.beforeW = s.prev, s.prevWord
	}
	s.dotted = false
	if s.links == len(s.chain) { // catalog.schema.name at the most is looked at; the last parts count
		s.chain[0], s.chain[1] = s.chain[1], s.chain[2]
		s.buffers[0], s.buffers[1] = s.buffers[1], s.buffers[2]
		for i := range 2 {
			if s.chain[i].name != nil {
				s.chain[i].name = s.buffers[i][:len(s.chain[i].name)]
			}
		}
		s.links--
	}
	l := link{token: t}
	if name != nil {
		l.name = s.buffers[s.links][:copy(s.buffers[s.links][:], name)]
	}
	s.chain[s.links] = l
	s.links++
}

// endName is called at a token that is no part of a name: the one before it, if any, is whole.
func (s *scan) endName() {
	if s.links > 0 {
		s.wholeName()
	}
	s.links, s.dotted = 0, false
}

// span is where the name that was read last stands.
func (s *scan) span() Span { return Span{s.chain[0].token.start, s.chain[s.links-1].token.end} }

// wholeName looks at a name that no bracket follows.
func (s *scan) wholeName() {
	last := s.chain[s.links-1]
	// A column's name may call a function of the row: t.f is f(t). Only the operators can know.
	if s.links > 1 && last.name != nil && s.a.rules.Writers[string(last.name)] {
		s.flag(ByFunction, s.span())
	}
	if w, _ := canonical(last.name); !s.relation || s.links == 1 && last.token.kind == word && infix[w] {
		return
	}
	s.relation = false
	if s.info.RelationsN < NamesMost {
		s.info.Relations[s.info.RelationsN] = s.span()
	}
	s.info.RelationsN++
	if last.name == nil && len(s.a.rules.Relations) > 0 || s.listed(s.a.rules.Relations) {
		s.flag(ByRelation, s.span())
	}
}

// listed tells whether a list has the name that was read last, with its schema or without.
func (s *scan) listed(list map[string]bool) bool {
	if len(list) == 0 {
		return false
	}
	last := s.chain[s.links-1].name
	if last == nil {
		return false
	}
	if list[string(last)] {
		return true
	}
	if s.links < 2 || s.chain[s.links-2].name == nil {
		return false
	}
	var b [2*nameBytes + 1]byte
	whole := append(append(append(b[:0], s.chain[s.links-2].name...), '.'), last...)
	return list[string(whole)]
}

// mark takes in a bracket, a comma, a dot.
func (s *scan) mark(t token) {
	switch s.s[t.start] {
	case '.':
		if s.links > 0 && !s.dotted {
			s.dotted = true
			return
		}
		s.endName()
	case '(':
		if s.links > 0 {
			s.call()
			s.links, s.dotted = 0, false
		}
		s.depth++
		b := bit(s.depth)
		s.from, s.item, s.list = s.from&^b, s.item&^b, s.list&^b
		if s.relation { // FROM (a JOIN b): in these brackets it goes on
			s.from, s.item = s.from|b, s.item|b
		}
	case ')':
		s.endName()
		s.depth = max(0, s.depth-1)
		s.relation = false
	case ',':
		s.endName()
		if s.from&bit(s.depth) != 0 {
			s.item |= bit(s.depth)
			s.relation = true
		}
	case ';':
		s.endName()
		s.finish()
		*s = scan{lexer: s.lexer, a: s.a, info: s.info, first: true, later: true}
	default:
		s.endName()
	}
}

// operand tells whether a token can end a value, so that what follows is an operator or an alias.
func operand(t token, w string) bool {
	switch t.kind {
	case quoted, text, number, param:
		return true
	case word:
		return w == "" || !reserved[w] && !infix[w] && behind[w] == nil && w != "update" && w != "share" ||
			w == "ordinality" || w == "end" || w == "null" || w == "true" || w == "false"
	case mark:
		return true // looked at by the callers: ) and ]
	}
	return false
}

// call looks at a name that a bracket follows.
func (s *scan) call() {
	last := s.chain[s.links-1]
	s.relation = false
	b := bit(s.depth)
	opens := s.before.kind == mark && s.s[s.before.start] != ')' && s.s[s.before.start] != ']'
	behindOperand := !opens && operand(s.before, s.beforeW)
	if s.links == 1 && last.token.kind == word {
		if last.token.start == s.verbAt { // EXPLAIN (options), COPY (query)
			return
		}
		w, _ := canonical(last.name)
		if infix[w] && behindOperand || w == "join" && joins[s.beforeW] {
			return
		}
		if after, special := behind[w]; special && after[s.beforeW] {
			return
		}
	}
	switch {
	case s.beforeW == "as": // an alias with its columns, or a type
		return
	case s.before.kind == sign && s.s[s.before.start:s.before.end] == "::": // a type
		return
	case s.list&b != 0: // WITH name (columns)
		return
	case s.item&b != 0 && behindOperand && (s.beforeW == "" || s.beforeW == "ordinality"): // an alias without AS, with its columns
		return
	}
	if s.info.FunctionsN < NamesMost {
		s.info.Functions[s.info.FunctionsN] = s.span()
	}
	s.info.FunctionsN++
	switch s.function() {
	case ByFunction:
		s.flag(ByFunction, s.span())
	case ByUnknown:
		s.flag(ByUnknown, s.span())
	}
}

// function tells what is known of the function that was read last.
func (s *scan) function() Why {
	last := s.chain[s.links-1].name
	if last == nil || s.links > 1 && s.chain[s.links-2].name == nil {
		return ByUnknown
	}
	if s.listed(s.a.rules.Writers) {
		return ByFunction
	}
	if s.listed(s.a.rules.Readers) {
		return Surely
	}
	if s.links == 1 || s.links == 2 && string(s.chain[0].name) == "pg_catalog" {
		if writers[string(last)] {
			return ByFunction
		}
		if readers[string(last)] {
			return Surely
		}
	}
	if s.a.rules.TrustUnknown {
		return Surely
	}
	return ByUnknown
}

// verbs follows what the statement is.
func (s *scan) verbs(t token, w string) {
	where := Span{t.start, t.end}
	switch s.pending {
	case "update":
		if t.kind == quoted || t.kind == word && (!reserved[w] || w == "only") {
			s.flag(ByPart, where)
		}
	case "delete":
		if w == "from" {
			s.flag(ByPart, where)
		}
	case "insert", "merge":
		if w == "into" {
			s.flag(ByPart, where)
		}
	}
	s.pending = ""
	if t.kind == mark && s.s[t.start] == ';' {
		return
	}
	s.info.Several = s.info.Several || s.later
	if s.explain == 1 || s.explain == 2 {
		if s.options(t, w) {
			return
		}
		s.first = true
	}
	if !s.first {
		switch w {
		case "update":
			if s.prevWord != "for" && s.prevWord != "key" {
				s.pending = w
			}
		case "delete", "insert", "merge":
			s.pending = w
		}
		return
	}
	if t.kind == mark && s.s[t.start] == '(' { // (SELECT ...)
		return
	}
	s.first, s.verbAt = false, t.start
	if w == "explain" && s.explain == 0 {
		s.explain = 1
		s.kind(Utility)
		return
	}
	s.verb = w
	kind := verbs[w]
	s.isSelect = readVerbs[w]
	if s.explain == 0 {
		s.kind(kind)
	}
	if s.explain > 0 && !s.analyze { // planned, not run
		return
	}
	if s.explain > 0 {
		s.kind(kind)
	}
	if !readVerbs[w] {
		s.flag(ByVerb, where)
	}
}

// options passes those of EXPLAIN, and returns false at what it explains.
func (s *scan) options(t token, w string) bool {
	if s.explain == 1 {
		switch {
		case w == "analyze" || w == "analyse":
			s.analyze = true
			return true
		case w == "verbose":
			return true
		case t.kind == mark && s.s[t.start] == '(' && s.prevWord == "explain":
			s.explain = 2
			return true
		}
		s.explain = 3
		return false
	}
	if w == "analyze" || w == "analyse" {
		s.analyze = true
	}
	if t.kind == mark && s.s[t.start] == ')' {
		s.explain = 3
		s.first = true
	}
	return true
}

// kind notes the statement's kind: of several, the first one's.
func (s *scan) kind(k Kind) {
	if s.info.Kind == Unknown || s.explain > 0 && s.info.Kind == Utility {
		s.info.Kind = k
	}
}

// clause follows the words that tell where in a statement we are, and those that make a read something else.
func (s *scan) clause(t token, w string) {
	where := Span{t.start, t.end}
	b := bit(s.depth)
	planned := s.explain > 0 && !s.analyze
	switch w {
	case "with":
		if t.start == s.verbAt || s.prev.kind == mark && s.s[s.prev.start] == '(' {
			s.list |= b
		}
	case "select", "values", "insert", "delete", "merge":
		s.list &^= b
		s.from, s.item = s.from&^b, s.item&^b
	case "from":
		if s.prevWord != "distinct" {
			s.from, s.item = s.from|b, s.item|b
			s.relation = true
		}
		if s.verb == "copy" && s.depth == 0 && !planned {
			s.flag(ByPart, where)
		}
	case "join":
		s.from, s.item = s.from|b, s.item|b
		s.relation = true
	case "table":
		if s.verb == "table" || s.verb == "with" {
			s.list &^= b
			s.relation = true
		}
	case "on", "using":
		s.item &^= b
	case "where", "group", "having", "order", "limit", "offset", "fetch", "union", "intersect", "except", "window", "for",
		"returning":
		s.from, s.item, s.list = s.from&^b, s.item&^b, s.list&^b
	case "into":
		if !planned && s.isSelect {
			s.flag(ByPart, where)
		}
	case "update", "share":
		if s.prevWord == "for" || s.prevWord == "key" {
			s.lock(where)
		} else if w == "update" {
			s.list, s.from, s.item = s.list&^b, s.from&^b, s.item&^b
		}
	case "no", "key":
		if s.prevWord == "for" {
			s.lock(where)
		}
	case "program":
		if s.verb == "copy" {
			s.flag(ByPart, where)
		}
	case "stdout":
		s.stdout = true
	}
	if w != "from" && w != "join" && w != "only" && w != "lateral" && w != "table" && w != "on" {
		s.relation = s.relation && !reserved[w]
	}
}

func (s *scan) lock(where Span) {
	if s.explain > 0 && !s.analyze {
		return
	}
	if s.info.Kind == Read {
		s.info.Kind = Lock
	}
	s.flag(ByLock, where)
}

// finish ends a statement.
func (s *scan) finish() {
	s.endName()
	if s.verb == "copy" && !s.stdout && (s.explain == 0 || s.analyze) {
		s.flag(ByVerb, Span{0, 0})
	}
}
