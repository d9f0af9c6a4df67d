package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"capercove/choice"
)

// settings is the JSON text of the first message, as far as it is used; other keys are skipped.
type settings struct {
	Routers  int `json:"balancers"`
	Projects []struct {
		Quota float64 `json:"quotaPerS"`
	} `json:"projects"`
	OverShare  float64  `json:"overShareWorth"`
	Membership string   `json:"membershipMode"`
	Zones      []string `json:"zones"`
	Lanes      []struct {
		Name        string  `json:"name"`
		Aim         millis  `json:"aimMs"`
		AimStretch  float64 `json:"aimStretch"`
		Deadline    millis  `json:"deadlineMs"`
		Window      millis  `json:"dedupWindowMs"`
		Idempotency string  `json:"idempotency"`
		Group       string  `json:"group"`
		Credit      float64 `json:"credit"`
		LateValue   float64 `json:"lateValue"`
	} `json:"lanes"`
	Extra struct {
		Behind    string   `json:"behind"`
		MaxAge    []millis `json:"maxAgeMs"`
		ClassRead []string `json:"classRead"`
		ListRole  string   `json:"listRole"`
		Marks     string   `json:"sessionMarks"`
		Origin    millis   `json:"originTimeMs"`
	} `json:"extra"`
	Feedback struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
	Allowed struct {
		Cancel        bool   `json:"cancel"`
		SendCap       int    `json:"sendCap"`
		MaxRetryAfter millis `json:"maxRetryAfterMs"`
		Probes        bool   `json:"probes"`
		SecondCopies  bool   `json:"secondCopies"`
		Connect       millis `json:"connectTimeoutMs"`
		Keepalive     millis `json:"keepaliveMs"`
	} `json:"allowed"`
	Rules struct {
		AskWithin       millis  `json:"askWithinMs"`
		ColdFrom        float64 `json:"coldFrom"`
		Cold            millis  `json:"coldMs"`
		DrainGrace      millis  `json:"drainGraceMs"`
		TipMultiple     float64 `json:"tipMultiple"`
		Fall            millis  `json:"fallMs"`
		DrainBindsAlone bool    `json:"drainBindsAlone"`
	} `json:"rules"`
}

// listBinds is the protocol's own bound: what discovery has to tell counts as told by then, whether it arrived or not.
const listBinds = 6 * time.Second

type millis float64

func (m millis) time() time.Duration { return ms(float64(m)) }

func pick[T any](what, word string, words map[string]T, err *error) T {
	v, known := words[word]
	if !known && *err == nil {
		*err = fmt.Errorf("%s is %q", what, word)
	}
	return v
}

// Facts are the parts of the settings that a real pooler needs beside the router's.
type Facts struct {
	Classes            []string // names, in the order of the router's classes
	Zones              []string
	Connect, Keepalive time.Duration
}

// ParseSettings reads the settings for a real pooler.
func ParseSettings(text []byte) (choice.Settings, Facts, error) {
	var s settings
	c, _, err := parse(text, &s)
	f := Facts{Zones: s.Zones, Connect: s.Allowed.Connect.time(), Keepalive: s.Allowed.Keepalive.time()}
	for _, l := range s.Lanes {
		f.Classes = append(f.Classes, l.Name)
	}
	// On sockets a list that is pushed comes over a watch, too, from an agent beside the pooler. What that has counts as told whether
	// it is watched or not, so that only the grace is left to open a broken watch anew.
	if !c.ListOnRequest {
		c.ListOnRequest, c.ListBinds = true, min(c.ListBinds, c.DrainGrace)
	}
	if err == nil && (f.Connect <= 0 || f.Keepalive <= 0) {
		err = fmt.Errorf("allowed.connectTimeoutMs is %v, allowed.keepaliveMs %v", f.Connect, f.Keepalive)
	}
	return c, f, err
}

func parseSettings(text []byte) (choice.Settings, units, error) { return parse(text, new(settings)) }

func parse(text []byte, s *settings) (choice.Settings, units, error) {
	if err := json.Unmarshal(text, s); err != nil {
		return choice.Settings{}, units{}, err
	}
	var err error
	binds := listBinds
	if w := s.Rules.AskWithin.time(); w > 0 {
		binds = min(binds, w)
	}
	c := choice.Settings{
		Routers: s.Routers, OverQuota: s.OverShare,
		StaleReads: pick("behind", s.Extra.Behind, map[string]choice.StaleReads{
			"none": choice.StaleAnswered, "bounce": choice.StaleRejected, "await": choice.StaleRejected}, &err),
		ListRole: pick("listRole", s.Extra.ListRole, map[string]bool{
			"none": false, "static": true, "trailing": true}, &err),
		KeepSessions: pick("sessionMarks", s.Extra.Marks, map[string]bool{
			"brought": false, "kept": true}, &err),
		ListOnRequest: pick("membershipMode", s.Membership, map[string]bool{
			"pushed": false, "on_request": true}, &err),
		ListBinds:   binds,
		MaxAttempts: s.Allowed.SendCap, MaxRetryAfter: s.Allowed.MaxRetryAfter.time(),
		CanCancel: s.Allowed.Cancel, CanProbe: s.Allowed.Probes, CanHedge: s.Allowed.SecondCopies,
		DrainGrace: s.Rules.DrainGrace.time(), DrainOnly: s.Rules.DrainBindsAlone,
		ColdShare: s.Rules.ColdFrom, ColdTime: s.Rules.Cold.time(), FallMultiple: s.Rules.TipMultiple,
		FallWindow: s.Rules.Fall.time(),
	}
	for _, p := range s.Projects {
		c.Quotas = append(c.Quotas, p.Quota)
	}
	if len(s.Lanes) == 0 || len(s.Extra.ClassRead) != len(s.Lanes) || s.Routers < 1 || s.Allowed.SendCap < 1 {
		return c, units{}, fmt.Errorf("%d classes, %d read kinds, %d routers, %d attempts",
			len(s.Lanes), len(s.Extra.ClassRead), s.Routers, s.Allowed.SendCap)
	}
	for i, l := range s.Lanes {
		class := choice.Class{
			Read: pick("classRead", s.Extra.ClassRead[i], map[string]choice.ReadKind{"eventual": choice.AnyRead,
				"lag_bound": choice.BoundedRead, "causal": choice.SessionRead, "strong": choice.FreshRead,
				"mutate": choice.Write}, &err),
			Effect: pick("idempotency", l.Idempotency, map[string]choice.Effect{
				"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}, &err),
			DedupWindow: l.Window.time(), Aim: l.Aim.time(), AimStretch: l.AimStretch, Deadline: l.Deadline.time(),
			Worth: l.Credit, LateWorth: l.LateValue,
		}
		if class.Effect == choice.Keyed {
			class.DedupGroup = pick("group", l.Group, map[string]choice.DedupGroup{
				"all": choice.DedupAll, "zone": choice.DedupZone, "cell": choice.DedupCell}, &err)
		}
		if i < len(s.Extra.MaxAge) {
			class.MaxAge = s.Extra.MaxAge[i].time()
		}
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return c, units{}, fmt.Errorf("class %d: aim %v, deadline %v", i, class.Aim, class.Deadline)
		}
		c.Classes = append(c.Classes, class)
	}
	u := units{origin: s.Extra.Origin.time(), connect: s.Allowed.Connect.time(), x0: slices.Index(s.Feedback.Fields, "x0"),
		x1: slices.Index(s.Feedback.Fields, "x1"), waiting: slices.Index(s.Feedback.Fields, "backlog"), tenants: len(s.Projects), classes: len(s.Lanes)}
	return c, u, err
}
