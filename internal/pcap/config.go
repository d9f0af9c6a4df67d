// Package pcap uses capture files (pcap and pcapng) as a source of traffic: it replays the queries of a file through
// the core, as a frontend does, and writes what clients send to a file that can be replayed. It captures nothing from
// the network.
package pcap

import (
	"capercove/internal/config/tables"
)

// Config is the table [pcap] of the operators' file.
type Config struct {
	Read  string  `toml:"read"`  // path of the file that is replayed; empty: none
	Write string  `toml:"write"` // path of the file that is written; empty: none
	Port  int     `toml:"port"`  // TCP port of the server in the files
	Speed float64 `toml:"speed"` // of the replay, as a multiple of the file's
}

const (
	defaultPort = 6543
	maxPort     = 65535
)

// Defaults returns the values of keys that the file lacks.
func Defaults() Config { return Config{Port: defaultPort, Speed: 1} }

// Check implements tables.Table.
func (c Config) Check() error {
	switch {
	case c.Port < 1 || c.Port > maxPort:
		return tables.KeyErrorf("port", "%d is no port", c.Port)
	case !(c.Speed > 0): // NaN, too
		return tables.KeyErrorf("speed", "%v is not above 0", c.Speed)
	case c.Read != "" && c.Read == c.Write:
		return tables.KeyErrorf("write", "names the file that is read")
	}
	return nil
}
