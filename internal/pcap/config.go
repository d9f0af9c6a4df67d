// Package pcap works with pcap files as a source of traffic: it runs the queries of a file through the core, as
// a front does, and writes what clients send to a file that can be run again. It captures nothing.
package pcap

import (
	"fmt"

	"capercove/internal/config"
)

// Config is deploy/pcap.toml.
type Config struct {
	Read  string  `toml:"read"`
	Write string  `toml:"write"`
	Port  int     `toml:"port"`
	Speed float64 `toml:"speed"`
}

// Load reads the configuration.
func Load() (Config, error) {
	c := Config{Port: 6543, Speed: 1}
	if err := config.File("CAPERCOVE_PCAP", "deploy/pcap.toml", &c); err != nil {
		return c, err
	}
	switch {
	case c.Port < 1 || c.Port > 65535:
		return c, fmt.Errorf("pcap: port is %d", c.Port)
	case !(c.Speed > 0):
		return c, fmt.Errorf("pcap: speed is %v", c.Speed)
	case c.Read != "" && c.Read == c.Write:
		return c, fmt.Errorf("pcap: read and write name the same file")
	}
	return c, nil
}
