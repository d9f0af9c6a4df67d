// Package config reads what the platform tells a pooler: GW_* and the JSON file that GW_CONFIG names. Every
// error names the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"capercove/internal/discovery"
	"capercove/internal/limits"
	"capercove/internal/wire"
	"capercove/routing"
)

// Config is what one pooler is started with.
type Config struct {
	Name, Listen, Discovery string
	Management              string // where operators call; empty: nowhere
	ListenFD                int    // the inherited listening socket; 0: none
	Seed                    uint64
	Machine                 limits.Machine
	Known                   discovery.List
	Settings                routing.Settings
	Facts                   wire.Facts

	shape any // of the file
}

// Public is what other poolers and operators may read of it.
func (c Config) Public() map[string]any {
	return map[string]any{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "limits": c.Machine,
		"classes": c.Facts.Classes, "settings": c.Settings}
}

// Load reads the configuration at the start. GW_NAME, GW_LISTEN and GW_DISCOVERY go before the file's values.
func Load() (Config, error) { return load(false) }

// Reload reads it again while the program runs. Only the file can have changed since, so its values go first. It lacks
// nothing that the running one has: a key left out would be taken for zero.
func (c Config) Reload() (Config, error) {
	again, err := load(true)
	if err == nil {
		if key := missing(c.shape, again.shape); key != "" {
			err = fmt.Errorf("%s: missing", key)
		}
	}
	return again, err
}

// missing names a key that one JSON value has, and another, which is to have all its keys, has not. In a list, each
// object has the keys that all objects of the other list share.
func missing(had, has any) string {
	switch had := had.(type) {
	case map[string]any:
		has, _ := has.(map[string]any)
		for key, value := range had {
			if has[key] == nil && value != nil {
				return key
			}
			if below := missing(value, has[key]); below != "" {
				return key + "." + below
			}
		}
	case []any:
		has, _ := has.([]any)
		for _, h := range has {
			lacks, all := "", len(had) > 0
			for _, other := range had {
				key := missing(other, h)
				all = all && key != ""
				lacks = key
			}
			if all {
				return lacks
			}
		}
	}
	return ""
}

func load(again bool) (Config, error) {
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Manage    string `json:"management"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	var shape map[string]any
	if err := json.Unmarshal(text, &shape); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	delete(shape, "known") // others' entries, checked by discovery
	c := Config{shape: shape, Machine: limits.Machine{MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets}}
	for _, v := range []struct {
		to        *string
		env, file string
		key       string
		address   bool
		optional  bool
	}{
		{&c.Name, "GW_NAME", file.Name, "name", false, false},
		{&c.Listen, "GW_LISTEN", file.Listen, "listen", true, false},
		{&c.Discovery, "GW_DISCOVERY", file.Discovery, "discovery", true, false},
		{&c.Management, "GW_MANAGEMENT", file.Manage, "management", true, true},
	} {
		key := v.env
		if *v.to = os.Getenv(v.env); *v.to == "" || again && v.file != "" {
			*v.to, key = v.file, v.key
		}
		if *v.to == "" && v.optional {
			continue
		}
		if *v.to == "" {
			return c, fmt.Errorf("%s: neither %s nor the file's %q is set", v.key, v.env, v.key)
		}
		if v.address {
			if _, _, err := net.SplitHostPort(*v.to); err != nil {
				return c, fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	if fd := os.Getenv("GW_LISTEN_FD"); fd != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < 3 {
			return c, fmt.Errorf("GW_LISTEN_FD: %q is no inherited descriptor", fd)
		}
		c.Machine.Shared = true
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Machine.MemoryMB < 16 {
		return c, fmt.Errorf("limits.memory_mb: %d is under 16", c.Machine.MemoryMB)
	}
	if c.Machine.Sockets < 128 {
		return c, fmt.Errorf("limits.sockets: %d is under 128", c.Machine.Sockets)
	}
	if len(file.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	if c.Settings, c.Facts, err = wire.ParseSettings(file.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = discovery.Parse(file.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}
