package agent

import (
	"fmt"
	"net/url"
	"time"

	"capercove/internal/config/tables"
)

// Config is the table [works] of the operators' file.
type Config struct {
	Enabled bool `toml:"enabled"`
	// Record holds the API addresses of the poolers that store the record; empty: those of [store].
	Record []string `toml:"record"`
	// LeaseMS is the length of a lease: for how long after a read of the record a pooler may send to a plan's machines.
	LeaseMS int `toml:"lease_ms"`
	// SkewMS is the maximum difference that two clocks develop during a lease.
	SkewMS int `toml:"skew_ms"`
	// SettleMS is for how long a recovering machine has to be seen healthy.
	SettleMS int `toml:"settle_ms"`
	// FreshMS is the maximum replication lag of a replica that keeps up; 0: the lag that the strictest class tolerates.
	FreshMS int `toml:"fresh_ms"`
	// Hook is the program that does the work, with its arguments; empty: HookURL is called, or a person does the work.
	Hook []string `toml:"hook"`
	// HookURL is the web service that is called with POST instead of a program.
	HookURL string `toml:"hook_url"`
	// HandOver is the program that makes a replica take over, with its arguments; empty: a person does it.
	HandOver []string `toml:"hand_over"`
	// HookSeconds is the timeout of a call of a hook.
	HookSeconds int `toml:"hook_seconds"`
	// HookCalls is the maximum number of calls, with the same ID, of a hook that fails or whose caller is gone.
	HookCalls int `toml:"hook_calls"`
}

// Defaults returns the configuration of an empty table.
func Defaults() Config {
	return Config{LeaseMS: 5000, SkewMS: 500, SettleMS: 3000, HookSeconds: 1800, HookCalls: 1}
}

// Check validates the table if maintenance is enabled. The error names the key.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	for i, api := range c.Record {
		if err := tables.Address(fmt.Sprintf("record[%d]", i), api); err != nil {
			return err
		}
	}
	for _, v := range []struct {
		key           string
		value         int
		least, atMost int
	}{
		{"lease_ms", c.LeaseMS, 500, 600_000},
		{"skew_ms", c.SkewMS, 0, 600_000},
		{"settle_ms", c.SettleMS, 0, 3_600_000},
		{"fresh_ms", c.FreshMS, 0, 3_600_000},
		{"hook_seconds", c.HookSeconds, 1, 86_400},
		{"hook_calls", c.HookCalls, 1, 100},
	} {
		if v.value < v.least || v.value > v.atMost {
			return tables.Bad(v.key, "%d is not from %d to %d", v.value, v.least, v.atMost)
		}
	}
	if c.HookURL != "" {
		if len(c.Hook) > 0 {
			return tables.Bad("hook_url", "there is a hook, too")
		}
		if u, err := url.Parse(c.HookURL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return tables.Bad("hook_url", "%q is no address of a web service", c.HookURL)
		}
	}
	return nil
}

// milliseconds converts a number of milliseconds.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
