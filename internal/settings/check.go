package settings

import "fmt"

// KeyError is an error in the value under one key.
type KeyError struct {
	Key    string // dotted, with indexes of arrays from 0, such as "lanes[1].aimMs"
	Reason string // what is wrong with the value
}

// Error returns the key and the reason.
func (e KeyError) Error() string { return e.Key + ": " + e.Reason }

// keyErrorf returns the KeyError of a key. Its reason is formatted as by fmt.Sprintf.
func keyErrorf(key, format string, arguments ...any) error {
	return KeyError{Key: key, Reason: fmt.Sprintf(format, arguments...)}
}

// classKey returns the dotted key of a value of a class. Classes are numbered from 0.
func classKey(number int, name string) string { return fmt.Sprintf("lanes[%d].%s", number, name) }

// check returns a KeyError for the first value that is invalid for every router.
func (d *document) check() error {
	switch {
	case d.Routers < 1:
		return keyErrorf("balancers", "%d is under 1", d.Routers)
	case len(d.Classes) == 0:
		return keyErrorf("lanes", "no class")
	case len(d.Extra.ReadKinds) != len(d.Classes):
		return keyErrorf("extra.classRead", "%d words for %d classes", len(d.Extra.ReadKinds), len(d.Classes))
	case d.Allowed.MaxAttempts < 1:
		return keyErrorf("allowed.sendCap", "%d is under 1", d.Allowed.MaxAttempts)
	case d.Allowed.Streams != nil && *d.Allowed.Streams < 1:
		return keyErrorf("allowed.streamsPerConn", "%d is under 1", *d.Allowed.Streams)
	case d.hasSlowStart() && d.Rules.OverloadWindow.duration() <= 0:
		// Slow start gives an endpoint a budget for each window.
		return keyErrorf("rules.fallMs", "%v is not over 0", float64(d.Rules.OverloadWindow))
	}
	greatestWeight := 0.0
	for i := range d.Classes {
		if err := d.Classes[i].check(i); err != nil {
			return err
		}
		greatestWeight = max(greatestWeight, d.Classes[i].Weight)
	}
	if greatestWeight == 0 {
		return keyErrorf("lanes", "no class has a credit over 0")
	}
	return nil
}

// hasSlowStart reports whether endpoints that have just started get less load.
func (d *document) hasSlowStart() bool { return d.Rules.SlowStartTime > 0 }

// check returns a KeyError for the first value of a class that is invalid for every router. The number of the class is
// its index.
func (c *class) check(number int) error {
	objective := float64(c.LatencyObjective)
	deadline := float64(c.Deadline)
	switch {
	case c.LatencyObjective.duration() <= 0:
		return keyErrorf(classKey(number, "aimMs"), "%v is not over 0", objective)
	case deadline < objective:
		return keyErrorf(classKey(number, "deadlineMs"), "%v is under the class's aimMs, %v", deadline, objective)
	case c.Weight < 0:
		return keyErrorf(classKey(number, "credit"), "%v is under 0", c.Weight)
	}
	return nil
}
