// Package statement analyses SQL as far as routing needs it: whether a text certainly only reads, or may write, lock
// or change the session; which relations and functions it names; and its fingerprint, the text without its values.
//
// It implements PostgreSQL's lexical rules completely, and of its grammar only what distinguishes reads. A text that
// is not certainly a read counts as one that may write: if it is malformed, unknown or ambiguous. There is no
// recursion, the time is linear in the length of the text, and an Analyser does not allocate once its buffers have
// grown.
package statement

import "unicode/utf8"

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

// MarshalText encodes the kind as its name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

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

// MarshalText encodes the reason in words.
func (w Why) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Span is a part of the text, as byte offsets.
type Span struct{ Start, End int }

// NamesMost is the number of relations, and of functions, that an Info can name.
const NamesMost = 16

// Nesting bounds the depth of brackets. PostgreSQL reaches its own stack limit at about this depth.
const Nesting = 1000

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
