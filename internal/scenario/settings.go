package scenario

import (
	"encoding/json"
	"fmt"
)

// platformSettings is the settings text that the platform hands to poolers. Each struct has its fields in the order
// of their keys.
type platformSettings struct {
	Allowed        platformAllowed  `json:"allowed"`
	Balancers      int              `json:"balancers"`
	Extra          platformExtra    `json:"extra"`
	Feedback       platformFeedback `json:"feedback"`
	Lanes          []platformLane   `json:"lanes"`
	MembershipMode string           `json:"membershipMode"`
	OverShareWorth float64          `json:"overShareWorth"`
	Rules          platformRules    `json:"rules"`
	Zones          []string         `json:"zones"`
}

// platformAllowed is what poolers may do, with bounds.
type platformAllowed struct {
	Cancel           bool    `json:"cancel"`
	ConnectTimeoutMS float64 `json:"connectTimeoutMs"`
	KeepaliveMS      float64 `json:"keepaliveMs"`
	MaxRetryAfterMS  float64 `json:"maxRetryAfterMs"`
	Probes           bool    `json:"probes"`
	RetryAfter       bool    `json:"retryAfter"`
	SecondCopies     bool    `json:"secondCopies"`
	SendCap          int     `json:"sendCap"`
}

// platformExtra is the consistency of reads, with a list entry for each lane.
type platformExtra struct {
	Behind       string    `json:"behind"`
	ClassRead    []string  `json:"classRead"`
	ListRole     string    `json:"listRole"`
	MaxAgeMS     []float64 `json:"maxAgeMs"`
	OriginTimeMS float64   `json:"originTimeMs"`
	SessionMarks string    `json:"sessionMarks"`
}

// platformFeedback is what databases report.
type platformFeedback struct {
	Fields []string `json:"fields"`
	Source string   `json:"source"`
}

// platformLane is a request class.
type platformLane struct {
	AimMS       float64 `json:"aimMs"`
	Credit      float64 `json:"credit"`
	DeadlineMS  float64 `json:"deadlineMs"`
	Idempotency string  `json:"idempotency"`
	LateValue   float64 `json:"lateValue"`
	Name        string  `json:"name"`
}

// platformRules is how databases warm up and drain.
type platformRules struct {
	ColdFrom     float64 `json:"coldFrom"`
	ColdMS       float64 `json:"coldMs"`
	DrainGraceMS float64 `json:"drainGraceMs"`
	FallMS       float64 `json:"fallMs"`
	TipMultiple  float64 `json:"tipMultiple"`
}

// Values of the platform that are the same in all scenarios.
const (
	connectTimeoutMS = 250
	maxRetryAfterMS  = 2000
	drainGraceMS     = 2000
	sendCap          = 10 // attempts of a request
	overShareWorth   = 0.1
)

// readModes are the platform's words for the kinds of classes.
var readModes = map[ClassKind]string{ReadAny: "eventual", ReadBounded: "lag_bound", Write: "mutate"}

// idempotency returns the platform's word for whether requests of the kind may be repeated.
func (kind ClassKind) idempotency() string {
	if kind == Write {
		return "unsafe"
	}
	return "safe"
}

// Settings returns the settings of the poolers in the platform's form, which is JSON.
func (scenario *Scenario) Settings() []byte {
	server := &scenario.Server
	settings := platformSettings{
		Allowed: platformAllowed{
			Cancel:           true,
			ConnectTimeoutMS: connectTimeoutMS,
			KeepaliveMS:      server.IdleMS,
			MaxRetryAfterMS:  maxRetryAfterMS,
			Probes:           true,
			RetryAfter:       true,
			SendCap:          sendCap,
		},
		Balancers:      scenario.Poolers,
		Extra:          platformExtra{Behind: "none", ListRole: "static", SessionMarks: "brought"},
		Feedback:       platformFeedback{Fields: []string{"x0", "x1", "utilization"}, Source: "probe"},
		MembershipMode: "on_request",
		OverShareWorth: overShareWorth,
		Rules: platformRules{
			ColdFrom:     server.ColdShare,
			ColdMS:       server.ColdTime * 1000,
			DrainGraceMS: drainGraceMS,
			FallMS:       server.FallTime * 1000,
			TipMultiple:  server.FallOver,
		},
		Zones: scenario.Zones(),
	}
	for _, class := range scenario.Classes {
		settings.Lanes = append(settings.Lanes, platformLane{
			AimMS:       class.AimMS,
			Credit:      class.Weight,
			DeadlineMS:  class.DeadlineMS,
			Idempotency: class.Kind.idempotency(),
			LateValue:   class.LateWeight,
			Name:        class.Name,
		})
		settings.Extra.ClassRead = append(settings.Extra.ClassRead, readModes[class.Kind])
		settings.Extra.MaxAgeMS = append(settings.Extra.MaxAgeMS, class.MaxAgeMS)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		panic(fmt.Sprintf("scenario: settings: %v", err)) // a number is not finite, which JSON has no form for
	}
	return text
}
