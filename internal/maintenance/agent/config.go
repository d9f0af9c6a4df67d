package agent

import (
	"fmt"
	"net/url"
	"time"

	"capercove/internal/config/tables"
)

// Config is table [works] of the operators' file.
type Config struct {
	Enabled bool `toml:"enabled"`
	// Record has the API addresses of the poolers that keep the record; empty: those of [store].
	Record []string `toml:"record"`
	// LeaseMS is for how long a pooler that does not read the record may send to machines that a plan lists.
	LeaseMS int `toml:"lease_ms"`
	// SkewMS is by how much two clocks run apart in a lease at the most.
	SkewMS int `toml:"skew_ms"`
	// SettleMS is for how long a machine that is back has to be seen healthy.
	SettleMS int `toml:"settle_ms"`
	// FreshMS is the replication lag from which on a replica does not keep up; 0: what the tightest class tolerates.
	FreshMS int `toml:"fresh_ms"`
	// Hook is a program that does the work, with its arguments; empty: a person does it, or HookURL.
	Hook []string `toml:"hook"`
	// HookURL is called with POST instead of a program.
	HookURL string `toml:"hook_url"`
	// HandOver is a program that lets a replica take over, with its arguments; empty: a person does.
	HandOver []string `toml:"hand_over"`
	// HookSeconds is how long a call of a hook takes at the most.
	HookSeconds int `toml:"hook_seconds"`
	// HookCalls is how often a hook that fails, or whose caller is gone, is called at the most, with the same ID.
	HookCalls int `toml:"hook_calls"`
}

// Defaults returns what an empty table means.
func Defaults() Config {
	return Config{LeaseMS: 5000, SkewMS: 500, SettleMS: 3000, HookSeconds: 1800, HookCalls: 1}
}

// Check finds what is wrong with the table.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	for i, api := range c.Record {
		if err := tables.CheckAddress(fmt.Sprintf("record[%d]", i), api); err != nil {
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
			return tables.KeyErrorf(v.key, "%d is not from %d to %d", v.value, v.least, v.atMost)
		}
	}
	if c.HookURL != "" {
		if len(c.Hook) > 0 {
			return tables.KeyErrorf("hook_url", "there is a hook, too")
		}
		if u, err := url.Parse(c.HookURL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return tables.KeyErrorf("hook_url", "%q is no address of a web service", c.HookURL)
		}
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
