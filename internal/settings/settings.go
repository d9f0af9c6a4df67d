// Package settings parses the settings of routing from JSON text. Poolers get the text from the platform, simulated
// routers from the simulator. The package does no I/O. An invalid value is reported as a KeyError. Invalid JSON and
// values of a wrong type are reported as errors of package encoding/json.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"capercove/routing"
)

// listBindsAfter is the bound of the discovery protocol. This long after its creation an endpoint list counts as known
// to all routers, whether it has arrived or not.
const listBindsAfter = 6 * time.Second

// Names of the fields of a load report.
const (
	reportPosition = "x0"
	reportRole     = "x1"
	reportQueue    = "backlog"
)

// Settings are the values of a parsed text.
type Settings struct {
	Routing        routing.Settings
	Classes        []string // names, in the order of Routing.Classes; the simulator gives none
	Zones          []string
	Tenants        int // number of tenants
	ConnectTimeout time.Duration
	Keepalive      time.Duration
	// StreamsPerConnection is how many attempts one connection may carry at once; 0: any number.
	StreamsPerConnection int
	Origin               time.Duration // the time that replication positions count from, by the routers' clock

	// Indexes of the replication position, the role and the queue length in a load report; -1 if it lacks the field.
	PositionField, RoleField, QueueField int
}

// Parse parses the settings that the simulator gives to a router.
func Parse(text []byte) (Settings, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Settings{}, err
	}
	if err := parsed.check(); err != nil {
		return Settings{}, err
	}
	routingSettings, err := parsed.routing()
	if err != nil {
		return Settings{}, err
	}
	settings := Settings{
		Routing:              routingSettings,
		Zones:                parsed.Zones,
		Tenants:              len(parsed.Projects),
		ConnectTimeout:       parsed.Allowed.ConnectTimeout.duration(),
		Keepalive:            parsed.Allowed.Keepalive.duration(),
		StreamsPerConnection: parsed.Allowed.streams(),
		Origin:               parsed.Extra.Origin.duration(),
		PositionField:        slices.Index(parsed.Feedback.Fields, reportPosition),
		RoleField:            slices.Index(parsed.Feedback.Fields, reportRole),
		QueueField:           slices.Index(parsed.Feedback.Fields, reportQueue),
	}
	for _, class := range parsed.Classes {
		settings.Classes = append(settings.Classes, class.Name)
	}
	return settings, nil
}

// Site has the settings that a pooler needs besides those of routing.
type Site struct {
	Classes        []string // names, in the order of the classes of routing
	Zones          []string
	ConnectTimeout time.Duration // timeout of a connection attempt
	Keepalive      time.Duration
	// StreamsPerConnection is how many attempts one connection may carry at once, where the wire allows several; 0: any
	// number.
	StreamsPerConnection int
}

// ParseForPooler parses the settings that the platform gives to a pooler. Classes need unique names. The timeouts of
// connections are required.
func ParseForPooler(text []byte) (routing.Settings, Site, error) {
	settings, err := Parse(text)
	if err != nil {
		return routing.Settings{}, Site{}, err
	}
	if err := settings.checkForPooler(); err != nil {
		return routing.Settings{}, Site{}, err
	}
	routingSettings := settings.Routing
	if !routingSettings.ListIsPolled {
		// A pooler gets a pushed list by watching a local agent. A list at the agent counts as known to the pooler even
		// while the watch is broken. The pooler must therefore restore the watch within the drain grace.
		routingSettings.ListIsPolled = true
		routingSettings.ListBindsAfter = min(routingSettings.ListBindsAfter, routingSettings.DrainGrace)
	}
	site := Site{
		Classes:              settings.Classes,
		Zones:                settings.Zones,
		ConnectTimeout:       settings.ConnectTimeout,
		Keepalive:            settings.Keepalive,
		StreamsPerConnection: settings.StreamsPerConnection,
	}
	return routingSettings, site, nil
}

// checkForPooler returns a KeyError for the first value that is invalid only for a pooler.
func (s *Settings) checkForPooler() error {
	switch {
	case s.ConnectTimeout <= 0:
		return keyErrorf("allowed.connectTimeoutMs", "%v is not over 0", s.ConnectTimeout)
	case s.Keepalive <= 0:
		return keyErrorf("allowed.keepaliveMs", "%v is not over 0", s.Keepalive)
	}
	for i, name := range s.Classes {
		isRepeated := slices.Index(s.Classes, name) != i
		if name == "" || isRepeated {
			return keyErrorf(classKey(i, "name"), "%q is empty or another class's", name)
		}
	}
	return nil
}

// routing returns the settings of a router.
func (d *document) routing() (routing.Settings, error) {
	settings := routing.Settings{
		Routers:          d.Routers,
		OverQuota:        d.OverQuota,
		ListBindsAfter:   listBindsAfter,
		MaxAttempts:      d.Allowed.MaxAttempts,
		MaxRetryAfter:    d.Allowed.MaxRetryAfter.duration(),
		CanCancel:        d.Allowed.Cancel,
		CanProbe:         d.Allowed.Probes,
		CanHedge:         d.Allowed.Hedges,
		DrainGrace:       d.Rules.DrainGrace.duration(),
		MayUseGoneNodes:  d.Rules.MayUseGoneNodes,
		SlowStartShare:   d.Rules.SlowStartShare,
		SlowStartTime:    d.Rules.SlowStartTime.duration(),
		OverloadMultiple: d.Rules.OverloadMultiple,
		OverloadWindow:   d.Rules.OverloadWindow.duration(),
	}
	if pollWithin := d.Rules.PollWithin.duration(); pollWithin > 0 {
		settings.ListBindsAfter = min(settings.ListBindsAfter, pollWithin)
	}
	if err := cmp.Or(
		staleReadWords.parse("extra.behind", d.Extra.StaleReads, &settings.StaleReads),
		listHintsRoleWords.parse("extra.listRole", d.Extra.ListRole, &settings.ListHintsRole),
		keepSessionsWords.parse("extra.sessionMarks", d.Extra.SessionMarks, &settings.KeepSessions),
		listIsPolledWords.parse("membershipMode", d.Membership, &settings.ListIsPolled),
	); err != nil {
		return routing.Settings{}, err
	}
	for _, project := range d.Projects {
		settings.Quotas = append(settings.Quotas, project.Quota)
	}
	for i := range d.Classes {
		class, err := d.class(i)
		if err != nil {
			return routing.Settings{}, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

// class returns the settings of one class.
func (d *document) class(number int) (routing.Class, error) {
	source := &d.Classes[number]
	class := routing.Class{
		DedupWindow:      source.DedupWindow.duration(),
		LatencyObjective: source.LatencyObjective.duration(),
		ObjectivePerWork: source.ObjectivePerWork,
		Deadline:         source.Deadline.duration(),
		Weight:           source.Weight,
		LateWeight:       source.LateWeight,
	}
	readKey := fmt.Sprintf("extra.classRead[%d]", number)
	err := cmp.Or(
		readKindWords.parse(readKey, d.Extra.ReadKinds[number], &class.Read),
		effectWords.parse(classKey(number, "idempotency"), source.Effect, &class.Effect),
	)
	if err == nil && class.Effect == routing.Deduplicated {
		err = dedupGroupWords.parse(classKey(number, "group"), source.DedupGroup, &class.DedupGroup)
	}
	if number < len(d.Extra.MaxAge) {
		class.MaxAge = d.Extra.MaxAge[number].duration()
	}
	return class, err
}
