package contract_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const completePlatform = "testdata/platform/complete.json"

// leaves are the paths of all values of a JSON text that are neither objects nor lists of objects, sorted.
func leaves(value any, path string) (all []string) {
	switch value := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			all = append(all, leaves(value[key], strings.TrimPrefix(path+"."+key, "."))...)
		}
		return all
	case []any:
		for i, element := range value {
			if _, object := element.(map[string]any); object {
				all = append(all, leaves(element, fmt.Sprintf("%s.%d", path, i))...)
			}
		}
		if all != nil {
			return all
		}
	}
	return []string{path}
}

// changed is a JSON text with the value at a path replaced, or left out where it is absent.
func changed(t *testing.T, text []byte, path string, value any) []byte {
	t.Helper()
	var whole any
	assert.NoError(t, json.Unmarshal(text, &whole))
	steps := strings.Split(path, ".")
	last := steps[len(steps)-1]
	at := whole
	for _, step := range steps[:len(steps)-1] {
		if list, ok := at.([]any); ok {
			at = list[int(step[0]-'0')]
		} else {
			at = at.(map[string]any)[step]
		}
	}
	if value == nil {
		delete(at.(map[string]any), last)
	} else {
		at.(map[string]any)[last] = value
	}
	out, err := json.Marshal(whole)
	assert.NoError(t, err)
	return out
}

// checkPlatform lets the program check a configuration of the platform, under the name config.json.
func checkPlatform(t *testing.T, text []byte, env ...string) result {
	t.Helper()
	dir := t.TempDir()
	assert.NoError(t, os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600))
	assert.NoError(t, os.WriteFile(filepath.Join(dir, "own.toml"), nil, 0o600))
	return run(t, dir, append([]string{"GW_CONFIG=config.json"}, env...), "capercove", "check", "own.toml")
}

func completeJSON(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(completePlatform)
	require.NoError(t, err)
	return text
}

// Each key of the platform's configuration: what the program says where it is left out, and where its value has another
// type. Keys that the program does not use are skipped whatever they hold.
func TestPlatformKeys(t *testing.T) {
	t.Parallel()
	text := completeJSON(t)
	require.Equal(t, result{stdout: "good\n"}, checkPlatform(t, text))
	var whole any
	require.NoError(t, json.Unmarshal(text, &whole))
	paths := slices.DeleteFunc(leaves(whole, ""), func(path string) bool {
		return strings.HasPrefix(path, "settings.lanes.2.") // as the others
	})
	lines := make([]string, len(paths))
	concurrently(len(paths), func(i int) {
		var line strings.Builder
		for _, c := range []struct {
			how   string
			value any
		}{{"left out", nil}, {"of another type", map[string]any{"odd": 1}}} {
			checked := checkPlatform(t, changed(t, text, paths[i], c.value))
			fmt.Fprintf(&line, "%s %s: status %d\n\t%s", paths[i], c.how, checked.status, withoutJSONTypes(checked.said()))
		}
		lines[i] = line.String()
	})
	golden(t, "platform/keys.txt", strings.Join(lines, ""))
}

// jsonTypes are names of the program's own types in a JSON parser's message. They are no part of the contract; the key
// behind them is.
var (
	jsonTypes  = regexp.MustCompile(`Go (?:struct field \w*\.([\w.]+)|value) of type \S+`)
	jsonNested = regexp.MustCompile(`\b[A-Z]\w*\.`)
)

func withoutJSONTypes(message string) string {
	return jsonTypes.ReplaceAllStringFunc(message, func(found string) string {
		return "a field " + jsonNested.ReplaceAllString(jsonTypes.ReplaceAllString(found, "$1"), "")
	})
}

// A value of the right type that the program cannot work with is refused, and its key is named.
func TestPlatformValues(t *testing.T) {
	t.Parallel()
	text := completeJSON(t)
	cases := []struct {
		path  string
		value any
	}{
		{"listen", "nowhere"},
		{"discovery", "nowhere"},
		{"management", "nowhere"},
		{"seed", "odd"},
		{"limits.memory_mb", 15},
		{"limits.sockets", 127},
		{"known.members.0.phase", "ODD"},
		{"known.members.0.host_port", "nowhere"},
		{"known.members.0.id", ""},
		{"settings.balancers", 0},
		{"settings.membershipMode", "odd"},
		{"settings.allowed.sendCap", 0},
		{"settings.allowed.connectTimeoutMs", 0},
		{"settings.allowed.keepaliveMs", 0},
		{"settings.extra.behind", "odd"},
		{"settings.extra.classRead", []string{"odd", "causal", "mutate"}},
		{"settings.extra.classRead", []string{"causal", "mutate"}},
		{"settings.extra.listRole", "odd"},
		{"settings.extra.sessionMarks", "odd"},
		{"settings.lanes", []string{}},
		{"settings.lanes.0.name", ""},
		{"settings.lanes.0.name", "write"},
		{"settings.lanes.0.aimMs", 0},
		{"settings.lanes.0.deadlineMs", 299},
		{"settings.lanes.0.credit", -1},
		{"settings.lanes.0.idempotency", "odd"},
		{"settings.lanes.1.group", "odd"},
		{"settings.rules.fallMs", 0},
		// Each word that means something.
		{"settings.membershipMode", "pushed"},
		{"settings.extra.behind", "bounce"},
		{"settings.extra.behind", "await"},
		{"settings.extra.classRead", []string{"lag_bound", "eventual", "strong"}},
		{"settings.extra.listRole", "none"},
		{"settings.extra.listRole", "trailing"},
		{"settings.extra.sessionMarks", "kept"},
		{"settings.lanes.1.group", "all"},
		{"settings.lanes.1.group", "cell"},
		{"known.members.0.phase", "DRAINING"},
		{"known.members.0.phase", "DELETED"},
	}
	lines := make([]string, len(cases))
	concurrently(len(cases), func(i int) {
		checked := checkPlatform(t, changed(t, text, cases[i].path, cases[i].value))
		lines[i] = fmt.Sprintf("%s = %v: status %d\n\t%s", cases[i].path, cases[i].value, checked.status, checked.said())
	})
	golden(t, "platform/values.txt", strings.Join(lines, ""))
}

// The variables of the environment, and files that are not there.
func TestEnvironment(t *testing.T) {
	t.Parallel()
	text := completeJSON(t)
	cases := [][]string{
		{"GW_NAME=n1"},
		{"GW_LISTEN=127.0.0.1:1", "GW_DISCOVERY=127.0.0.1:2", "GW_MANAGEMENT=127.0.0.1:3"},
		{"GW_LISTEN=nowhere"},
		{"GW_DISCOVERY=nowhere"},
		{"GW_MANAGEMENT=nowhere"},
		{"GW_LISTEN_FD=odd"},
		{"GW_LISTEN_FD=2"},
		{"GW_LISTEN_FD=3"},
		{"GW_CONFIG=missing.json"},
		{"CAPERCOVE_FLIGHT=flight.toml"},
		{"CAPERCOVE_STORE=store.toml"},
		{"CAPERCOVE_PCAP=pcap.toml"},
	}
	var lines strings.Builder
	for _, env := range cases {
		checked := checkPlatform(t, text, env...)
		fmt.Fprintf(&lines, "%s: status %d\n\t%s", strings.Join(env, " "), checked.status, checked.said())
	}
	dir := t.TempDir()
	for _, env := range [][]string{{}, {"CAPERCOVE_CONFIG=missing.toml"}, {"CAPERCOVE_CONFIG=own.toml"}} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "own.toml"), []byte("odd = 1\n"), 0o600))
		checked := run(t, dir, env, "capercove", "check")
		fmt.Fprintf(&lines, "no file named, %s: status %d\n\t%s", strings.Join(env, " "), checked.status, checked.said())
	}
	golden(t, "platform/environment.txt", lines.String())
}

// A start with a bad configuration ends with status 1 and names the key on standard error.
func TestStartWithBadConfiguration(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	good := completeJSON(t)
	for _, c := range []struct{ name, config, own, said string }{
		{
			name: "no file",
			said: "GW_CONFIG is not set",
		}, {
			name:   "a bad key",
			config: string(changed(t, good, "limits.sockets", 1)),
			said:   "limits.sockets: 1 is under 128",
		}, {
			name:   "a bad table",
			config: string(good),
			own:    "[pcap]\nspeed = 0.0\n",
			said:   "own.toml:2: pcap.speed: 0 is not above 0",
		},
	} {
		env := []string{"CAPERCOVE_CONFIG=own.toml"}
		require.NoError(t, os.WriteFile(filepath.Join(dir, "own.toml"), []byte(c.own), 0o600))
		if c.config != "" {
			require.NoError(t, os.WriteFile(filepath.Join(dir, "config.json"), []byte(c.config), 0o600))
			env = append(env, "GW_CONFIG=config.json")
		}
		started := run(t, dir, env, "capercove")
		require.Equal(t, result{stderr: "capercove: " + c.said + "\n", status: 1}, started, c.name)
	}
}
