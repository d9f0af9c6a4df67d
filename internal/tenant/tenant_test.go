package tenant_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/tenant"
)

var names = []string{"others", "shop", "reports"}

func values(of map[string]string) func(string) string {
	return func(name string) string { return of[name] }
}

func TestRuleMatches(t *testing.T) {
	all := tenant.Rule{Tenant: "shop", User: "u*", Comment: "team=shop", Address: "10.1.0.0/16"}
	address := netip.MustParseAddr
	for name, test := range map[string]struct {
		rule   tenant.Rule
		caller tenant.Caller
		want   int
	}{
		"no condition holds":         {tenant.Rule{Tenant: "shop", User: "u"}, tenant.Caller{User: "uv"}, 0},
		"a whole text":               {tenant.Rule{Tenant: "shop", User: "u"}, tenant.Caller{User: "u"}, 1},
		"the beginning of a text":    {tenant.Rule{Tenant: "reports", Application: "r*"}, tenant.Caller{Application: "rx"}, 2},
		"an asterisk matches none":   {tenant.Rule{Tenant: "shop", Database: "*"}, tenant.Caller{}, 1},
		"another front":              {tenant.Rule{Tenant: "shop", Front: "flight"}, tenant.Caller{Front: "postgres"}, 0},
		"a class":                    {tenant.Rule{Tenant: "shop", Class: "read"}, tenant.Caller{Class: "read"}, 1},
		"one address":                {tenant.Rule{Tenant: "shop", Address: "10.1.2.3"}, tenant.Caller{Address: address("10.1.2.3")}, 1},
		"another address":            {tenant.Rule{Tenant: "shop", Address: "10.1.2.3"}, tenant.Caller{Address: address("10.1.2.4")}, 0},
		"an address mapped into six": {tenant.Rule{Tenant: "shop", Address: "10.1.0.0/16"}, tenant.Caller{Address: address("::ffff:10.1.2.3")}, 1},
		"no address":                 {tenant.Rule{Tenant: "shop", Address: "10.1.0.0/16"}, tenant.Caller{}, 0},
		"a header":                   {tenant.Rule{Tenant: "shop", Header: "a=b*"}, tenant.Caller{Header: values(map[string]string{"a": "bc"})}, 1},
		"a header's other value":     {tenant.Rule{Tenant: "shop", Header: "a=b"}, tenant.Caller{Header: values(map[string]string{"a": "c"})}, 0},
		"an empty header":            {tenant.Rule{Tenant: "shop", Header: "a=*"}, tenant.Caller{Header: values(nil)}, 0},
		"no comment":                 {tenant.Rule{Tenant: "shop", Comment: "a=b"}, tenant.Caller{}, 0},
		"all conditions": {all, tenant.Caller{
			User: "ux", Comment: values(map[string]string{"team": "shop"}), Address: address("10.1.9.9"),
		}, 1},
		"all conditions but one": {all, tenant.Caller{
			User: "x", Comment: values(map[string]string{"team": "shop"}), Address: address("10.1.9.9"),
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rules, err := tenant.New(names, []tenant.Rule{test.rule})
			require.NoError(t, err)
			require.Equal(t, test.want, rules.Of(&test.caller))
		})
	}
}

func TestFirstRuleThatMatchesCounts(t *testing.T) {
	rules, err := tenant.New(names, []tenant.Rule{
		{Tenant: "reports", User: "r"}, {Tenant: "shop", Class: "read"}, {Tenant: "reports", Class: "read"},
	})
	require.NoError(t, err)
	require.Equal(t, 1, rules.Of(&tenant.Caller{User: "u", Class: "read"}))
}

func TestErrorNamesTheKeyAtFault(t *testing.T) {
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
