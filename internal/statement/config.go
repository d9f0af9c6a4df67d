package statement

import (
	"strings"

	"capercove/internal/config/tables"
)

// Config is the table [statements] of the operators' file.
type Config struct {
	Mode      string   `toml:"mode"`      // off; observe: read and count, change nothing; enforce: route by what is read
	Writes    string   `toml:"writes"`    // a label that says write on what surely reads: believe, or read
	Unknown   string   `toml:"unknown"`   // functions that nobody lists: write, or read
	Writers   []string `toml:"writers"`   // functions that write, as name or schema.name
	Readers   []string `toml:"readers"`   // functions that only read
	Relations []string `toml:"relations"` // views and the like that write when read
}

// Defaults are the values of keys that the file lacks.
func Defaults() Config { return Config{Mode: "off", Writes: "believe", Unknown: "write"} }

// Check tells what is wrong with the table.
func (c Config) Check() error {
	for _, v := range []struct {
		key, value string
		words      string
	}{{"mode", c.Mode, "off observe enforce"}, {"writes", c.Writes, "believe read"}, {"unknown", c.Unknown, "write read"}} {
		if !names(v.words)[v.value] {
			return tables.Bad(v.key, "%q is none of %s", v.value, strings.ReplaceAll(v.words, " ", ", "))
		}
	}
	for key, list := range map[string][]string{"writers": c.Writers, "readers": c.Readers, "relations": c.Relations} {
		for _, name := range list {
			if name == "" || strings.Count(name, ".") > 1 || strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.ContainsAny(name, " ()\"'") {
				return tables.Bad(key, "%q is neither name nor schema.name", name)
			}
		}
	}
	for _, name := range c.Readers {
		for _, writer := range c.Writers {
			if name == writer {
				return tables.Bad("readers", "%q is among the writers too", name)
			}
		}
	}
	return nil
}

// On tells whether statements are read at all.
func (c Config) On() bool { return c.Mode == "observe" || c.Mode == "enforce" }

// Enforced tells whether they are routed by what is read.
func (c Config) Enforced() bool { return c.Mode == "enforce" }

// Rules are the lists as an Analyser wants them.
func (c Config) Rules() *Rules {
	set := func(list []string) map[string]bool {
		m := map[string]bool{}
		for _, name := range list {
			m[name] = true
		}
		return m
	}
	return &Rules{Writers: set(c.Writers), Readers: set(c.Readers), Relations: set(c.Relations), TrustUnknown: c.Unknown == "read"}
}
