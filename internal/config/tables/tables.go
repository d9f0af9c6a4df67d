// Package tables reads the operators' file. The file has one TOML table for each subsystem, which the subsystem's
// package checks. Package tables also defines the error type of all configuration files.
package tables

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Location of the operators' file, which is read at the start and at SIGHUP.
const (
	Variable    = "CAPERCOVE_CONFIG"      // environment variable with the path of the file
	DefaultPath = "deploy/capercove.toml" // path if the variable is not set
)

// retired maps variables that once named separate files to the tables of the operators' file that replaced these files.
var retired = map[string]string{"CAPERCOVE_FLIGHT": "flight", "CAPERCOVE_STORE": "store", "CAPERCOVE_PCAP": "pcap"}

// Table is a subsystem's table of the operators' file.
type Table interface {
	// Check returns an error if a value is invalid. If one key is at fault, it is a KeyError with the key in the table.
	Check() error
}

// Load reads the operators' file into a struct whose fields are Tables, each under the name in its toml tag. Values
// that the file lacks stay unchanged. A file that CAPERCOVE_CONFIG names must exist; the default file may be missing.
// An error names the file, and the line and the key at fault.
func Load(into any) error {
	for variable, table := range retired { // the settings there would otherwise be ignored silently
		if os.Getenv(variable) != "" {
			return fmt.Errorf("%s is set, but no longer read: its settings belong in table [%s] of %s",
				variable, table, DefaultPath)
		}
		if old := filepath.Join(filepath.Dir(DefaultPath), table+".toml"); exists(old) {
			return fmt.Errorf("%s is no longer read: its settings belong in table [%s] of %s", old, table, DefaultPath)
		}
	}
	path := os.Getenv(Variable)
	named := path != ""
	if !named {
		path = DefaultPath
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named {
		text = nil
	} else if err != nil {
		return KeyError{Key: Variable, Cause: err}
	}
	return Parse(path, text, into)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// Parse reads the text of a file as Load does. Errors name the file by the path, which is not opened.
func Parse(path string, text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return Located(path, err)
	}
	structure := reflect.ValueOf(into).Elem()
	for i := range structure.NumField() {
		name := structure.Type().Field(i).Tag.Get("toml")
		table, ok := structure.Field(i).Addr().Interface().(Table)
		if !ok {
			return fmt.Errorf("%s: table [%s] has no check", path, name) // a programming error
		}
		if err := table.Check(); err != nil {
			return tableError(path, text, name, err)
		}
	}
	return nil
}

// tableError adds the file to the error of a table's check and, if a key is at fault, the key's line and full name.
func tableError(path string, text []byte, name string, err error) error {
	var keyError KeyError
	if !errors.As(err, &keyError) {
		return KeyError{File: path, Key: name, Cause: err}
	}
	keyError.File = path
	keyError.Key = name + "." + keyError.Key
	keyError.Line = Lines(text)[keyError.Key]
	return keyError
}

// Located converts a TOML decoder's error to a KeyError of a file, with the line and the key that the error reports.
func Located(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		row, _ := first.Position()
		return KeyError{File: path, Line: row, Key: strings.Join(first.Key(), "."), Cause: ErrUnknownKey}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return KeyError{File: path, Line: row, Key: strings.Join(wrong.Key(), "."), Cause: err}
	}
	return KeyError{File: path, Cause: err}
}

// Lines returns the line numbers, from 1, of all dotted keys and tables of a valid TOML text.
func Lines(text []byte) map[string]int {
	lines := map[string]int{}
	seen := map[string]int{} // number of tables so far, by array
	table := ""
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = key
			lines[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, seen[key])
			seen[key]++
			lines[table] = line
		default:
			lines[table+"."+key] = line
		}
	}
	return lines
}

// keyOf returns the dotted key of an expression and the line on which it begins.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for part := expression.Key(); part.Next(); {
		if line == 0 {
			line = parser.Shape(part.Node().Raw).Start.Line
		}
		parts = append(parts, string(part.Node().Data))
	}
	return strings.Join(parts, "."), line
}

// Address returns a KeyError unless the address under a key is host:port or empty. The caller checks whether one is
// required.
func Address(key, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return KeyError{Key: key, Cause: err}
	}
	return nil
}
