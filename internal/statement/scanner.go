package statement

// maxClauseDepth is the depth of parentheses from which on clauses are not tracked. There, the column list of an alias
// counts as a call.
const maxClauseDepth = 64

// explainState is the progress through EXPLAIN and its options.
type explainState uint8

const (
	notExplained      explainState = iota // the statement does not begin with EXPLAIN
	explainOptions                        // options may follow
	explainOptionList                     // within the parentheses of the options
	explainStatement                      // the explained statement has begun
)

// scanner recognises the statements, clauses and names in the tokens of one text.
type scanner struct {
	lexer
	analyser *Analyser
	info     *Info

	depth                  int    // of parentheses
	inFrom, aliasMayFollow uint64 // bits by depth: in a FROM clause; an alias may follow in that clause
	inSelect               uint64 // bits by depth: a SELECT has begun, to which FROM belongs
	inWithList             uint64 // bits by depth: in the list of a WITH clause
	noOperand              uint64 // bits by depth: its parenthesis is an operator's, or that of DISTINCT ON
	atStart                bool   // the next word is the first of a statement
	verb                   string // the first word of the statement, if it is a keyword
	verbAt                 int    // the offset of the first word
	afterSemicolon         bool   // the statement is not the first of the text
	explainState           explainState
	analyze                bool   // EXPLAIN ANALYZE
	toStdout               bool   // COPY TO STDOUT
	pendingWrite           string // the last word, if it may begin a write
	prev                   token
	prevWord               string // the keyword of prev, or ""
	grouping               bool   // the last BY was that of GROUP BY
	distinctOn             bool   // the last ON was that of DISTINCT ON
	closesNoOperand        bool   // the token is a closing parenthesis that does not end an operand
	relationNext           bool   // the next name is that of a relation

	parts          [3]namePart // of the current name
	partCount      int         // 0: the last token is not part of a name
	beforeName     token       // the token before the name
	wordBeforeName string      // the keyword of beforeName, or ""
	afterDot       bool        // the last token was a dot after a part of the name
	partBuffers    [3][maxNameBytes]byte
	wordBuffer     [maxNameBytes]byte
	isReadVerb     bool // verb is one of readVerbs
}

// processToken processes the next token.
func (s *scanner) processToken(token token) {
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
		if !token.ambiguous {
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
	if s.closesNoOperand {
		s.prev.kind, s.closesNoOperand = operatorToken, false
	}
}

// trackPunctuation processes a parenthesis, a bracket, a comma, a dot, a colon or a semicolon.
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
			s.processCall()
			s.partCount, s.afterDot = 0, false
		}
		s.depth++
		bit := depthBit(s.depth)
		s.endClauses(bit)
		s.inSelect, s.noOperand = s.inSelect&^bit, s.noOperand&^bit
		if s.prevWord == "operator" || s.prevWord == "on" && s.distinctOn {
			s.noOperand |= bit
		}
		if s.relationNext { // FROM (a JOIN b): the FROM clause continues within the parentheses
			s.inFrom, s.aliasMayFollow = s.inFrom|bit, s.aliasMayFollow|bit
		}
	case ')':
		s.endName()
		s.closesNoOperand = s.depth >= maxClauseDepth || s.noOperand&depthBit(s.depth) != 0
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

// finish processes the end of a statement.
func (s *scanner) finish() {
	s.endName()
	if s.verb == "copy" && !s.toStdout && (s.explainState == notExplained || s.analyze) {
		s.mayWrite(ByVerb, Span{0, 0})
	}
}

// mayWrite records that the text may write, with the first reason found.
func (s *scanner) mayWrite(why Why, where Span) {
	if !s.info.MayWrite {
		s.info.MayWrite, s.info.Why, s.info.Where = true, why, where
	}
}

// depthBit returns the bit of a depth in the scanner's bit sets, or 0 from maxClauseDepth on.
func depthBit(depth int) uint64 {
	if depth >= maxClauseDepth {
		return 0
	}
	return 1 << depth
}
