// Package config reads the platform's configuration of a pooler: the environment variables GW_* and the JSON file that
// GW_CONFIG names. Errors that concern a key are of type tables.KeyError.
package config

import (
	"encoding/json"
	"errors"
	"os"
	"strconv"

	"capercove/internal/config/tables"
	"capercove/internal/discovery"
	"capercove/internal/limits"
	"capercove/internal/settings"
	"capercove/routing"
)

// Config is the platform's configuration of one pooler.
type Config struct {
	Name       string           // of this pooler, unique at its site
	Listen     string           // address for clients
	Discovery  string           // address of the discovery service
	Management string           // address for operators; empty: none
	ListenFD   int              // the inherited listening socket; 0: none
	Seed       uint64           // of all pseudo-random choices
	Machine    limits.Machine   // resources that the platform grants
	Known      discovery.List   // endpoints known before the discovery service answers
	Settings   routing.Settings // of the routing decisions
	Site       settings.Site    // settings of the site besides those of routing
}

// Public returns what other poolers and operators may read of the configuration.
func (c Config) Public() map[string]any {
	return map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "limits": c.Machine,
		"classes": c.Site.Classes, "settings": c.Settings,
	}
}

// Load reads the configuration at the start. The variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MANAGEMENT take
// precedence over the file's values.
func Load() (Config, error) { return load(false) }

// Reload reads the configuration again while the program runs. It accepts what Load accepts: a key that is absent has
// its default, whether the file had it before or not. Only the file can have changed, so its values take precedence
// over the environment's.
func Reload() (Config, error) { return load(true) }

// The least resources that the platform must grant a pooler.
const (
	minMemoryMB = 16
	minSockets  = 128
)

// Bounds and formats of numbers in the file and the environment.
const (
	firstInheritedFD = 3 // the first descriptor after the standard streams
	seedBase         = 16
	seedBits         = 64
)

// Environment variables.
const (
	fileVariable     = "GW_CONFIG"
	listenFDVariable = "GW_LISTEN_FD"
)

// platformFile is the platform's JSON file.
type platformFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// readFile reads the file that GW_CONFIG names.
func readFile() (file platformFile, err error) {
	path := os.Getenv(fileVariable)
	if path == "" {
		return file, errors.New(fileVariable + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return file, tables.KeyError{Key: fileVariable, Cause: err}
	}
	if err = json.Unmarshal(text, &file); err != nil {
		return file, tables.KeyErrorf(fileVariable, "%s: %w", path, err)
	}
	return file, nil
}

// load reads the configuration. On a reload the file's values take precedence over those of the environment.
func load(isReload bool) (loaded Config, err error) {
	file, err := readFile()
	if err != nil {
		return Config{}, err
	}
	loaded.Machine = limits.Machine{MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets}
	for _, step := range []func() error{
		func() error { return loaded.readNameAndAddresses(file, isReload) },
		loaded.readListenFD,
		func() error { return loaded.readNumbers(file) },
		func() error { return loaded.readSettings(file) },
	} {
		if err := step(); err != nil {
			return loaded, err
		}
	}
	return loaded, nil
}

// readNameAndAddresses reads the name and the addresses, each from the environment or the file.
func (c *Config) readNameAndAddresses(file platformFile, isReload bool) error {
	for _, value := range []struct {
		target        *string
		variable, key string
		inFile        string
		isAddress     bool
		isOptional    bool
	}{
		{target: &c.Name, variable: "GW_NAME", key: "name", inFile: file.Name},
		{target: &c.Listen, variable: "GW_LISTEN", key: "listen", inFile: file.Listen, isAddress: true},
		{target: &c.Discovery, variable: "GW_DISCOVERY", key: "discovery", inFile: file.Discovery, isAddress: true},
		{
			target: &c.Management, variable: "GW_MANAGEMENT", key: "management", inFile: file.Management,
			isAddress: true, isOptional: true,
		},
	} {
		source := value.variable
		*value.target = os.Getenv(value.variable)
		if *value.target == "" || isReload && value.inFile != "" {
			*value.target, source = value.inFile, value.key
		}
		if *value.target == "" {
			if value.isOptional {
				continue
			}
			return tables.KeyErrorf(value.key, "neither %s nor the file's %q is set", value.variable, value.key)
		}
		if value.isAddress {
			if err := tables.CheckAddress(source, *value.target); err != nil {
				return err
			}
		}
	}
	return nil
}

// readListenFD reads the descriptor of the inherited listening socket, if there is one.
func (c *Config) readListenFD() (err error) {
	descriptor := os.Getenv(listenFDVariable)
	if descriptor == "" {
		return nil
	}
	if c.ListenFD, err = strconv.Atoi(descriptor); err != nil || c.ListenFD < firstInheritedFD {
		return tables.KeyErrorf(listenFDVariable, "%q is no inherited descriptor", descriptor)
	}
	c.Machine.Shared = true
	return nil
}

// readNumbers reads the seed and checks the granted resources.
func (c *Config) readNumbers(file platformFile) (err error) {
	if c.Seed, err = strconv.ParseUint(file.Seed, seedBase, seedBits); err != nil {
		return tables.KeyError{Key: "seed", Cause: err}
	}
	if c.Machine.MemoryMB < minMemoryMB {
		return tables.KeyErrorf("limits.memory_mb", "%d is under %d", c.Machine.MemoryMB, minMemoryMB)
	}
	if c.Machine.Sockets < minSockets {
		return tables.KeyErrorf("limits.sockets", "%d is under %d", c.Machine.Sockets, minSockets)
	}
	return nil
}

// readSettings reads the settings and the endpoints that are known at the start.
func (c *Config) readSettings(file platformFile) (err error) {
	if len(file.Settings) == 0 {
		return tables.KeyErrorf("settings", "missing")
	}
	if c.Settings, c.Site, err = settings.ParseForPooler(file.Settings); err != nil {
		return tables.KeyError{Key: "settings", Cause: err}
	}
	if len(file.Known) == 0 || string(file.Known) == "null" {
		return nil
	}
	if c.Known, err = discovery.Parse(file.Known); err != nil {
		return tables.KeyError{Key: "known", Cause: err}
	}
	return nil
}
