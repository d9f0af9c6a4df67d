package scenario

import (
	"fmt"
	"maps"
	"slices"

	"capercove/internal/config/tables"
)

const (
	maxMembers = 64  // of a family
	maxRate    = 1e5 // of a load, in requests per second
)

// Check returns the first value that is wrong, as a tables.KeyError. It returns nil if the scenario can be run.
func (scenario *Scenario) Check() error {
	checks := []func() error{
		scenario.checkNumbers,
		scenario.checkRanges,
		scenario.checkStatements,
		scenario.checkFamilies,
		scenario.checkClasses,
		scenario.checkLoads,
		scenario.checkFaults,
		scenario.checkExpectations,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (scenario *Scenario) checkNumbers() error {
	server := &scenario.Server
	for _, number := range []struct {
		key                string
		value, least, most float64
	}{
		{"seconds", scenario.Seconds, 0.1, 3600},
		{"warm", scenario.Warmup, 0, scenario.Seconds},
		{"poolers", float64(scenario.Poolers), 1, 64},
		{"server.cores", float64(server.Cores), 1, 1024},
		{"server.queue", float64(server.Queue), 0, 1e6},
		{"server.thrash", server.Thrash, 0, 0.99},
		{"server.connections", float64(server.Connections), 1, 1e6},
		{"server.cold_share", server.ColdShare, 0.01, 1},
		{"server.fall_over", server.FallOver, 1, 1000},
		{"server.fall_time", server.FallTime, 0.01, 3600},
		{"server.cold_time", server.ColdTime, 0, 3600},
		{"server.apply_ms", server.ApplyMS, 0, 1e4},
		{"server.idle_ms", server.IdleMS, 10, 1e9},
	} {
		if !(number.value >= number.least && number.value <= number.most) { // in this form NaN is wrong, too
			return tables.KeyErrorf(number.key, "%v is not from %v to %v", number.value, number.least, number.most)
		}
	}
	return nil
}

func (scenario *Scenario) checkRanges() error {
	server := &scenario.Server
	for _, interval := range []struct {
		key   string
		value Range
	}{
		{"server.ship_ms", server.ShipMS},
		{"server.give_up", server.GiveUp},
		{"server.take_over", server.TakeOver},
		{"server.hand_over", server.HandOver},
		{"server.network_ms", server.NetworkDelayMS},
		{"list.late_ms", scenario.List.LateMS},
	} {
		if !interval.value.valid() {
			return tables.KeyErrorf(interval.key, "%v is no range", interval.value)
		}
	}
	return nil
}

func (scenario *Scenario) checkStatements() error {
	switch scenario.Statements {
	case StatementsOff, StatementsObserve, StatementsEnforce:
		return nil
	default:
		return tables.KeyErrorf("statements", "%q is none of off, observe, enforce", scenario.Statements)
	}
}

func (scenario *Scenario) checkFamilies() error {
	if len(scenario.Families) == 0 {
		return tables.KeyErrorf("families", "there are none")
	}
	groups := map[int]bool{}
	for i, family := range scenario.Families {
		key := fmt.Sprintf("families[%d]", i)
		if groups[family.Group] {
			return tables.KeyErrorf(key+".group", "%d is another family's", family.Group)
		}
		groups[family.Group] = true
		if family.Members < 1 || family.Members > maxMembers {
			return tables.KeyErrorf(key+".members", "%d is not from 1 to %d", family.Members, maxMembers)
		}
	}
	return nil
}

func (scenario *Scenario) checkClasses() error {
	names := map[string]bool{}
	for i, class := range scenario.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		if class.Name == "" || names[class.Name] {
			return tables.KeyErrorf(key+".name", "%q is empty or not the first of its name", class.Name)
		}
		if err := class.check(key); err != nil {
			return err
		}
		names[class.Name] = true
	}
	return nil
}

// check returns the first value that is wrong by itself. The key is the one of the class.
func (class *Class) check(key string) error {
	switch class.Kind {
	case ReadAny, ReadBounded, Write:
	default:
		return tables.KeyErrorf(key+".kind", "%q is none of any, bounded, write", class.Kind)
	}
	switch {
	case !class.WorkMS.valid():
		return tables.KeyErrorf(key+".work_ms", "%v is no range", class.WorkMS)
	case !(class.AimMS > 0 && class.DeadlineMS >= class.AimMS):
		return tables.KeyErrorf(key+".deadline_ms", "%v is under the aim, %v, or that is not above 0",
			class.DeadlineMS, class.AimMS)
	case class.Kind == ReadBounded && !(class.MaxAgeMS > 0):
		return tables.KeyErrorf(key+".max_age_ms", "%v is not above 0", class.MaxAgeMS)
	}
	return nil
}

func (scenario *Scenario) checkLoads() error {
	for i, load := range scenario.Loads {
		key := fmt.Sprintf("loads[%d]", i)
		switch {
		case scenario.Class(load.Class) == nil:
			return tables.KeyErrorf(key+".class", "no class is named %q", load.Class)
		case !(load.Rate > 0 && load.Rate <= maxRate):
			return tables.KeyErrorf(key+".rate", "%v is not above 0 and up to %v", load.Rate, maxRate)
		case load.From < 0 || load.To != 0 && load.To <= load.From:
			return tables.KeyErrorf(key+".to", "%v is not behind %v", load.To, load.From)
		case load.Mislabel < 0 || load.Mislabel > 1:
			return tables.KeyErrorf(key+".mislabel", "%v is no share", load.Mislabel)
		}
	}
	return nil
}

func (scenario *Scenario) checkFaults() error {
	for i := range scenario.Faults {
		fault := &scenario.Faults[i]
		key := fmt.Sprintf("faults[%d]", i)
		target, known := targetKinds[fault.Kind]
		if !known {
			return tables.KeyErrorf(key+".kind", "%q is no fault", fault.Kind)
		}
		if fault.At < 0 || fault.For < 0 {
			return tables.KeyErrorf(key+".at", "%v for %v lies before the beginning", fault.At, fault.For)
		}
		if err := scenario.checkTarget(key, fault, target); err != nil {
			return err
		}
		if err := fault.checkFactor(key); err != nil {
			return err
		}
	}
	return nil
}

// checkTarget returns what is wrong with a fault's target. Zones and discovery are not checked.
func (scenario *Scenario) checkTarget(key string, fault *Fault, kind targetKind) error {
	switch kind {
	case targetDatabase:
		if !scenario.hasDatabase(fault.Target) {
			return tables.KeyErrorf(key+".target", "%q is no %v", fault.Target, kind)
		}
	case targetPooler:
		if !scenario.hasPooler(fault.Target) {
			return tables.KeyErrorf(key+".target", "%q is no %v", fault.Target, kind)
		}
	case targetLink:
		if !scenario.Fleet.Enabled {
			return tables.KeyErrorf(key+".kind", "%q: the poolers do not talk, fleet.enabled is false", fault.Kind)
		}
		if scenario.Links(fault.Target) == nil {
			return tables.KeyErrorf(key+".target", "%q is neither a pooler nor two, as in \"pooler-0 pooler-1\""+
				" or \"pooler-0 > pooler-1\"", fault.Target)
		}
	case targetZone, targetDiscovery:
	}
	return nil
}

// checkFactor returns what is wrong with the factor of a fault that has to have one.
func (fault *Fault) checkFactor(key string) error {
	switch fault.Kind {
	case FaultLoss:
		if !(fault.Factor > 0 && fault.Factor <= 1) {
			return tables.KeyErrorf(key+".factor", "%v is no share above 0", fault.Factor)
		}
	case FaultSlow, FaultLag:
		if !(fault.Factor > 0) {
			return tables.KeyErrorf(key+".factor", "%v is not above 0", fault.Factor)
		}
	}
	return nil
}

func (scenario *Scenario) checkExpectations() error {
	for _, expected := range []struct {
		key    string
		shares map[string]float64
	}{
		{"expect.in_time", scenario.Expect.InTime},
		{"expect.served", scenario.Expect.Served},
	} {
		for _, class := range slices.Sorted(maps.Keys(expected.shares)) {
			if scenario.Class(class) == nil {
				return tables.KeyErrorf(expected.key+"."+class, "no class has this name")
			}
		}
	}
	return nil
}
