package core

import (
	"slices"

	"capercove/routing"
)

// Settings are the router's, with the names of its classes. They are never changed, only replaced as a whole.
type Settings struct {
	routing.Settings
	Names []string
}

// Class returns the number and the settings of a request's class. A class has its number until the next Retune.
func (c *Core) Class(name string) (number int, class *routing.Class, known bool) {
	if number = slices.Index(c.settings.Names, name); number < 0 {
		return 0, nil, false
	}
	return number, &c.settings.Classes[number], true
}

// Reconfigure takes in new settings. What was submitted before keeps its class.
func (c *Core) Reconfigure(s Settings) {
	c.Count.Reloads++
	c.settings = &s
	c.pushSettings()
}

// ReloadRejected counts a configuration that was not taken.
func (c *Core) ReloadRejected() { c.Count.ReloadErrors++ }

// SetRouters takes in how many routers share the databases, in place of the number in the settings; 0 is back to that.
func (c *Core) SetRouters(routers int) {
	if routers != c.routerCount {
		c.routerCount = routers
		c.pushSettings()
	}
}

// routerSettings are the settings as the router has them: with the routers that are there, and with each class as it is, then each as a
// write, then each as a read.
func (c *Core) routerSettings() routing.Settings {
	s := c.settings.Settings
	if c.routerCount > 0 {
		s.Routers = c.routerCount
	}
	if !c.statementRouting {
		return s
	}
	all := make([]routing.Class, 0, int(routeCount)*len(s.Classes))
	for r := AsLabelled; r < routeCount; r++ {
		for _, class := range s.Classes {
			switch r {
			case AsWrite:
				class.Read, class.Effect = routing.Write, routing.NonIdempotent
			case AsRead:
				class.Read, class.Effect = routing.FreshRead, routing.Idempotent
			}
			all = append(all, class)
		}
	}
	s.Classes = all
	return s
}

// pushSettings hands the settings as they are to the router and to the door.
func (c *Core) pushSettings() {
	s := c.routerSettings()
	c.Count.Routers = s.Routers
	c.pushEvent(routing.Event{Kind: routing.SettingsChanged, Settings: &s})
	if c.admission != nil {
		c.ReconfigureAdmission(c.admission.config)
	}
}
