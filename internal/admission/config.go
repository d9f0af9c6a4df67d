package admission

import (
	"fmt"

	"capercove/internal/config/tables"
	"capercove/internal/tenant"
)

// Config is the table [door] of the operators' file.
type Config struct {
	Enabled   bool           `toml:"enabled"`
	Limit     string         `toml:"limit"`     // algorithm of the concurrency limit: gradient or aimd
	Tolerance float64        `toml:"tolerance"` // multiple of the latency floor up to which the limit is not reduced
	Client    string         `toml:"client"`    // what identifies a client of a tenant: key, address, connection, user
	Tenants   []TenantConfig `toml:"tenants"`
	Rules     []tenant.Rule  `toml:"rules"`
}

// TenantConfig is the table of a tenant in the operators' file. Rates are in requests a second at this pooler. The type
// Tenant describes the numbers.
type TenantConfig struct {
	Name         string   `toml:"name"`
	Weight       *float64 `toml:"weight"` // nil: 1
	Floor        float64  `toml:"floor"`
	Ceiling      float64  `toml:"ceiling"`
	FloorShare   float64  `toml:"floor_share"`
	CeilingShare float64  `toml:"ceiling_share"`
}

// DefaultTenant is the tenant of requests that match no rule. Operators may list it to set its weight.
const DefaultTenant = "default"

// MaxTenants bounds the number of tenants, DefaultTenant included. Each tenant has state in every queue.
const MaxTenants = 64

// Bounds of the table's numbers.
const (
	minWeight    = 0.001
	maxWeight    = 1000
	maxRate      = 1e6 // requests a second
	maxTolerance = 100
)

// defaultTolerance is the tolerance if the file sets none.
const defaultTolerance = 1.3

// limiters maps the values of the key limit to the kinds of limiters.
var limiters = map[string]LimiterKind{"gradient": Gradient, "aimd": AIMD}

// clients are the valid values of the key client.
var clients = map[string]bool{"key": true, "address": true, "connection": true, "user": true}

// Defaults returns the values of the keys that the file does not set.
func Defaults() Config { return Config{Limit: "gradient", Tolerance: defaultTolerance, Client: "key"} }

// Check returns the first error of the table: a tables.KeyError or the error of a rule. A valid table gives nil.
func (c Config) Check() error {
	if _, known := limiters[c.Limit]; !known {
		return tables.KeyErrorf("limit", "%q is neither gradient nor aimd", c.Limit)
	}
	if !(c.Tolerance > 1 && c.Tolerance <= maxTolerance) {
		return tables.KeyErrorf("tolerance", "%v is not above 1 and up to %v", c.Tolerance, maxTolerance)
	}
	if !clients[c.Client] {
		return tables.KeyErrorf("client", "%q is not key, address, connection or user", c.Client)
	}
	if len(c.Tenants) >= MaxTenants {
		return tables.KeyErrorf(fmt.Sprintf("tenants[%d]", MaxTenants-1),
			"%d tenants are listed, at most %d are allowed", len(c.Tenants), MaxTenants-1)
	}
	if err := c.checkTenants(); err != nil {
		return err
	}
	_, err := c.TenantRules()
	return err
}

// checkTenants checks each tenant, and that names are unique and the floor shares add up to at most 1.
func (c Config) checkTenants() error {
	seen := map[string]bool{}
	floors := 0.0
	for i, tenant := range c.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		if tenant.Name == "" || seen[tenant.Name] {
			return tables.KeyErrorf(key+".name", "%q is empty or not the first of its name", tenant.Name)
		}
		seen[tenant.Name] = true
		if err := tenant.check(key); err != nil {
			return err
		}
		if floors += tenant.FloorShare; floors > 1 {
			return tables.KeyErrorf(key+".floor_share", "the floors add up to %v", floors)
		}
	}
	return nil
}

// check validates the numbers of a tenant. The key of its table is for the error.
func (t TenantConfig) check(key string) error {
	if t.Weight != nil && !(*t.Weight >= minWeight && *t.Weight <= maxWeight) {
		return tables.KeyErrorf(key+".weight", "%v is not from %v to %v", *t.Weight, minWeight, maxWeight)
	}
	for _, bound := range []struct {
		name           string
		value, maximum float64
	}{
		{"floor", t.Floor, maxRate},
		{"ceiling", t.Ceiling, maxRate},
		{"floor_share", t.FloorShare, 1},
		{"ceiling_share", t.CeilingShare, 1},
	} {
		if !(bound.value >= 0 && bound.value <= bound.maximum) {
			return tables.KeyErrorf(key+"."+bound.name, "%v is not from 0 to %v", bound.value, bound.maximum)
		}
	}
	if t.Ceiling > 0 && t.Ceiling < t.Floor {
		return tables.KeyErrorf(key+".ceiling", "%v is under the floor, %v", t.Ceiling, t.Floor)
	}
	if t.CeilingShare > 0 && t.CeilingShare < t.FloorShare {
		return tables.KeyErrorf(key+".ceiling_share", "%v is under the floor, %v", t.CeilingShare, t.FloorShare)
	}
	return nil
}

// names returns the names of the tenants in the order of Settings.Tenants.
func (c Config) names() []string {
	names := []string{DefaultTenant}
	for _, t := range c.Tenants {
		if t.Name != DefaultTenant {
			names = append(names, t.Name)
		}
	}
	return names
}

// TenantRules returns the rules that assign requests to tenants. They refer to a tenant by its index in
// Settings.Tenants.
func (c Config) TenantRules() (*tenant.Rules, error) { return tenant.New(c.names(), c.Rules) }

// Settings returns the controller's settings: the tenants and the limiter of the table, the given classes, and all else
// from host.
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

// tenant returns the Tenant of the table, with the default weight if none is set.
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
