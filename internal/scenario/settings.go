package scenario

import "encoding/json"

// Settings are the poolers' settings for this scenario, as the platform words them.
func (w *Scenario) Settings() []byte {
	var lanes []map[string]any
	var reads []string
	var ages []float64
	kinds := map[string]string{"any": "eventual", "bounded": "lag_bound", "write": "mutate"}
	for _, c := range w.Classes {
		effect := "safe"
		if c.Kind == "write" {
			effect = "unsafe"
		}
		lanes = append(lanes, map[string]any{"name": c.Name, "aimMs": c.AimMS, "deadlineMs": c.DeadlineMS, "credit": c.Worth,
			"lateValue": c.Late, "idempotency": effect})
		reads = append(reads, kinds[c.Kind])
		ages = append(ages, c.MaxAgeMS)
	}
	text, err := json.Marshal(map[string]any{"balancers": w.Poolers, "membershipMode": "on_request", "overShareWorth": 0.1, "zones": w.Zones(),
		"allowed": map[string]any{"cancel": true, "connectTimeoutMs": 250, "keepaliveMs": w.Server.IdleMS, "maxRetryAfterMs": 2000,
			"probes": true, "retryAfter": true, "secondCopies": false, "sendCap": 10},
		"extra": map[string]any{"behind": "none", "classRead": reads, "listRole": "static", "maxAgeMs": ages, "sessionMarks": "brought",
			"originTimeMs": 0},
		"feedback": map[string]any{"fields": []string{"x0", "x1", "utilization"}, "source": "probe"},
		"lanes":    lanes,
		"rules": map[string]any{"coldFrom": w.Server.ColdShare, "coldMs": w.Server.ColdTime * 1000, "drainGraceMs": 2000,
			"fallMs": w.Server.FallTime * 1000, "tipMultiple": w.Server.FallOver}})
	if err != nil {
		panic(err) // numbers and words only
	}
	return text
}

// Operator is the poolers' own file for this scenario.
func (w *Scenario) Operator() string {
	text := "[statements]\nmode = \"" + w.Statements + "\"\n"
	if !w.Door {
		return text
	}
	text += "[door]\nenabled = true\n"
	seen := map[string]bool{}
	for _, l := range w.Loads {
		if l.Tenant == "" || seen[l.Tenant] {
			continue
		}
		seen[l.Tenant] = true
		text += "[[door.tenants]]\nname = \"" + l.Tenant + "\"\n[[door.rules]]\ntenant = \"" + l.Tenant + "\"\ncomment = \"tenant=" + l.Tenant + "\"\n"
	}
	return text
}
