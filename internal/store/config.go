package store

import (
	"errors"
	"fmt"

	"capercove/internal/config"
)

// Config is deploy/store.toml.
type Config struct {
	Enabled bool   `toml:"enabled"`
	Listen  string `toml:"listen"`
	API     string `toml:"api"`
	Dir     string `toml:"dir"`
	Peers   []Peer `toml:"peers"`
}

// Peer is one pooler's store.
type Peer struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	API    string `toml:"api"`
}

// Load reads the configuration of the pooler of this name.
func Load(name string) (c Config, err error) {
	if err := config.File("CAPERCOVE_STORE", "deploy/store.toml", &c); err != nil || !c.Enabled {
		return c, err
	}
	if err := errors.Join(config.Address("store: listen", c.Listen), config.Address("store: api", c.API)); err != nil {
		return c, err
	}
	if len(c.Peers) == 0 {
		return c, nil
	}
	// Against a peer that forgets what it has voted for: with peers, memory alone would break the log's promise.
	if c.Dir == "" {
		return c, errors.New("store: dir is empty, and there are peers")
	}
	self := false
	for i, p := range c.Peers {
		if p.Name == "" || p.Listen == "" || p.API == "" {
			return c, fmt.Errorf("store: peers[%d] lacks name, listen or api", i)
		}
		if err := errors.Join(config.Address("store: peers.listen", p.Listen),
			config.Address("store: peers.api", p.API)); err != nil {
			return c, err
		}
		self = self || p.Name == name && p.Listen == c.Listen && p.API == c.API
	}
	if !self {
		return c, fmt.Errorf("store: peers do not list %s with its own listen and api", name)
	}
	return c, nil
}
