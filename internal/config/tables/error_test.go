package tables_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/config/tables"
)

var errOdd = errors.New("odd")

// limitTable is a table with one checked key.
type limitTable struct {
	Limit int `toml:"limit"`
}

// Check implements tables.Table.
func (l *limitTable) Check() error {
	if l.Limit < 0 {
		return tables.Bad("limit", "%d: %w", l.Limit, errOdd)
	}
	return nil
}

// An error in the operators' file is a KeyError with file, line, key and cause, and its text names them.
func TestParseErrorsNameFileLineKeyAndCause(t *testing.T) {
	for name, test := range map[string]struct {
		text, want string
		line       int
		key        string
		cause      error
	}{
		"wrong value": {"[queue]\n\nlimit = -1\n", "own.toml:3: queue.limit: -1: odd", 3, "queue.limit", errOdd},
		"unknown key": {
			"[queue]\nlimt = 1\n", "own.toml:2: unknown key queue.limt", 2, "queue.limt", tables.ErrUnknownKey,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var file struct {
				Queue limitTable `toml:"queue"`
			}
			err := tables.Parse("own.toml", []byte(test.text), &file)
			require.EqualError(t, err, test.want)
			require.ErrorIs(t, err, test.cause)
			var keyError tables.KeyError
			require.ErrorAs(t, err, &keyError)
			require.Equal(t, "own.toml", keyError.File)
			require.Equal(t, test.line, keyError.Line)
			require.Equal(t, test.key, keyError.Key)
		})
	}
}
