// Package tenant assigns requests to tenants by the operators' rules. A set of rules is immutable: a change of the
// rules creates a new one.
package tenant

import (
	"fmt"
	"net/netip"
	"strings"

	"capercove/internal/config/tables"
)

// Rule assigns the requests that meet its conditions to a tenant. Empty fields are no conditions; all others must
// match. A text matches in full or, if it ends in an asterisk, as a prefix.
type Rule struct {
	Tenant      string `toml:"tenant"`
	Front       string `toml:"front"` // postgres, flight or pcap
	User        string `toml:"user"`
	Application string `toml:"application"`
	Database    string `toml:"database"`
	Comment     string `toml:"comment"` // name=value, in the comment at the end of a statement
	Header      string `toml:"header"`  // name=value, in the headers of a Flight call
	Address     string `toml:"address"` // of the client: a single address, or a range such as 10.1.0.0/16
	Class       string `toml:"class"`
}

// Caller describes the sender of a request.
type Caller struct {
	Front                       string
	User, Application, Database string
	Class                       string
	Address                     netip.Addr
	Connection                  uint64                   // number of the connection; 0: none
	Comment                     func(name string) string // looks up a value in the comment; nil: there is no comment
	Header                      func(name string) string // looks up a value in the headers; nil: there are no headers
}

// Rules assign callers to tenants. They are immutable.
type Rules struct{ rules []rule }

// rule is a Rule with its texts parsed.
type rule struct {
	Rule
	tenant          int // number of the tenant
	comment, header namedPattern
	addresses       netip.Prefix // invalid: any address
}

// namedPattern is the pattern for the value of a name; without a name, it is no condition.
type namedPattern struct{ name, pattern string }

var fronts = map[string]bool{"": true, "postgres": true, "flight": true, "pcap": true}

// New parses the rules for tenants of these names; the index of a name is the number of its tenant. An error is a
// tables.KeyError with the key of the invalid setting, such as rules[2].address.
func New(names []string, list []Rule) (*Rules, error) {
	tenants := map[string]int{}
	for i, name := range names {
		tenants[name] = i
	}
	rules := &Rules{}
	for i, source := range list {
		parsed, err := parse(fmt.Sprintf("rules[%d]", i), source, tenants)
		if err != nil {
			return nil, err
		}
		rules.rules = append(rules.rules, parsed)
	}
	return rules, nil
}

// parse checks and parses a rule. key is the rule's own key, and tenants has the tenants' numbers by name.
func parse(key string, source Rule, tenants map[string]int) (rule, error) {
	tenant, known := tenants[source.Tenant]
	if !known {
		return rule{}, tables.KeyErrorf(key+".tenant", "no tenant is named %q", source.Tenant)
	}
	parsed := rule{Rule: source, tenant: tenant}
	var err error
	if parsed.comment, err = parseNamedPattern(key+".comment", source.Comment); err != nil {
		return rule{}, err
	}
	if parsed.header, err = parseNamedPattern(key+".header", source.Header); err != nil {
		return rule{}, err
	}
	if !fronts[source.Front] {
		return rule{}, tables.KeyErrorf(key+".front", "%q is not postgres, flight or pcap", source.Front)
	}
	if parsed.addresses, err = parseAddresses(source.Address); err != nil {
		return rule{}, tables.KeyErrorf(key+".address", "%v", err)
	}
	if (Rule{Tenant: source.Tenant}) == source {
		return rule{}, tables.KeyErrorf(key, "has no condition")
	}
	return parsed, nil
}

// parseNamedPattern parses name=value. An empty text is no condition.
func parseNamedPattern(key, text string) (namedPattern, error) {
	name, pattern, ok := strings.Cut(text, "=")
	if text != "" && !ok {
		return namedPattern{}, tables.KeyErrorf(key, "%q is not name=value", text)
	}
	return namedPattern{name, pattern}, nil
}

// parseAddresses parses an address or a range of addresses. An empty text is no condition.
func parseAddresses(text string) (netip.Prefix, error) {
	if text == "" {
		return netip.Prefix{}, nil
	}
	if address, err := netip.ParseAddr(text); err == nil {
		return address.Prefix(address.BitLen())
	}
	return netip.ParsePrefix(text)
}

// TenantOf returns the number of a caller's tenant: that of the first rule that matches, or 0 if none does.
func (r *Rules) TenantOf(caller *Caller) int {
	for i := range r.rules {
		if r.rules[i].matches(caller) {
			return r.rules[i].tenant
		}
	}
	return 0
}

func (r *rule) matches(caller *Caller) bool {
	return (r.Front == "" || r.Front == caller.Front) &&
		matchText(r.User, caller.User) &&
		matchText(r.Application, caller.Application) &&
		matchText(r.Database, caller.Database) &&
		matchText(r.Class, caller.Class) &&
		r.comment.matches(caller.Comment) &&
		r.header.matches(caller.Header) &&
		(!r.addresses.IsValid() || r.addresses.Contains(caller.Address.Unmap()))
}

// matches reports whether the value of the name matches the pattern. A missing or empty value matches no pattern.
func (p namedPattern) matches(lookup func(name string) string) bool {
	if p.name == "" {
		return true
	}
	if lookup == nil {
		return false
	}
	value := lookup(p.name)
	return value != "" && matchText(p.pattern, value)
}

// matchText reports whether a text equals the pattern or, if the pattern ends in an asterisk, begins with it. An empty
// pattern matches any text.
func matchText(pattern, text string) bool {
	if prefix, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
		return strings.HasPrefix(text, prefix)
	}
	return pattern == "" || pattern == text
}
