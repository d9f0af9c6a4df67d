package agent

import (
	"fmt"
	"net/url"
	"time"

	"capercove/internal/config/tables"
)

// Config is table [works] of the operators' file.
type Config struct {
	Enabled     bool     `toml:"enabled"`
	Record      []string `toml:"record"`       // API addresses of the poolers that keep the record; empty: those of [store]
	LeaseMS     int      `toml:"lease_ms"`     // a pooler that has not read the record for so long keeps off all that a plan lists
	SkewMS      int      `toml:"skew_ms"`      // two clocks run apart by this in a lease, at the most
	SettleMS    int      `toml:"settle_ms"`    // a machine that is back has been seen well for so long
	FreshMS     int      `toml:"fresh_ms"`     // a replica that is behind by more does not keep up; 0: what the tightest class bears
	Hook        []string `toml:"hook"`         // a program that does the work, with its arguments; empty: a person does it, or hook_url
	HookURL     string   `toml:"hook_url"`     // called with POST instead of a program
	HandOver    []string `toml:"hand_over"`    // a program that lets a replica take over; empty: a person does
	HookSeconds int      `toml:"hook_seconds"` // a call of a hook takes no longer
	HookCalls   int      `toml:"hook_calls"`   // of a hook that fails, or whose caller is gone, at the most, always with the same id
}

// Defaults are what an empty table means.
func Defaults() Config {
	return Config{LeaseMS: 5000, SkewMS: 500, SettleMS: 3000, HookSeconds: 1800, HookCalls: 1}
}

// Check finds what is wrong with the table.
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

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
