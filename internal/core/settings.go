package core

import (
	"slices"

	"capercove/routing"
)

// Settings are the router's settings, with the names of its classes. They are never modified, only replaced as a whole.
type Settings struct {
	routing.Settings
	Names []string // of the classes, in the order of routing.Settings.Classes
}

// Class returns the number and the settings of a class. The number is valid until the next Reconfigure.
func (c *Core) Class(name string) (number int, class *routing.Class, known bool) {
	number = slices.Index(c.settings.Names, name)
	if number < 0 {
		return 0, nil, false
	}
	return number, &c.settings.Classes[number], true
}

// Reconfigure replaces the settings. Requests that were submitted before stay in their class.
func (c *Core) Reconfigure(settings Settings) {
	c.counters.Reloads++
	c.rejectedReload.since = 0
	c.settings = &settings
	c.pushSettings()
}

// SetRouters sets the number of poolers that share the databases, in place of Settings.Routers. 0 restores
// Settings.Routers.
func (c *Core) SetRouters(routers int) {
	if routers != c.routerCount {
		c.routerCount = routers
		c.pushSettings()
	}
}

// routerSettings returns the settings for the router, with the number of poolers by membership if that is known. With
// statement routing, the classes appear once per Route: each as it is, then each as a write, then each as a read. See
// routerClass.
func (c *Core) routerSettings() routing.Settings {
	settings := c.settings.Settings
	if c.routerCount > 0 {
		settings.Routers = c.routerCount
	}
	if !c.statementRouting {
		return settings
	}
	classes := make([]routing.Class, 0, int(routeCount)*len(settings.Classes))
	for route := range routeCount {
		for _, class := range settings.Classes {
			classes = append(classes, route.apply(class))
		}
	}
	settings.Classes = classes
	return settings
}

// pushSettings passes the current settings to the router and to the admission controller.
func (c *Core) pushSettings() {
	settings := c.routerSettings()
	c.counters.Routers = settings.Routers
	c.pushEvent(routing.Event{Kind: routing.SettingsChanged, Settings: &settings})
	if c.admission != nil {
		c.ReconfigureAdmission(c.admission.config)
	}
}
