package admission

import (
	"fmt"

	"capercove/internal/config/tables"
	"capercove/internal/tenant"
)

// Config is the table [door] of the operators' file.
type Config struct {
	Enabled   bool           `toml:"enabled"`
	Limit     string         `toml:"limit"`     // how much is let in follows the latency: gradient or aimd
	Tolerance float64        `toml:"tolerance"` // the latency that is no crowd yet, as a multiple of the least
	Client    string         `toml:"client"`    // what tells the clients of a tenant apart: key, address, connection, user
	Tenants   []TenantConfig `toml:"tenants"`
	Rules     []tenant.Rule  `toml:"rules"`
}

// TenantConfig is a tenant as operators set it. Rates are in requests a second at this pooler.
type TenantConfig struct {
	Name         string   `toml:"name"`
	Weight       *float64 `toml:"weight"` // 1 if it is missing
	Floor        float64  `toml:"floor"`
	Ceiling      float64  `toml:"ceiling"`
	FloorShare   float64  `toml:"floor_share"`
	CeilingShare float64  `toml:"ceiling_share"`
}

// DefaultTenant is who no rule names. It may be listed, to set its weight.
const DefaultTenant = "default"

// TenantsMost is how many tenants there may be; each takes a place in the fixed tables of a lane.
const TenantsMost = 64

var limiters = map[string]LimiterKind{"gradient": Gradient, "aimd": AIMD}

var clients = map[string]bool{"key": true, "address": true, "connection": true, "user": true}

// Defaults are the values of keys that the file lacks.
func Defaults() Config { return Config{Limit: "gradient", Tolerance: 1.3, Client: "key"} }

// Check tells what is wrong with the table.
func (c Config) Check() error {
	if _, known := limiters[c.Limit]; !known {
		return tables.Bad("limit", "%q is neither gradient nor aimd", c.Limit)
	}
	if !(c.Tolerance > 1 && c.Tolerance <= 100) {
		return tables.Bad("tolerance", "%v is not above 1 and up to 100", c.Tolerance)
	}
	if !clients[c.Client] {
		return tables.Bad("client", "%q is not key, address, connection or user", c.Client)
	}
	if len(c.Tenants) >= TenantsMost {
		return tables.Bad(fmt.Sprintf("tenants[%d]", TenantsMost-1), "there are %d tenants, %d is the most", len(c.Tenants), TenantsMost-1)
	}
	seen := map[string]bool{}
	floors := 0.0
	for i, t := range c.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return tables.Bad(key+".name", "%q is empty or not the first of its name", t.Name)
		}
		seen[t.Name] = true
		if t.Weight != nil && !(*t.Weight >= 0.001 && *t.Weight <= 1000) {
			return tables.Bad(key+".weight", "%v is not from 0.001 to 1000", *t.Weight)
		}
		for _, v := range []struct {
			name        string
			value, most float64
		}{{"floor", t.Floor, 1e6}, {"ceiling", t.Ceiling, 1e6}, {"floor_share", t.FloorShare, 1}, {"ceiling_share", t.CeilingShare, 1}} {
			if !(v.value >= 0 && v.value <= v.most) {
				return tables.Bad(key+"."+v.name, "%v is not from 0 to %v", v.value, v.most)
			}
		}
		if t.Ceiling > 0 && t.Ceiling < t.Floor {
			return tables.Bad(key+".ceiling", "%v is under the floor, %v", t.Ceiling, t.Floor)
		}
		if t.CeilingShare > 0 && t.CeilingShare < t.FloorShare {
			return tables.Bad(key+".ceiling_share", "%v is under the floor, %v", t.CeilingShare, t.FloorShare)
		}
		if floors += t.FloorShare; floors > 1 {
			return tables.Bad(key+".floor_share", "the floors add up to %v", floors)
		}
	}
	_, err := c.TenantRules()
	return err
}

// names are the tenants' names by number.
func (c Config) names() []string {
	names := []string{DefaultTenant}
	for _, t := range c.Tenants {
		if t.Name != DefaultTenant {
			names = append(names, t.Name)
		}
	}
	return names
}

// TenantRules tell tenants by their numbers in Settings.
func (c Config) TenantRules() (*tenant.Rules, error) { return tenant.New(c.names(), c.Rules) }

// Settings are the door's, for the classes and bounds that the host knows.
func (c Config) Settings(classes []Class, host Settings) Settings {
	s := host
	s.Classes, s.Limiter, s.Tolerance = classes, limiters[c.Limit], c.Tolerance
	s.Tenants = nil
	for _, name := range c.names() {
		t := Tenant{Name: name, Weight: 1}
		for _, set := range c.Tenants {
			if set.Name != name {
				continue
			}
			t = Tenant{Name: name, Weight: 1, Floor: set.Floor, Ceiling: set.Ceiling, FloorShare: set.FloorShare, CeilingShare: set.CeilingShare}
			if set.Weight != nil {
				t.Weight = *set.Weight
			}
		}
		s.Tenants = append(s.Tenants, t)
	}
	return s
}
