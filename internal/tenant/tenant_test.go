package tenant_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/tenant"
)

var names = []string{"others", "shop", "reports"}

// lookup returns a function that returns the value for the name, and an empty string for any other name.
func lookup(name, value string) func(string) string {
	return func(wanted string) string {
		if wanted == name {
			return value
		}
		return ""
	}
}

// withHeader is a caller whose call has one header.
func withHeader(name, value string) tenant.Caller { return tenant.Caller{Header: lookup(name, value)} }

// at is a caller with an address.
func at(address string) tenant.Caller { return tenant.Caller{Address: netip.MustParseAddr(address)} }

func TestRuleMatchesCallersThatMeetAllConditions(t *testing.T) {
	const network = "10.1.0.0/16"
	allConditions := tenant.Rule{Tenant: "shop", User: "u*", Comment: "team=shop", Address: network}
	for name, test := range map[string]struct {
		rule   tenant.Rule
		caller tenant.Caller
		want   int
	}{
		"another text":            {tenant.Rule{Tenant: "shop", User: "u"}, tenant.Caller{User: "uv"}, 0},
		"a whole text":            {tenant.Rule{Tenant: "shop", User: "u"}, tenant.Caller{User: "u"}, 1},
		"a prefix of a text":      {tenant.Rule{Tenant: "reports", User: "r*"}, tenant.Caller{User: "rx"}, 2},
		"an asterisk, no text":    {tenant.Rule{Tenant: "shop", Database: "*"}, tenant.Caller{}, 1},
		"another front":           {tenant.Rule{Tenant: "shop", Front: "flight"}, tenant.Caller{Front: "postgres"}, 0},
		"a class":                 {tenant.Rule{Tenant: "shop", Class: "read"}, tenant.Caller{Class: "read"}, 1},
		"a single address":        {tenant.Rule{Tenant: "shop", Address: "10.1.2.3"}, at("10.1.2.3"), 1},
		"another address":         {tenant.Rule{Tenant: "shop", Address: "10.1.2.3"}, at("10.1.2.4"), 0},
		"an IPv4-mapped address":  {tenant.Rule{Tenant: "shop", Address: network}, at("::ffff:10.1.2.3"), 1},
		"no address":              {tenant.Rule{Tenant: "shop", Address: network}, tenant.Caller{}, 0},
		"a header":                {tenant.Rule{Tenant: "shop", Header: "a=b*"}, withHeader("a", "bc"), 1},
		"other value of a header": {tenant.Rule{Tenant: "shop", Header: "a=b"}, withHeader("a", "c"), 0},
		"a missing header":        {tenant.Rule{Tenant: "shop", Header: "a=*"}, withHeader("b", "c"), 0},
		"no comment":              {tenant.Rule{Tenant: "shop", Comment: "a=b"}, tenant.Caller{}, 0},
		"all conditions": {allConditions, tenant.Caller{
			User: "ux", Comment: lookup("team", "shop"), Address: netip.MustParseAddr("10.1.9.9"),
		}, 1},
		"all conditions but one": {allConditions, tenant.Caller{
			User: "x", Comment: lookup("team", "shop"), Address: netip.MustParseAddr("10.1.9.9"),
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rules, err := tenant.New(names, []tenant.Rule{test.rule})
			require.NoError(t, err)
			require.Equal(t, test.want, rules.TenantOf(&test.caller))
		})
	}
}

func TestFirstMatchingRuleDeterminesTheTenant(t *testing.T) {
	rules, err := tenant.New(names, []tenant.Rule{
		{Tenant: "reports", User: "r"}, {Tenant: "shop", Class: "read"}, {Tenant: "reports", Class: "read"},
	})
	require.NoError(t, err)
	require.Equal(t, 1, rules.TenantOf(&tenant.Caller{User: "u", Class: "read"}))
}

func TestErrorNamesTheInvalidKey(t *testing.T) {
	good := tenant.Rule{Tenant: "shop", User: "u"}
	for key, bad := range map[string]tenant.Rule{
		"rules[1].tenant":  {Tenant: "unknown", User: "u"},
		"rules[1].comment": {Tenant: "shop", Comment: "a"},
		"rules[1].header":  {Tenant: "shop", Header: "a"},
		"rules[1].front":   {Tenant: "shop", Front: "mysql"},
		"rules[1].address": {Tenant: "shop", Address: "10.1.0.0/99"},
		"rules[1]":         {Tenant: "shop"},
	} {
		t.Run(key, func(t *testing.T) {
			_, err := tenant.New(names, []tenant.Rule{good, bad})
			require.ErrorContains(t, err, key+": ")
		})
	}
}
