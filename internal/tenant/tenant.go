// Package tenant tells by the operators' rules who a request is of. It is a table that is made once and looked up; a
// change of the rules is a new table.
package tenant

import (
	"fmt"
	"net/netip"
	"strings"

	"capercove/internal/config/tables"
)

// Rule names a tenant. All the conditions that are not empty must hold. Texts match whole, or by their beginning if
// they end in an asterisk.
type Rule struct {
	Tenant      string `toml:"tenant"`
	Front       string `toml:"front"` // postgres, flight or pcap
	User        string `toml:"user"`
	Application string `toml:"application"`
	Database    string `toml:"database"`
	Comment     string `toml:"comment"` // name=value, in the comment that ends a statement
	Header      string `toml:"header"`  // name=value, of a Flight call
	Address     string `toml:"address"` // of the client: one, or a range such as 10.1.0.0/16
	Class       string `toml:"class"`
}

// Caller is what is known of who sends a request.
type Caller struct {
	Front                       string
	User, Application, Database string
	Class                       string
	Address                     netip.Addr
	Connection                  uint64                   // its number; 0: none
	Comment                     func(name string) string // nil: the request has none
	Header                      func(name string) string
}

// Rules tell a caller's tenant.
type Rules struct{ rules []rule }

type rule struct {
	Rule
	number         int
	addresses      netip.Prefix
	comment, value string
	header, is     string
}

var fronts = map[string]bool{"": true, "postgres": true, "flight": true, "pcap": true}

// New makes rules for tenants of these names. The error names the key at fault, such as rules[2].address.
func New(names []string, list []Rule) (*Rules, error) {
	numbers := map[string]int{}
	for i, name := range names {
		numbers[name] = i
	}
	r := &Rules{}
	for i, from := range list {
		key := fmt.Sprintf("rules[%d]", i)
		number, known := numbers[from.Tenant]
		if !known {
			return nil, tables.Bad(key+".tenant", "no tenant is named %q", from.Tenant)
		}
		made := rule{Rule: from, number: number}
		var ok bool
		if made.comment, made.value, ok = strings.Cut(from.Comment, "="); from.Comment != "" && !ok {
			return nil, tables.Bad(key+".comment", "%q is not name=value", from.Comment)
		}
		if made.header, made.is, ok = strings.Cut(from.Header, "="); from.Header != "" && !ok {
			return nil, tables.Bad(key+".header", "%q is not name=value", from.Header)
		}
		if !fronts[from.Front] {
			return nil, tables.Bad(key+".front", "%q is not postgres, flight or pcap", from.Front)
		}
		if from.Address != "" {
			one, err := netip.ParseAddr(from.Address)
			if err == nil {
				made.addresses, err = one.Prefix(one.BitLen())
			} else {
				made.addresses, err = netip.ParsePrefix(from.Address)
			}
			if err != nil {
				return nil, tables.Bad(key+".address", "%v", err)
			}
		}
		if (Rule{Tenant: from.Tenant}) == from {
			return nil, tables.Bad(key, "has no condition")
		}
		r.rules = append(r.rules, made)
	}
	return r, nil
}

// Of returns the number of a caller's tenant: of the first rule that matches, or 0.
func (r *Rules) Of(c *Caller) int {
	for i := range r.rules {
		if r.rules[i].matches(c) {
			return r.rules[i].number
		}
	}
	return 0
}

func (r *rule) matches(c *Caller) bool {
	return (r.Front == "" || r.Front == c.Front) && match(r.User, c.User) && match(r.Application, c.Application) &&
		match(r.Database, c.Database) && match(r.Class, c.Class) && told(r.comment, r.value, c.Comment) &&
		told(r.header, r.is, c.Header) && (!r.addresses.IsValid() || r.addresses.Contains(c.Address.Unmap()))
}

func match(pattern, s string) bool {
	if start, any := strings.CutSuffix(pattern, "*"); any {
		return strings.HasPrefix(s, start)
	}
	return pattern == "" || pattern == s
}

func told(name, value string, by func(string) string) bool {
	if name == "" {
		return true
	}
	if by == nil {
		return false
	}
	v := by(name)
	return v != "" && match(value, v)
}
