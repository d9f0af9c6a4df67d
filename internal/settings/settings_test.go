package settings_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/settings"
	"capercove/routing"
)

// completeText has a value under every key that is used, and under some keys that are ignored.
const completeText = `{
 "balancers": 2, "locality": 1, "membershipMode": "pushed", "overShareWorth": 0.1, "later": [1], "zones": ["a", "b"],
 "allowed": {"cancel": true, "probes": true, "retryAfter": true, "secondCopies": true, "sendCap": 10,
  "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.5, "keepaliveMs": 30000},
 "extra": {"behind": "await", "classRead": ["lag_bound", "causal", "mutate"], "listRole": "static",
  "maxAgeMs": [800.0, 0.0], "originTimeMs": 1000.5, "sessionMarks": "kept"},
 "feedback": {"fields": ["x0", "util", "x1", "backlog"]},
 "projects": [{"name": "a", "quotaPerS": 9.5}, {"name": "b", "quotaPerS": 3}],
 "lanes": [
  {"name": "read", "aimMs": 500.0, "aimStretch": 1.5, "credit": 1.0, "deadlineMs": 1500.0, "group": "all",
   "idempotency": "safe"},
  {"name": "report", "aimMs": 250.0, "credit": 2.0, "deadlineMs": 750.0, "group": "zone", "idempotency": "keyed",
   "dedupWindowMs": 5000.0},
  {"name": "write", "aimMs": 500.0, "credit": 4.0, "deadlineMs": 3000.0, "group": "all", "idempotency": "unsafe",
   "lateValue": 0.5}],
 "rules": {"answerSlackMs": 20.0, "askWithinMs": 4000, "coldFrom": 0.19, "coldMs": 17000.0, "drainGraceMs": 1000.0,
  "fallMs": 2000.0, "tipMultiple": 3.0, "drainBindsAlone": true}}`

// routingOfCompleteText returns the settings of routing in completeText.
func routingOfCompleteText() routing.Settings {
	return routing.Settings{
		Routers: 2,
		Classes: []routing.Class{
			{
				Read: routing.BoundedRead, MaxAge: 800 * time.Millisecond, Effect: routing.Idempotent,
				LatencyObjective: 500 * time.Millisecond, ObjectivePerWork: 1.5,
				Deadline: 1500 * time.Millisecond, Weight: 1,
			},
			{
				Read: routing.SessionRead, Effect: routing.Deduplicated, DedupGroup: routing.DedupZone,
				DedupWindow: 5 * time.Second, LatencyObjective: 250 * time.Millisecond,
				Deadline: 750 * time.Millisecond, Weight: 2,
			},
			{
				Read: routing.Write, Effect: routing.NonIdempotent, LatencyObjective: 500 * time.Millisecond,
				Deadline: 3 * time.Second, Weight: 4, LateWeight: 0.5,
			},
		},
		Quotas:           []float64{9.5, 3},
		OverQuota:        0.1,
		StaleReads:       routing.StaleRejected,
		ListHintsRole:    true,
		KeepSessions:     true,
		ListIsPolled:     false,
		ListBindsAfter:   4 * time.Second,
		MaxAttempts:      10,
		MaxRetryAfter:    2 * time.Second,
		CanCancel:        true,
		CanProbe:         true,
		CanHedge:         true,
		DrainGrace:       time.Second,
		MayUseGoneNodes:  true,
		SlowStartShare:   0.19,
		SlowStartTime:    17 * time.Second,
		OverloadMultiple: 3,
		OverloadWindow:   2 * time.Second,
	}
}

// Parse reads the value of every key that is used.
func TestParseReadsEveryKey(t *testing.T) {
	parsed, err := settings.Parse([]byte(completeText))
	require.NoError(t, err)
	require.Equal(t, settings.Settings{
		Routing:        routingOfCompleteText(),
		Classes:        []string{"read", "report", "write"},
		Zones:          []string{"a", "b"},
		Tenants:        2,
		ConnectTimeout: 250500 * time.Microsecond,
		Keepalive:      30 * time.Second,
		Origin:         1000500 * time.Microsecond,
		PositionField:  0,
		RoleField:      2,
		QueueField:     3,
	}, parsed)
}

// A pooler gets the settings of routing with a polled endpoint list, which binds after the drain grace at the latest.
// The pooler also gets the settings of its site.
func TestParseForPoolerSetsPolledListAndSite(t *testing.T) {
	want := routingOfCompleteText()
	want.ListIsPolled, want.ListBindsAfter = true, time.Second
	routingSettings, site, err := settings.ParseForPooler([]byte(completeText))
	require.NoError(t, err)
	require.Equal(t, want, routingSettings)
	require.Equal(t, settings.Site{
		Classes: []string{"read", "report", "write"}, Zones: []string{"a", "b"},
		ConnectTimeout: 250500 * time.Microsecond, Keepalive: 30 * time.Second,
	}, site)
}

// The endpoint list binds after the shorter of the text's bound and the protocol's bound. For a pooler with a pushed
// list it binds after the drain grace if that is shorter still.
func TestEndpointListBindsAfterShortestBound(t *testing.T) {
	cases := map[string]struct {
		old, changed      string
		simulator, pooler time.Duration
	}{
		"bound of 4 s":         {"", "", 4 * time.Second, time.Second},
		"no bound in the text": {`"askWithinMs": 4000`, `"askWithinMs": 0`, 6 * time.Second, time.Second},
		"above the protocol's": {`"askWithinMs": 4000`, `"askWithinMs": 7000`, 6 * time.Second, time.Second},
		"long grace":           {`"drainGraceMs": 1000.0`, `"drainGraceMs": 9000`, 4 * time.Second, 4 * time.Second},
		"polled":               {`"pushed"`, `"on_request"`, 4 * time.Second, 4 * time.Second},
		"fraction of a ms":     {`"askWithinMs": 4000`, `"askWithinMs": 0.0000015`, 2, 2}, // rounded to nanoseconds
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			text := []byte(strings.Replace(completeText, test.old, test.changed, 1))
			parsed, err := settings.Parse(text)
			require.NoError(t, err)
			require.Equal(t, test.simulator, parsed.Routing.ListBindsAfter)
			routingSettings, _, err := settings.ParseForPooler(text)
			require.NoError(t, err)
			require.Equal(t, test.pooler, routingSettings.ListBindsAfter)
			require.True(t, routingSettings.ListIsPolled)
		})
	}
}

// Each word of each key has its meaning.
func TestEachWordHasItsMeaning(t *testing.T) {
	cases := map[string]struct {
		old, changed string
		value        func(routing.Settings) any
		want         any
	}{
		"stale reads answered": {
			`"await"`, `"none"`, func(s routing.Settings) any { return s.StaleReads }, routing.StaleAnswered,
		},
		"stale reads rejected": {
			`"await"`, `"bounce"`, func(s routing.Settings) any { return s.StaleReads }, routing.StaleRejected,
		},
		"list without roles": {
			`"static"`, `"none"`, func(s routing.Settings) any { return s.ListHintsRole }, false,
		},
		"list with late roles": {
			`"static"`, `"trailing"`, func(s routing.Settings) any { return s.ListHintsRole }, true,
		},
		"positions from clients": {
			`"kept"`, `"brought"`, func(s routing.Settings) any { return s.KeepSessions }, false,
		},
		"list is polled": {
			`"pushed"`, `"on_request"`, func(s routing.Settings) any { return s.ListIsPolled }, true,
		},
		"any read": {
			`"lag_bound"`, `"eventual"`, func(s routing.Settings) any { return s.Classes[0].Read }, routing.AnyRead,
		},
		"fresh read": {
			`"lag_bound"`, `"strong"`, func(s routing.Settings) any { return s.Classes[0].Read }, routing.FreshRead,
		},
		"deduplicated by all": {
			`"zone"`, `"all"`, func(s routing.Settings) any { return s.Classes[1].DedupGroup }, routing.DedupAll,
		},
		"deduplicated by a group": {
			`"zone"`, `"cell"`, func(s routing.Settings) any { return s.Classes[1].DedupGroup },
			routing.DedupReplicaGroup,
		},
		"group unused": {
			`"all"`, `"odd"`, func(s routing.Settings) any { return s.Classes[0].Effect }, routing.Idempotent,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, completeText, test.old)
			parsed, err := settings.Parse([]byte(strings.Replace(completeText, test.old, test.changed, 1)))
			require.NoError(t, err)
			require.Equal(t, test.want, test.value(parsed.Routing))
		})
	}
}

// A field that load reports lack has the index -1.
func TestMissingReportFieldsHaveIndexMinusOne(t *testing.T) {
	parsed, err := settings.Parse([]byte(strings.Replace(completeText, `"x0", "util", "x1", "backlog"`, `"util"`, 1)))
	require.NoError(t, err)
	require.Equal(t, []int{-1, -1, -1}, []int{parsed.PositionField, parsed.RoleField, parsed.QueueField})
}

// Values of keyErrors.poolers.
const forAll, forPoolers = false, true

// keyErrors are changes of completeText that make it invalid, for all routers or only for poolers, with the key and the
// reason of the resulting KeyError.
var keyErrors = map[string]struct {
	poolers      bool
	old, changed string
	key, reason  string
}{
	"no routers": {
		forAll, `"balancers": 2`, `"balancers": 0`, "balancers", "0 is under 1",
	},
	"no classes": {
		forAll, `"lanes": [`, `"lanes": [], "old": [`, "lanes", "no class",
	},
	"too few reads": {
		forAll, `"lag_bound", `, ``, "extra.classRead", "2 words for 3 classes",
	},
	"no attempts": {
		forAll, `"sendCap": 10`, `"sendCap": 0`, "allowed.sendCap", "0 is under 1",
	},
	"no streams": {
		forAll, `"sendCap": 10`, `"sendCap": 10, "streamsPerConn": 0`, "allowed.streamsPerConn", "0 is under 1",
	},
	"no window": {
		forAll, `"fallMs": 2000.0`, `"fallMs": 0`, "rules.fallMs", "0 is not over 0",
	},
	"no objective": {
		forAll, `"aimMs": 250.0`, `"aimMs": -1.5`, "lanes[1].aimMs", "-1.5 is not over 0",
	},
	"objective of 0": {
		forAll, `"aimMs": 250.0`, `"aimMs": 0`, "lanes[1].aimMs", "0 is not over 0",
	},
	"deadline under the objective": {
		forAll, `"deadlineMs": 750.0`, `"deadlineMs": 249`,
		"lanes[1].deadlineMs", "249 is under the class's aimMs, 250",
	},
	"weight under 0": {
		forAll, `"credit": 2.0`, `"credit": -0.5`, "lanes[1].credit", "-0.5 is under 0",
	},
	"stale reads": {
		forAll, `"await"`, `"odd"`,
		"extra.behind", `"odd" is none of await, bounce, none`,
	},
	"roles of the list": {
		forAll, `"static"`, `"odd"`,
		"extra.listRole", `"odd" is none of none, static, trailing`,
	},
	"session marks": {
		forAll, `"kept"`, `""`, "extra.sessionMarks", `"" is none of brought, kept`,
	},
	"membership": {
		forAll, `"pushed"`, `"odd"`,
		"membershipMode", `"odd" is none of on_request, pushed`,
	},
	"read": {
		forAll, `"causal"`, `"odd"`,
		"extra.classRead[1]", `"odd" is none of causal, eventual, lag_bound, mutate, strong`,
	},
	"effect": {
		forAll, `"unsafe"`, `"odd"`,
		"lanes[2].idempotency", `"odd" is none of keyed, safe, unsafe`,
	},
	"group": {
		forAll, `"zone"`, `"odd"`, "lanes[1].group", `"odd" is none of all, cell, zone`,
	},
	"first of two errors": {
		forAll, `"balancers": 2, "locality": 1, "membershipMode": "pushed"`,
		`"balancers": 0, "membershipMode": "odd"`,
		"balancers", "0 is under 1",
	},
	"no connection timeout": {
		forPoolers, `"connectTimeoutMs": 250.5`, `"connectTimeoutMs": 0`,
		"allowed.connectTimeoutMs", "0s is not over 0",
	},
	"no keepalive": {
		forPoolers, `"keepaliveMs": 30000`, `"keepaliveMs": -1`,
		"allowed.keepaliveMs", "-1ms is not over 0",
	},
	"keepalive of 0": {
		forPoolers, `"keepaliveMs": 30000`, `"keepaliveMs": 0`, "allowed.keepaliveMs", "0s is not over 0",
	},
	"class without a name": {
		forPoolers, `"name": "report"`, `"name": ""`,
		"lanes[1].name", `"" is empty or another class's`,
	},
	"two classes of a name": {
		forPoolers, `"name": "write"`, `"name": "read"`,
		"lanes[2].name", `"read" is empty or another class's`,
	},
}

// Each invalid value is reported as a KeyError with its key and the reason; some are invalid only for a pooler.
func TestInvalidValuesAreKeyErrors(t *testing.T) {
	for name, test := range keyErrors {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, completeText, test.old)
			text := []byte(strings.Replace(completeText, test.old, test.changed, 1))
			_, err := settings.Parse(text)
			if test.poolers {
				require.NoError(t, err, "the simulator's settings may have this value")
			} else {
				requireKeyError(t, test.key, test.reason, err)
			}
			_, _, err = settings.ParseForPooler(text)
			requireKeyError(t, test.key, test.reason, err)
		})
	}
	withoutWeights := strings.NewReplacer(
		`"credit": 1.0`, `"credit": 0`, `"credit": 2.0`, `"credit": 0`, `"credit": 4.0`, `"credit": 0`)
	_, err := settings.Parse([]byte(withoutWeights.Replace(completeText)))
	requireKeyError(t, "lanes", "no class has a credit over 0", err)
}

// requireKeyError requires that an error is a KeyError with this key and reason.
func requireKeyError(t *testing.T, key, reason string, err error) {
	t.Helper()
	var keyError settings.KeyError
	require.ErrorAs(t, err, &keyError)
	require.Equal(t, settings.KeyError{Key: key, Reason: reason}, keyError)
	require.EqualError(t, err, key+": "+reason)
}

// The least valid values are accepted unchanged.
func TestLeastValuesAreAccepted(t *testing.T) {
	changes := strings.NewReplacer(`"balancers": 2`, `"balancers": 1`, `"sendCap": 10`, `"sendCap": 1`,
		`"deadlineMs": 750.0`, `"deadlineMs": 250`, `"credit": 1.0`, `"credit": 0`)
	parsed, err := settings.Parse([]byte(changes.Replace(completeText)))
	require.NoError(t, err)
	require.Equal(t, 1, parsed.Routing.Routers)
	require.Equal(t, 1, parsed.Routing.MaxAttempts)
	require.Equal(t, parsed.Routing.Classes[1].LatencyObjective, parsed.Routing.Classes[1].Deadline)
	require.Zero(t, parsed.Routing.Classes[0].Weight)
}

// Without slow start the overload window may be 0.
func TestOverloadWindowMayBeZeroWithoutSlowStart(t *testing.T) {
	changes := strings.NewReplacer(`"fallMs": 2000.0`, `"fallMs": 0`, `"coldMs": 17000.0`, `"coldMs": 0`)
	_, err := settings.Parse([]byte(changes.Replace(completeText)))
	require.NoError(t, err)
}

// Invalid JSON and a value of a wrong type are reported as errors of package encoding/json. The latter names the field.
func TestInvalidJSONAndWrongTypesAreJSONErrors(t *testing.T) {
	_, err := settings.Parse([]byte(`{`))
	var syntax *json.SyntaxError
	require.ErrorAs(t, err, &syntax)
	_, _, err = settings.ParseForPooler([]byte(strings.Replace(completeText, `"sendCap": 10`, `"sendCap": "ten"`, 1)))
	var wrongType *json.UnmarshalTypeError
	require.ErrorAs(t, err, &wrongType)
	require.Equal(t, "allowed.sendCap", wrongType.Field)
}
