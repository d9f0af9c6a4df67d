package pg

import "strings"

// whitespace is the set of characters that may separate words of a statement.
const whitespace = " \t\r\n"

// ChangesConnectionStateOnly reports whether a statement only changes the state of its connection. Such a statement is
// answered without a database.
func ChangesConnectionStateOnly(sql string) bool {
	switch verb(sql) {
	case "SET", "RESET", "DISCARD":
		return true
	}
	return false
}

// verb returns the first word of a statement in upper case.
func verb(sql string) string {
	word := strings.TrimLeft(sql, whitespace)
	if end := strings.IndexAny(word, whitespace+";"); end >= 0 {
		word = word[:end]
	}
	return strings.ToUpper(word)
}

// isEmpty reports whether a query contains no statement.
func isEmpty(sql string) bool { return strings.Trim(sql, whitespace+";") == "" }
