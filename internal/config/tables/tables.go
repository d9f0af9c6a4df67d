// Package tables reads the operators' file: one TOML table for each subsystem, each checked by the package that it is for.
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

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// The operators' file holds one table for each subsystem. It is read at the start and at SIGHUP.
const (
	Variable = "CAPERCOVE_CONFIG"      // names another file
	Path     = "deploy/capercove.toml" // where it is otherwise
)

// retired are the files, and the variables that named them, whose tables the operators' file holds now.
var retired = map[string]string{"CAPERCOVE_FLIGHT": "flight", "CAPERCOVE_STORE": "store", "CAPERCOVE_PCAP": "pcap"}

// Table is a subsystem's table of the operators' file.
type Table interface {
	// Check tells what is wrong with the values, with KeyError where one key is at fault.
	Check() error
}

// KeyError is a fault of the value under one key.
type KeyError struct {
	Key string // dotted; of arrays with the number from 0, such as "tenants[1].weight"
	Why string
}

func (e KeyError) Error() string { return e.Key + ": " + e.Why }

// Bad returns the error of a key.
func Bad(key, format string, a ...any) error {
	return KeyError{Key: key, Why: fmt.Sprintf(format, a...)}
}

// Load reads the operators' file into a struct whose fields are Tables, each under the name in its toml tag. What
// the file lacks stays as it is. The file that CAPERCOVE_CONFIG names must be there; else it may be missing. An error
// names the file, and the line and the key at fault.
func Load(into any) error {
	for variable, table := range retired { // Against settings that are left behind unseen.
		if os.Getenv(variable) != "" {
			return fmt.Errorf("%s is set, but no longer read: its settings belong in table [%s] of %s", variable, table, Path)
		}
		if old := filepath.Join(filepath.Dir(Path), table+".toml"); exists(old) {
			return fmt.Errorf("%s is no longer read: its settings belong in table [%s] of %s", old, table, Path)
		}
	}
	path := os.Getenv(Variable)
	named := path != ""
	if !named {
		path = Path
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named {
		text = nil
	} else if err != nil {
		return fmt.Errorf("%s: %w", Variable, err)
	}
	return Parse(path, text, into)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// Parse reads a text as Load does a file of this name.
func Parse(path string, text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return Located(path, err)
	}
	v := reflect.ValueOf(into).Elem()
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("toml")
		table, ok := v.Field(i).Addr().Interface().(Table)
		if !ok {
			return fmt.Errorf("%s: table [%s] has no check", path, name) // a fault of this program
		}
		err := table.Check()
		if err == nil {
			continue
		}
		var at KeyError
		if !errors.As(err, &at) {
			return fmt.Errorf("%s: %s: %w", path, name, err)
		}
		at.Key = name + "." + at.Key
		if line := Lines(text)[at.Key]; line > 0 {
			return fmt.Errorf("%s:%d: %w", path, line, at)
		}
		return fmt.Errorf("%s: %w", path, at) // the key is not in the file
	}
	return nil
}

// Located words a decoder's error with its line and key.
func Located(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %s", path, row, dotted(first.Key()))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		if len(wrong.Key()) > 0 {
			return fmt.Errorf("%s:%d: %s: %w", path, row, dotted(wrong.Key()), err)
		}
		return fmt.Errorf("%s:%d: %w", path, row, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

func dotted(key []string) (s string) {
	for i, part := range key {
		if i > 0 {
			s += "."
		}
		s += part
	}
	return s
}

// Lines are the line numbers, from 1, of all keys and tables of a text that has been parsed already.
func Lines(text []byte) map[string]int {
	at := map[string]int{}
	arrays := map[string]int{} // how many tables each array has had
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		key, line := "", 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			if key != "" {
				key += "."
			}
			key += string(it.Node().Data)
		}
		switch e.Kind {
		case unstable.Table:
			table = key
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, arrays[key])
			arrays[key]++
		default:
			key = table + "." + key
			at[key] = line
			continue
		}
		at[table] = line
	}
	return at
}

// Address checks the address under a key. An empty one is left to the caller.
func Address(key, addr string) error {
	if addr == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return Bad(key, "%v", err)
	}
	return nil
}
