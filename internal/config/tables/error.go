package tables

import (
	"errors"
	"fmt"
	"strings"
)

// ErrUnknownKey is the cause of a KeyError whose key is not a setting.
var ErrUnknownKey = errors.New("unknown key")

// KeyError is an error in a configuration: the value under one key is wrong, or the key is missing or unknown.
type KeyError struct {
	File  string // path of the file; empty if it is unknown or clear from the context
	Line  int    // from 1; 0 if the key is not in the file or its line is unknown
	Key   string // dotted, with indexes of arrays from 0, such as "tenants[1].weight"; empty if no key is at fault
	Cause error  // what is wrong
}

// Error returns the file, line, key and cause, as far as they are known.
func (e KeyError) Error() string {
	var text strings.Builder
	if e.File != "" {
		text.WriteString(e.File)
		if e.Line > 0 {
			_, _ = fmt.Fprintf(&text, ":%d", e.Line)
		}
		text.WriteString(": ")
	}
	switch {
	case e.Key == "":
		text.WriteString(e.Cause.Error())
	case errors.Is(e.Cause, ErrUnknownKey):
		text.WriteString(ErrUnknownKey.Error() + " " + e.Key)
	default:
		text.WriteString(e.Key + ": " + e.Cause.Error())
	}
	return text.String()
}

// Unwrap returns the cause.
func (e KeyError) Unwrap() error { return e.Cause }

// Bad returns the KeyError of a key. Its cause is formatted as by fmt.Errorf.
func Bad(key, format string, arguments ...any) error {
	return KeyError{Key: key, Cause: fmt.Errorf(format, arguments...)}
}
