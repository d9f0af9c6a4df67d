package contract_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// setting is one line of an operators' file that sets a key.
type setting struct {
	table, key, value string
	line              int // from 1
}

func (s setting) name() string { return s.table + "." + s.key }

var (
	tableLine = regexp.MustCompile(`^\[\[?([a-z_.]+)\]\]?`)
	keyLine   = regexp.MustCompile(`^([a-z0-9_-]+) = (.*)$`)
	aside     = regexp.MustCompile(`\s+#.*$`)
)

// settingsOf are the keys that a file of the operators sets, in its order.
func settingsOf(lines []string) (all []setting) {
	table := ""
	for i, line := range lines {
		line = aside.ReplaceAllString(line, "")
		if m := tableLine.FindStringSubmatch(line); m != nil {
			table = m[1]
		} else if m := keyLine.FindStringSubmatch(line); m != nil {
			all = append(all, setting{table: table, key: m[1], value: m[2], line: i + 1})
		}
	}
	return all
}

func linesOf(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return strings.Split(string(text), "\n")
}

// check lets the program check an operators' file of these lines, under the name own.toml.
func check(t *testing.T, lines []string) result {
	t.Helper()
	dir := t.TempDir()
	assert.NoError(t, os.WriteFile(filepath.Join(dir, "own.toml"), []byte(strings.Join(lines, "\n")), 0o600))
	return run(t, dir, nil, "capercove", "check", "own.toml")
}

// with returns lines with one of them, numbered from 1, written otherwise.
func with(lines []string, number int, line string) []string {
	changed := append([]string{}, lines...)
	changed[number-1] = line
	return changed
}

const completeFile = "testdata/operators/complete.toml"

// The shipped file names each key with its default; what is commented out there counts as named.
func TestOperatorsKeysAndDefaults(t *testing.T) {
	t.Parallel()
	shipped := linesOf(t, filepath.Join(root, "deploy", "capercove.toml"))
	uncommented := regexp.MustCompile(`^# (\[\[|[a-z_]+ = )`)
	for i, line := range shipped {
		if uncommented.MatchString(line) {
			shipped[i] = strings.TrimPrefix(line, "# ")
		}
	}
	var defaults strings.Builder
	names := []string{}
	for _, s := range settingsOf(shipped) {
		names = append(names, s.name())
		fmt.Fprintf(&defaults, "%s = %s\n", s.name(), s.value)
	}
	golden(t, "operators/defaults.txt", defaults.String())
	complete := []string{}
	for _, s := range settingsOf(linesOf(t, completeFile)) {
		if s.table != "flight.servers" { // its keys are names of databases
			complete = append(complete, s.name())
		}
	}
	require.Equal(t, names, complete, "%s sets each key once", completeFile)
}

// The shipped file, an empty one and one that sets each key are good.
func TestGoodOperatorsFiles(t *testing.T) {
	t.Parallel()
	for name, lines := range map[string][]string{
		"shipped":  linesOf(t, filepath.Join(root, "deploy", "capercove.toml")),
		"complete": linesOf(t, completeFile),
		"empty":    nil,
	} {
		require.Equal(t, result{stdout: "good\n"}, check(t, lines), name)
	}
}

// Each key is refused under another name, with file, line and key; and with a value of another type.
func TestBadOperatorsKeys(t *testing.T) {
	t.Parallel()
	lines := linesOf(t, completeFile)
	settings := settingsOf(lines)
	messages := make([]string, len(settings))
	concurrently(len(settings), func(i int) {
		s := settings[i]
		if s.table != "flight.servers" {
			unknown := check(t, with(lines, s.line, "odd_"+s.key+" = "+s.value))
			assert.Equal(t, 1, unknown.status, s.name())
			assert.Equal(t, fmt.Sprintf("own.toml:%d: unknown key %s.odd_%s\n", s.line, s.table, s.key), unknown.said())
		}
		wrong := `"odd"`
		if strings.HasPrefix(s.value, `"`) {
			wrong = "7"
		}
		typed := check(t, with(lines, s.line, s.key+" = "+wrong))
		assert.Equal(t, 1, typed.status, s.name())
		messages[i] = s.name() + " = " + wrong + "\n\t" + withoutTypes(typed.said())
	})
	golden(t, "operators/wrong-types.txt", strings.Join(messages, ""))
}

// Each key may be left out unless another one wants it: its default is as good as a value.
func TestOperatorsKeysLeftOut(t *testing.T) {
	t.Parallel()
	lines := linesOf(t, completeFile)
	settings := settingsOf(lines)
	messages := make([]string, len(settings))
	concurrently(len(settings), func(i int) {
		without := check(t, with(lines, settings[i].line, ""))
		messages[i] = fmt.Sprintf("%s left out: status %d\n\t%s", settings[i].name(), without.status, without.said())
	})
	golden(t, "operators/left-out.txt", strings.Join(messages, ""))
}

// goTypes are names of the program's own types and fields in a TOML parser's message: they are no part of the contract.
var goTypes = regexp.MustCompile(`into struct field .*`)

func withoutTypes(message string) string { return goTypes.ReplaceAllString(message, "into a field") }

// outOfRange are values of the right type that no key takes.
var outOfRange = []struct{ key, value string }{
	{"flight.listen", `"nowhere"`},
	{"flight.server_port", "0"},
	{"flight.server_port", "65536"},
	{"flight.servers.db-0", `"nowhere"`},
	{"store.listen", `"nowhere"`},
	{"store.bind", `"nowhere"`},
	{"store.api", `"nowhere"`},
	{"store.api_bind", `"nowhere"`},
	{"store.dir", `""`},
	{"store.peers.name", `""`},
	{"store.peers.listen", `"nowhere"`},
	{"store.peers.api", `"nowhere"`},
	{"fleet.cluster", `""`},
	{"fleet.cluster", `"` + strings.Repeat("x", 65) + `"`},
	{"fleet.listen", `"localhost:7946"`},
	{"fleet.advertise", `"nowhere"`},
	{"fleet.seeds", `["127.0.0.3:7946", "nowhere"]`},
	{"fleet.zone", `"` + strings.Repeat("x", 65) + `"`},
	{"fleet.slower", "0.04"},
	{"fleet.slower", "20.1"},
	{"fleet.connections", "-1"},
	{"works.record", `["nowhere"]`},
	{"works.lease_ms", "499"},
	{"works.lease_ms", "600001"},
	{"works.skew_ms", "-1"},
	{"works.skew_ms", "600001"},
	{"works.settle_ms", "-1"},
	{"works.settle_ms", "3600001"},
	{"works.fresh_ms", "-1"},
	{"works.fresh_ms", "3600001"},
	{"works.hook_url", `"http://127.0.0.1:1/hook"`},
	{"works.hook_seconds", "0"},
	{"works.hook_seconds", "86401"},
	{"works.hook_calls", "0"},
	{"works.hook_calls", "101"},
	{"pcap.write", `"in.pcap"`},
	{"pcap.port", "0"},
	{"pcap.port", "65536"},
	{"pcap.speed", "0.0"},
	{"door.limit", `"odd"`},
	{"door.tolerance", "1.0"},
	{"door.tolerance", "100.1"},
	{"door.client", `"odd"`},
	{"door.tenants.name", `""`},
	{"door.tenants.weight", "0.0"},
	{"door.tenants.weight", "1000.1"},
	{"door.tenants.floor", "-1.0"},
	{"door.tenants.floor", "51.0"},
	{"door.tenants.ceiling", "1e7"},
	{"door.tenants.floor_share", "1.1"},
	{"door.tenants.ceiling_share", "0.05"},
	{"door.rules.tenant", `"shop"`},
	{"door.rules.front", `"odd"`},
	{"door.rules.comment", `"odd"`},
	{"door.rules.header", `"odd"`},
	{"door.rules.address", `"odd"`},
	{"statements.mode", `"odd"`},
	{"statements.writes", `"odd"`},
	{"statements.unknown", `"odd"`},
	{"statements.writers", `["a.b.c"]`},
	{"statements.readers", `["audit.note"]`},
	{"statements.relations", `[""]`},
}

// A value out of range is refused, with file, line, key and reason.
func TestOperatorsValuesOutOfRange(t *testing.T) {
	t.Parallel()
	lines := linesOf(t, completeFile)
	at := map[string]setting{}
	for _, s := range settingsOf(lines) {
		at[s.name()] = s
	}
	messages := make([]string, len(outOfRange))
	concurrently(len(outOfRange), func(i int) {
		c := outOfRange[i]
		refused := check(t, with(lines, at[c.key].line, at[c.key].key+" = "+c.value))
		assert.Equal(t, 1, refused.status, "%s = %s", c.key, c.value)
		messages[i] = c.key + " = " + c.value + "\n\t" + refused.said()
	})
	golden(t, "operators/out-of-range.txt", strings.Join(messages, ""))
}

// Tables that do not go together, and a file that cannot be read, are refused.
func TestOperatorsTablesThatDoNotFit(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, text string }{
		{"works without fleet", "[works]\nenabled = true\nrecord = [\"127.0.0.1:1\"]"},
		{"works without a record", "[works]\nenabled = true\n" +
			"[fleet]\nenabled = true\ncluster = \"c\"\nlisten = \"127.0.0.1:1\""},
		{"a store to join without peers", "[store]\nenabled = true\njoin = true"},
		{"a hook of another scheme", "[works]\nenabled = true\nhook_url = \"ftp://a\""},
		{"an unknown table", "[odd]\nenabled = true"},
		{"a key outside of tables", "enabled = true"},
		{"no TOML", "[works]\nlease_ms ="},
		{"a table twice", "[works]\n[works]"},
		{"a rule without a condition", "[[door.tenants]]\nname = \"a\"\n[[door.rules]]\ntenant = \"a\""},
		{"a tenant twice", "[[door.tenants]]\nname = \"a\"\n[[door.tenants]]\nname = \"a\""},
		{"floors over all", "[[door.tenants]]\nname = \"a\"\nfloor_share = 0.6\n" +
			"[[door.tenants]]\nname = \"b\"\nfloor_share = 0.6"},
	}
	messages := make([]string, len(cases))
	concurrently(len(cases), func(i int) {
		refused := check(t, strings.Split(cases[i].text, "\n"))
		assert.Equal(t, 1, refused.status, cases[i].name)
		messages[i] = cases[i].name + "\n\t" + refused.said()
	})
	golden(t, "operators/misfits.txt", strings.Join(messages, ""))
}
