package store

import (
	"errors"
	"fmt"

	"capercove/internal/config/tables"
)

// Config is the table [store] of the operators' file.
type Config struct {
	// Enabled turns the store on.
	Enabled bool `toml:"enabled"`
	// Listen is the address at which peers reach raft.
	Listen string `toml:"listen"`
	// Bind is the address on which raft listens, if it differs from Listen.
	Bind string `toml:"bind"`
	// API is the address at which the HTTP API is reached.
	API string `toml:"api"`
	// APIBind is the address on which the HTTP API listens, if it differs from API.
	APIBind string `toml:"api_bind"`
	// Dir is the directory of raft's log and snapshots. Without peers it may be empty: both are in memory then.
	Dir string `toml:"dir"`
	// Join means that the cluster exists already: the store does not bootstrap it, and waits to be added as a member.
	Join bool `toml:"join"`
	// Peers are the initial members, including this pooler. Without peers the store is a cluster of one member.
	Peers []Peer `toml:"peers"`
}

// Peer is one pooler's store.
type Peer struct {
	// Name is the pooler's name.
	Name string `toml:"name" json:"name"`
	// Listen is the address at which its raft is reached.
	Listen string `toml:"listen" json:"listen"`
	// API is the address at which its HTTP API is reached.
	API string `toml:"api" json:"api"`
}

// Check returns an error that names an invalid key, or nil if all keys are valid. Open checks whether the peers include
// this pooler.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	err := errors.Join(
		tables.CheckAddress("listen", c.Listen),
		tables.CheckAddress("bind", c.Bind),
		tables.CheckAddress("api", c.API),
		tables.CheckAddress("api_bind", c.APIBind),
	)
	if err != nil {
		return err
	}
	// Raft requires that a member's term and vote survive restarts.
	if len(c.Peers) > 0 && c.Dir == "" {
		return tables.KeyErrorf("dir", "is empty, and there are peers")
	}
	if c.Join && len(c.Peers) == 0 {
		return tables.KeyErrorf("join", "there are no peers to join")
	}
	for i, peer := range c.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		if peer.Name == "" || peer.Listen == "" || peer.API == "" {
			return tables.KeyErrorf(key, "lacks name, listen or api")
		}
		err := errors.Join(tables.CheckAddress(key+".listen", peer.Listen), tables.CheckAddress(key+".api", peer.API))
		if err != nil {
			return err
		}
	}
	return nil
}

// checkOwnPeer returns an error if there are peers but none with this pooler's name and addresses.
func (c Config) checkOwnPeer(name string) error {
	for _, peer := range c.Peers {
		if peer.Name == name && peer.Listen == c.Listen && peer.API == c.API {
			return nil
		}
	}
	if len(c.Peers) == 0 {
		return nil
	}
	return tables.KeyErrorf("store.peers", "%s is not listed with its own listen and api", name)
}
