// Package statement analyses SQL as far as routing needs it: whether a text certainly only reads, or may write, lock
// or change the session; which relations and functions it names; and its fingerprint, the text without its values.
//
// It implements all lexical rules of PostgreSQL, and only the part of its grammar that distinguishes reads from other
// statements. A malformed, unknown or ambiguous text counts as one that may write. The analysis does not recurse, its
// time is linear in the length of the text, and an Analyser does not allocate once its buffers have grown.
package statement

import "unicode/utf8"

// Kind is the kind of a statement, determined by its first words.
type Kind uint8

// The kinds of statements.
const (
	Unknown Kind = iota
	Read
	Lock // a read that takes locks
	Write
	Define  // data definition and privileges: CREATE, ALTER, GRANT and so on
	Control // of transactions or the session
	Utility // SHOW, COPY, VACUUM and so on
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"unknown", "read", "lock", "write", "define", "control", "utility"}[k]
}

// MarshalText encodes the kind as its name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Why is the reason why a statement may write, or OnlyReads.
type Why uint8

// The reasons why a statement may write. OnlyReads is the zero value.
const (
	OnlyReads  Why = iota // it only reads
	Unreadable            // malformed UTF-8, an unterminated string, nested too deeply, or empty
	ByVerb                // the first word of a statement
	ByPart                // a part that inserts, updates, deletes, merges, creates a table or copies data
	ByLock                // a locking clause: FOR UPDATE, FOR SHARE and so on
	ByFunction            // a function that is known to write
	ByUnknown             // a function in neither the operators' rules nor the catalogue
	ByRelation            // a relation that the operators' rules list as writing
)

// String returns the reason in words.
func (w Why) String() string {
	return [...]string{
		"only reads", "unreadable", "verb", "part", "lock", "function", "unknown function", "relation",
	}[w]
}

// MarshalText encodes the reason in words.
func (w Why) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Span is a part of a text, from Start to before End, in bytes.
type Span struct{ Start, End int }

// MaxNames is the maximum number of relations, and of functions, that an Info names.
const MaxNames = 16

// MaxNesting is the maximum depth of parentheses. PostgreSQL reaches its own stack limit at about this depth.
const MaxNesting = 1000

// Info is the result of analysing a text. It contains no pointers: its spans are offsets in the text.
type Info struct {
	Kind         Kind
	MayWrite     bool
	Why          Why
	Where        Span // the part of the text that is the reason Why
	Several      bool // the text contains several statements
	Comment      Span // the last block comment that is not part of a string or of another comment
	CommentAtEnd bool // only white space and semicolons follow the comment

	Relations, Functions         [MaxNames]Span
	RelationCount, FunctionCount int // including those beyond MaxNames
}

// Rules are the operators' rules for functions and relations. Names are in lower case, with or without a schema, such
// as "audit.note". A name without a schema matches in every schema.
type Rules struct {
	Writers, Readers map[string]bool // functions; these lists have precedence over the catalogue
	Relations        map[string]bool // views and other relations that write when they are read
	TrustUnknown     bool            // whether an unlisted function counts as one that only reads
}

// Analyser analyses texts. It is not safe for concurrent use.
type Analyser struct {
	rules       *Rules
	fingerprint []byte
	info        Info
	scan        scanner
}

// New returns an analyser that uses the given rules. The caller must not change them afterwards.
func New(rules *Rules) *Analyser { return &Analyser{rules: rules} }

// Analyse analyses a text, which may contain several statements.
func (a *Analyser) Analyse(sql string) Info {
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
		if token.kind == invalidToken || scan.depth > MaxNesting {
			scan.mayWrite(Unreadable, Span{token.start, token.end})
			break
		}
		if token.ambiguous && token.kind != quoted { // its end depends on a setting or the version
			scan.mayWrite(Unreadable, Span{token.start, token.end})
		}
		scan.processToken(token)
		a.fingerprint = appendToken(a.fingerprint, sql, token)
	}
	scan.finish()
	if info.Kind == Unknown && !info.MayWrite {
		scan.mayWrite(Unreadable, Span{0, len(sql)})
	}
	if c := scan.comment; c.end > 0 {
		info.Comment = Span{c.start, c.end}
		info.CommentAtEnd = blank(sql[c.end:])
	}
	// Drop the references to the text.
	scan.sql, scan.info, scan.verb, scan.prevWord, scan.wordBeforeName, scan.pendingWrite = "", nil, "", "", "", ""
	return *info
}

// Fingerprint returns the fingerprint of the last text that was analysed. It is valid until the next call of Analyse.
func (a *Analyser) Fingerprint() []byte { return a.fingerprint }

// blank reports whether a text consists of white space and semicolons only.
func blank(s string) bool {
	for i := range len(s) {
		if classes[s[i]]&space == 0 && s[i] != ';' {
			return false
		}
	}
	return true
}
