package store

import (
	"errors"
	"fmt"

	"capercove/internal/config/tables"
)

// Config is the table [store] of the operators' file.
type Config struct {
	Enabled bool   `toml:"enabled"`
	Listen  string `toml:"listen"`
	Bind    string `toml:"bind"` // where it listens, if peers reach it elsewhere, at listen
	API     string `toml:"api"`
	APIBind string `toml:"api_bind"` // where it listens for calls, if it is reached elsewhere, at api
	Dir     string `toml:"dir"`
	Join    bool   `toml:"join"` // the others have begun without this one: it waits until it is made a member
	Peers   []Peer `toml:"peers"`
}

// Peer is one pooler's store.
type Peer struct {
	Name   string `toml:"name" json:"name"`
	Listen string `toml:"listen" json:"listen"`
	API    string `toml:"api" json:"api"`
}

// Check tells what is wrong with the table. Whether the peers list this pooler shows only in Open.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	if err := errors.Join(tables.Address("listen", c.Listen), tables.Address("bind", c.Bind), tables.Address("api", c.API), tables.Address("api_bind", c.APIBind)); err != nil {
		return err
	}
	// Against a peer that forgets what it has voted for: with peers, memory alone would break the log's promise.
	if len(c.Peers) > 0 && c.Dir == "" {
		return tables.Bad("dir", "is empty, and there are peers")
	}
	if c.Join && len(c.Peers) == 0 {
		return tables.Bad("join", "there are no peers to join")
	}
	for i, p := range c.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		if p.Name == "" || p.Listen == "" || p.API == "" {
			return tables.Bad(key, "lacks name, listen or api")
		}
		if err := errors.Join(tables.Address(key+".listen", p.Listen), tables.Address(key+".api", p.API)); err != nil {
			return err
		}
	}
	return nil
}

// lists tells whether the peers, if any, hold the pooler of this name as it is set up here.
func (c Config) lists(name string) error {
	for _, p := range c.Peers {
		if p.Name == name && p.Listen == c.Listen && p.API == c.API {
			return nil
		}
	}
	if len(c.Peers) == 0 {
		return nil
	}
	return tables.Bad("store.peers", "%s is not listed with its own listen and api", name)
}
