package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"capercove/internal/config/tables"
)

// LoadFile reads a scenario file over the defaults and checks it. Its errors name the file, and the line and the key
// where they are known.
func LoadFile(path string) (*Scenario, error) {
	scenario := Defaults()
	text, err := scenario.readWithBase(path)
	if err != nil {
		return nil, err
	}
	if err := scenario.Check(); err != nil {
		return nil, locate(path, text, err)
	}
	return &scenario, nil
}

// locate returns an error of Check with the file, and with the line if the file itself has the key.
func locate(path string, text []byte, err error) error {
	var keyError tables.KeyError
	if errors.As(err, &keyError) {
		if line := tables.Lines(text)[keyError.Key]; line > 0 {
			return fmt.Errorf("%s:%d: %w", path, line, keyError)
		}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// header is the part of a file that says which values of the defaults or of the base it replaces.
type header struct {
	Base     string `toml:"base"`
	Families []any  `toml:"families"`
	Classes  []any  `toml:"classes"`
	Loads    []any  `toml:"loads"`
	Faults   []any  `toml:"faults"`
}

// readWithBase reads a file over the values that there are, its base first. It returns the text of the file.
func (scenario *Scenario) readWithBase(path string) ([]byte, error) {
	text, head, err := readHeader(path)
	if err != nil {
		return nil, err
	}
	if head.Base != "" {
		basePath := filepath.Join(filepath.Dir(path), head.Base)
		baseText, baseHead, err := readHeader(basePath)
		if err != nil {
			return nil, err
		}
		if baseHead.Base != "" {
			return nil, fmt.Errorf("%s:%d: base: a base has none itself", basePath, tables.Lines(baseText)["base"])
		}
		if err := scenario.decode(basePath, baseText, baseHead); err != nil {
			return nil, err
		}
	}
	return text, scenario.decode(path, text, head)
}

// readHeader reads a file and decodes its header.
func readHeader(path string) (text []byte, head header, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, header{}, err
	}
	if err := toml.Unmarshal(text, &head); err != nil {
		return nil, header{}, tables.ToKeyError(path, err)
	}
	return text, head, nil
}

// decode decodes a file over the values that there are. A list or [expect] replaces the earlier one as a whole.
func (scenario *Scenario) decode(path string, text []byte, head header) error {
	if head.Families != nil {
		scenario.Families = nil
	}
	if head.Classes != nil {
		scenario.Classes = nil
	}
	if head.Loads != nil {
		scenario.Loads = nil
	}
	if head.Faults != nil {
		scenario.Faults = nil
	}
	if _, found := tables.Lines(text)["expect"]; found || strings.Contains(string(text), "[expect") {
		scenario.Expect = Expectations{}
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return tables.ToKeyError(path, err)
	}
	return nil
}
