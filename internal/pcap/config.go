// Package pcap works with pcap files as a source of traffic: it runs the queries of a file through the core, as
// a front does, and writes what clients send to a file that can be run again. It captures nothing.
package pcap

import (
	"capercove/internal/config/tables"
)

// Config is the table [pcap] of the operators' file.
type Config struct {
	Read  string  `toml:"read"`
	Write string  `toml:"write"`
	Port  int     `toml:"port"`
	Speed float64 `toml:"speed"`
}

// Defaults are the values of keys that the file lacks.
func Defaults() Config { return Config{Port: 6543, Speed: 1} }

// Check tells what is wrong with the table.
func (c Config) Check() error {
	switch {
	case c.Port < 1 || c.Port > 65535:
		return tables.Bad("port", "%d is no port", c.Port)
	case !(c.Speed > 0):
		return tables.Bad("speed", "%v is not above 0", c.Speed)
	case c.Read != "" && c.Read == c.Write:
		return tables.Bad("write", "names the file that is read")
	}
	return nil
}
