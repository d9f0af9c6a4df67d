package statement

import "strings"

// keyword is an entry of the table of keywords.
type keyword struct {
	word     string
	reserved bool
}

// otherKeywords are the keywords that are not in reserved, relationNames, infix or wordsBefore.
var otherKeywords = wordSet(`
insert update delete merge copy explain prepare execute deallocate call begin start commit rollback abort
savepoint release set reset show discard listen notify unlisten lock truncate alter drop revoke comment security
reindex cluster vacuum refresh import reassign declare move close checkpoint load verbose stdout program share
no key partition as operator value ref passing path rows range groups document content version
`)

// beforeOperands are the keywords of otherKeywords that an operand may follow: a parenthesis after the next word can
// open a call.
var beforeOperands = wordSet(`
as key value ref passing path rows range groups document content version no share update insert delete merge
verbose
`)

// keywords maps each word that the scanner distinguishes to its entry.
var keywords = func() map[string]keyword {
	table := map[string]keyword{}
	for word := range reserved {
		table[word] = keyword{word, true}
	}
	for word := range relationNames {
		table[word] = keyword{word, false}
	}
	for word := range infix {
		table[word] = keyword{word, false}
	}
	for word := range wordsBefore {
		table[word] = keyword{word, false}
	}
	for word := range otherKeywords {
		if _, known := table[word]; !known {
			table[word] = keyword{word, false}
		}
	}
	return table
}()

// keywordOf returns the keyword that equals a folded name, or "". It returns the string of the table, which avoids an
// allocation.
func keywordOf(name []byte) (word string, isReserved bool) {
	found, known := keywords[string(name)]
	return found.word, known && found.reserved
}

// verbs maps the first word of a statement to its kind. Other first words are Unknown.
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

// readVerbs are the first words of statements that only read, unless a part of them writes or locks.
var readVerbs = wordSet("select values table with show copy")

// reserved are the keywords that can name nothing (appendix "SQL Key Words" of PostgreSQL's documentation: reserved). A
// parenthesis after such a keyword does not open a call.
var reserved = wordSet(`
all analyse analyze and any array as asc asymmetric both case cast check collate column constraint create
current_catalog
current_date current_role current_time current_timestamp current_user default deferrable desc distinct do else end
except false fetch for foreign from grant group having in initially intersect into lateral leading limit localtime
localtimestamp not null offset on only or order placing primary references returning select session_user some symmetric
table then to trailing true union unique user using variadic when where window with
`)

// relationNames are the keywords that can name relations, columns and schemas, but neither functions nor types (in the
// same appendix: non-reserved, cannot be function or type), and system_user, which can before PostgreSQL 16. A
// parenthesis after such a keyword does not open a call, but the name of a function may follow it and a dot.
var relationNames = wordSet(`
between bigint bit boolean char character coalesce dec decimal exists extract float greatest grouping inout int integer
interval json json_array json_arrayagg json_exists json_object json_objectagg json_query json_scalar json_serialize
json_table json_value least merge_action national nchar none normalize nullif numeric out overlay position precision
real
row setof smallint substring time timestamp treat trim values varchar xmlattributes xmlconcat xmlelement xmlexists
xmlforest xmlnamespaces xmlparse xmlpi xmlroot xmlserialize xmltable system_user
`)

// infix are the words that are syntax between or behind operands, and end none. isSyntax knows where a parenthesis
// after one of them opens no call. Elsewhere they may be names of functions.
var infix = wordSet(`
join like ilike overlaps escape over filter columns is isnull notnull similar collation cross natural inner
left right full outer tablesample ordinality
`)

// wordsBefore maps a word to the preceding words that make it syntax: a parenthesis after it then opens no call. For
// some of them isSyntax asks for more.
var wordsBefore = map[string]map[string]bool{
	"by": wordSet("group order partition"), "materialized": wordSet("as not"),
	"rollup": wordSet("by"), "cube": wordSet("by"),
	"sets": wordSet("grouping"), "first": wordSet("fetch"), "next": wordSet("fetch"),
	"bernoulli": wordSet("tablesample"),
	"system":    wordSet("tablesample"), "recursive": wordSet("with"), "zone": wordSet("time"),
	"varying": wordSet("bit char character nchar"),
}

// noRelations are the words of infix that cannot name a relation (in the same appendix: reserved, can be function or
// type).
var noRelations = wordSet(`
join like ilike overlaps is isnull notnull similar collation cross natural inner left right full outer tablesample
`)

// joinModifiers are the words that may precede JOIN.
var joinModifiers = wordSet("cross natural inner left right full outer")

// wordSet returns the set of the words in a list that is separated by white space.
func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for _, word := range strings.Fields(list) {
		set[word] = true
	}
	return set
}
