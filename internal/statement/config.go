package statement

import (
	"strings"

	"capercove/internal/config/tables"
)

// Config is the table [statements] of the operators' configuration file.
type Config struct {
	Mode      string   `toml:"mode"`      // off, observe (analyse and count) or enforce (route by the analysis)
	Writes    string   `toml:"writes"`    // route of a read that is labelled as a write: believe (the label) or read
	Unknown   string   `toml:"unknown"`   // what unlisted functions count as: write or read
	Writers   []string `toml:"writers"`   // functions that write, each as name or schema.name
	Readers   []string `toml:"readers"`   // functions that only read, in the same form
	Relations []string `toml:"relations"` // views and other relations that write when read
}

// Defaults returns the values of keys that are missing from the file.
func Defaults() Config { return Config{Mode: "off", Writes: "believe", Unknown: "write"} }

// Check returns an error of the table, as a tables.KeyError, or nil if it is valid.
func (c Config) Check() error {
	for _, setting := range []struct{ key, value, words string }{
		{"mode", c.Mode, "off observe enforce"},
		{"writes", c.Writes, "believe read"},
		{"unknown", c.Unknown, "write read"},
	} {
		if !wordSet(setting.words)[setting.value] {
			words := strings.ReplaceAll(setting.words, " ", ", ")
			return tables.KeyErrorf(setting.key, "%q is none of %s", setting.value, words)
		}
	}
	for key, list := range map[string][]string{"writers": c.Writers, "readers": c.Readers, "relations": c.Relations} {
		for _, name := range list {
			if !validName(name) {
				return tables.KeyErrorf(key, "%q is neither name nor schema.name", name)
			}
		}
	}
	for _, name := range c.Readers {
		for _, writer := range c.Writers {
			if name == writer {
				return tables.KeyErrorf("readers", "%q is among the writers too", name)
			}
		}
	}
	return nil
}

// validName reports whether a name has the form name or schema.name.
func validName(name string) bool {
	if name == "" || strings.Count(name, ".") > 1 {
		return false
	}
	if strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") {
		return false
	}
	return !strings.ContainsAny(name, " ()\"'")
}

// Enabled reports whether statements are analysed.
func (c Config) Enabled() bool { return c.Mode == "observe" || c.Mode == "enforce" }

// Enforced reports whether statements are routed by their analysis.
func (c Config) Enforced() bool { return c.Mode == "enforce" }

// Rules returns the rules of the table for an Analyser.
func (c Config) Rules() *Rules {
	set := func(list []string) map[string]bool {
		m := map[string]bool{}
		for _, name := range list {
			m[name] = true
		}
		return m
	}
	return &Rules{
		Writers:      set(c.Writers),
		Readers:      set(c.Readers),
		Relations:    set(c.Relations),
		TrustUnknown: c.Unknown == "read",
	}
}
