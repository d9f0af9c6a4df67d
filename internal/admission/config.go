package admission

import (
	"fmt"

	"capercove/internal/config/tables"
	"capercove/internal/tenant"
)

// Config is the table [door] of the operators' file.
type Config struct {
	Enabled   bool           `toml:"enabled"`
	Limit     string         `toml:"limit"`     // how the concurrency limit follows the latency: gradient or aimd
	Tolerance float64        `toml:"tolerance"` // multiple of the least latency up to which the limit is not lowered
	Client    string         `toml:"client"`    // what identifies a client of a tenant: key, address, connection, user
	Tenants   []TenantConfig `toml:"tenants"`
	Rules     []tenant.Rule  `toml:"rules"`
}

// TenantConfig is a tenant as operators configure it. Rates are in requests a second at this pooler.
type TenantConfig struct {
	Name         string   `toml:"name"`
	Weight       *float64 `toml:"weight"` // 1 if it is missing
	Floor        float64  `toml:"floor"`
	Ceiling      float64  `toml:"ceiling"`
	FloorShare   float64  `toml:"floor_share"`
	CeilingShare float64  `toml:"ceiling_share"`
}

// DefaultTenant is the tenant of requests that no rule assigns. It may be listed, to set its weight.
const DefaultTenant = "default"

// TenantsMost bounds the number of tenants; each has state in every queue.
const TenantsMost = 64

// Bounds of the table's numbers.
const (
	minWeight    = 0.001
	maxWeight    = 1000
	maxRate      = 1e6 // requests a second
	maxTolerance = 100
)

// defaultTolerance is the tolerance of a file that sets none.
const defaultTolerance = 1.3

// limiters are the kinds of limiters by their names.
var limiters = map[string]LimiterKind{"gradient": Gradient, "aimd": AIMD}

// clients are the words that the key client may have.
var clients = map[string]bool{"key": true, "address": true, "connection": true, "user": true}

// Defaults are the values of keys that the file lacks.
func Defaults() Config { return Config{Limit: "gradient", Tolerance: defaultTolerance, Client: "key"} }

// Check returns the first error of the table, a tables.KeyError or the error of a rule, or nil.
func (c Config) Check() error {
	if _, known := limiters[c.Limit]; !known {
		return tables.Bad("limit", "%q is neither gradient nor aimd", c.Limit)
	}
	if !(c.Tolerance > 1 && c.Tolerance <= maxTolerance) {
		return tables.Bad("tolerance", "%v is not above 1 and up to %v", c.Tolerance, maxTolerance)
	}
	if !clients[c.Client] {
		return tables.Bad("client", "%q is not key, address, connection or user", c.Client)
	}
	if len(c.Tenants) >= TenantsMost {
		return tables.Bad(fmt.Sprintf("tenants[%d]", TenantsMost-1), "there are %d tenants, %d is the most",
			len(c.Tenants), TenantsMost-1)
	}
	if err := c.checkTenants(); err != nil {
		return err
	}
	_, err := c.TenantRules()
	return err
}

// checkTenants checks the list of tenants.
func (c Config) checkTenants() error {
	seen := map[string]bool{}
	floors := 0.0
	for i, tenant := range c.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		if tenant.Name == "" || seen[tenant.Name] {
			return tables.Bad(key+".name", "%q is empty or not the first of its name", tenant.Name)
		}
		seen[tenant.Name] = true
		if err := tenant.check(key); err != nil {
			return err
		}
		if floors += tenant.FloorShare; floors > 1 {
			return tables.Bad(key+".floor_share", "the floors add up to %v", floors)
		}
	}
	return nil
}

// check checks the numbers of one tenant, whose table has the given key.
func (t TenantConfig) check(key string) error {
	if t.Weight != nil && !(*t.Weight >= minWeight && *t.Weight <= maxWeight) {
		return tables.Bad(key+".weight", "%v is not from %v to %v", *t.Weight, minWeight, maxWeight)
	}
	for _, bound := range []struct {
		name        string
		value, most float64
	}{
		{"floor", t.Floor, maxRate},
		{"ceiling", t.Ceiling, maxRate},
		{"floor_share", t.FloorShare, 1},
		{"ceiling_share", t.CeilingShare, 1},
	} {
		if !(bound.value >= 0 && bound.value <= bound.most) {
			return tables.Bad(key+"."+bound.name, "%v is not from 0 to %v", bound.value, bound.most)
		}
	}
	if t.Ceiling > 0 && t.Ceiling < t.Floor {
		return tables.Bad(key+".ceiling", "%v is under the floor, %v", t.Ceiling, t.Floor)
	}
	if t.CeilingShare > 0 && t.CeilingShare < t.FloorShare {
		return tables.Bad(key+".ceiling_share", "%v is under the floor, %v", t.CeilingShare, t.FloorShare)
	}
	return nil
}

// names returns the tenants' names by number.
func (c Config) names() []string {
	names := []string{DefaultTenant}
	for _, t := range c.Tenants {
		if t.Name != DefaultTenant {
			names = append(names, t.Name)
		}
	}
	return names
}

// TenantRules returns the rules that assign requests to tenants, by their index in Settings.Tenants.
func (c Config) TenantRules() (*tenant.Rules, error) { return tenant.New(c.names(), c.Rules) }

// Settings returns the controller's settings, with the classes and bounds that the host knows.
func (c Config) Settings(classes []Class, host Settings) Settings {
	settings := host
	settings.Classes, settings.Limiter, settings.Tolerance = classes, limiters[c.Limit], c.Tolerance
	settings.Tenants = nil
	for _, name := range c.names() {
		tenant := Tenant{Name: name, Weight: 1}
		for _, configured := range c.Tenants {
			if configured.Name == name {
				tenant = configured.tenant()
			}
		}
		settings.Tenants = append(settings.Tenants, tenant)
	}
	return settings
}

// tenant returns the tenant with its defaults filled in.
func (t TenantConfig) tenant() Tenant {
	tenant := Tenant{
		Name:         t.Name,
		Weight:       1,
		Floor:        t.Floor,
		Ceiling:      t.Ceiling,
		FloorShare:   t.FloorShare,
		CeilingShare: t.CeilingShare,
	}
	if t.Weight != nil {
		tenant.Weight = *t.Weight
	}
	return tenant
}
