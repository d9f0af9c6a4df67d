package mixed_test

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// sitesFolder holds the variants of a deployment.
var sitesFolder = filepath.Join(moduleRoot, "deploy", "sites")

// site is a variant of a deployment, as far as the platform's settings follow from it.
type site struct {
	Classes []struct {
		Name       string  `toml:"name"`
		Aim        float64 `toml:"aim_ms"`
		Deadline   float64 `toml:"deadline_ms"`
		Worth      float64 `toml:"worth"`
		LateWorth  float64 `toml:"late_worth"`
		Effect     string  `toml:"effect"`
		Group      string  `toml:"group"`
		WindowTime float64 `toml:"window_ms"`
	} `toml:"class"`
	Family struct {
		ListRole string `toml:"list_role"`
		Tokens   string `toml:"tokens"`
		Checks   string `toml:"checks"`
		Classes  []struct {
			Read  string  `toml:"read"`
			Bound float64 `toml:"bound_ms"`
		} `toml:"class"`
	} `toml:"fam"`
	Allow struct {
		Probes       bool `toml:"probes"`
		Cancel       bool `toml:"cancel"`
		SecondCopies bool `toml:"second_copies"`
		RetryAfter   bool `toml:"retry_after"`
		MaxAttempts  int  `toml:"max_attempts"`
	} `toml:"allow"`
	Rules struct {
		DrainGrace   float64 `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		FallTime     float64 `toml:"fall_ms"`
	} `toml:"rules"`
	Discovery struct {
		Mode string `toml:"mode"`
	} `toml:"discovery"`
	Clients struct {
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	} `toml:"clients"`
	Net struct {
		Zones []string `toml:"zones"`
	} `toml:"net"`
	Tiers []struct {
		Report struct {
			Source string   `toml:"how"`
			Fields []string `toml:"fields"`
		} `toml:"report"`
		Connection struct {
			IdleSeconds    float64 `toml:"idle_s"`
			ConnectTimeout float64 `toml:"connect_timeout_ms"`
		} `toml:"conn"`
		Kinds []struct {
			ColdFrom    []float64 `toml:"cold_from"`
			ColdSeconds []float64 `toml:"cold_s"`
		} `toml:"kind"`
	} `toml:"tier"`
}

// readSite reads a variant, and the words that its wire has for values.
func readSite(t *testing.T, name string) (read site, words map[string]string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sitesFolder, name))
	require.NoError(t, err)
	require.NoError(t, toml.Unmarshal(text, &read))
	text, err = os.ReadFile(filepath.Join(sitesFolder, "wire.json"))
	require.NoError(t, err)
	var wire struct {
		Init struct {
			Words map[string]string `json:"words"`
		} `json:"init"`
	}
	require.NoError(t, json.Unmarshal(text, &wire))
	require.NotEmpty(t, wire.Init.Words)
	return read, wire.Init.Words
}

// object is a JSON object.
type object = map[string]any

// platformSettings returns the settings that the platform gives a pooler of a variant. Where the variant has a range,
// its least value is taken. The databases of the test bed are in a zone of their own.
func platformSettings(t *testing.T, read site, words map[string]string) string {
	t.Helper()
	word := func(name string) string { return cmp.Or(words[name], name) }
	tier := read.Tiers[0]
	var classes []object
	var kinds []string
	var bounds []float64
	for i, class := range read.Classes {
		classes = append(classes, object{
			"name": class.Name, "aimMs": class.Aim, "deadlineMs": class.Deadline, "credit": class.Worth,
			"lateValue": class.LateWorth, "idempotency": word(class.Effect), "group": word(class.Group),
			"dedupWindowMs": class.WindowTime,
		})
		kinds = append(kinds, word(read.Family.Classes[i].Read))
		bounds = append(bounds, read.Family.Classes[i].Bound)
	}
	var fields []string
	for _, field := range tier.Report.Fields {
		fields = append(fields, word(field))
	}
	text, err := json.Marshal(object{
		"balancers": 1, "membershipMode": word(read.Discovery.Mode), "overShareWorth": 0,
		"zones": append([]string{"a"}, read.Net.Zones...),
		"allowed": object{
			"cancel": read.Allow.Cancel, "connectTimeoutMs": tier.Connection.ConnectTimeout,
			"keepaliveMs": 1000 * tier.Connection.IdleSeconds, "maxRetryAfterMs": read.Clients.MaxRetryAfter,
			"probes": read.Allow.Probes, "retryAfter": read.Allow.RetryAfter,
			"secondCopies": read.Allow.SecondCopies, "sendCap": read.Allow.MaxAttempts,
		},
		"extra": object{
			"behind": word(read.Family.Checks), "classRead": kinds, "listRole": word(read.Family.ListRole),
			"maxAgeMs": bounds, "sessionMarks": word(read.Family.Tokens), "originTimeMs": 0,
		},
		"feedback": object{"fields": fields, "source": tier.Report.Source},
		"lanes":    classes,
		"rules": object{
			"coldFrom": tier.Kinds[0].ColdFrom[0], "coldMs": 1000 * tier.Kinds[0].ColdSeconds[0],
			"drainGraceMs": read.Rules.DrainGrace, "fallMs": read.Rules.FallTime,
			"tipMultiple": read.Rules.FallMultiple,
		},
	})
	require.NoError(t, err)
	return string(text)
}

// requireClassesServed requires that a pooler serves a request of each class of a variant. Where the endpoint list does
// not name the primary, the pooler finds it by its requests; it refuses writes until then, and they are sent again.
func requireClassesServed(bed *testbed.Bed, read site) {
	bed.T.Helper()
	bed.ReleaseDatabases() // they hold statements with the word "hold" in them, as in the name of a class
	served := map[string]bool{}
	bed.Eventually(func() bool {
		for _, class := range read.Classes {
			if bed.Client().Ask(bed.Statement(class.Name, "a", testbed.AnswerTimeout)).Complete {
				served[class.Name] = true
			}
		}
		return len(served) == len(read.Classes)
	}, "each class is served")
}

// Both programs accept the platform's settings of each variant of a deployment, start with them, and serve a request of
// each class. The variant's own file, which the platform reads and no pooler, both turn down with the same words.
func TestSites(t *testing.T) {
	t.Parallel()
	programs := []string{olderProgram(t), testbed.Binary(t)}
	for _, name := range []string{"two-classes.toml", "six-classes.toml"} {
		t.Run(name, func(t *testing.T) {
			read, words := readSite(t, name)
			require.NotEmpty(t, read.Classes)
			settings := platformSettings(t, read, words)
			for _, program := range programs {
				bed := testbed.Start(t, testbed.WithProgram(program),
					func(bed *testbed.Bed) { bed.Settings = settings })
				require.Equal(t, good, requireSameCheck(t, filepath.Join(bed.Dir, "config.json"),
					filepath.Join(bed.Dir, "capercove.toml")))
				requireClassesServed(bed, read)
			}
			own := requireSameCheck(t, "", filepath.Join(sitesFolder, name))
			require.Equal(t, 1, own.status, own.output)
		})
	}
}
