// Package limits holds the sizes, counts and times that bound the program: one struct for each subsystem, which is all
// that the subsystem is given. For computes them from what the platform grants (Machine) and from the settings; values
// that are the same everywhere are constants.
package limits

import "time"

// Limits are all limits of one process. Package pooler hands each subsystem its own.
type Limits struct {
	Process    Process
	Listen     Listen
	EventLoop  EventLoop
	Frontend   Frontend
	Backend    Backend
	Flight     Flight
	Request    Request
	Admission  Admission
	Statements Statements
	Traffic    Traffic
	Discovery  Discovery
	Membership Membership
	Exclusion  Exclusion
	Management Management
	Store      Store
	Shutdown   Shutdown
}

// Timeouts are the settings of a site that limits depend on.
type Timeouts struct {
	Connect         time.Duration // of connections to databases
	Keepalive       time.Duration // databases close connections that are idle for so long
	LongestDeadline time.Duration // of all classes
	// StreamsPerConnection is how many attempts one connection to a database may carry at once; 0: any number.
	StreamsPerConnection int
}

// For returns the limits of a machine at a site with these timeouts.
func For(machine Machine, timeouts Timeouts) Limits {
	granted := sharesOf(machine)
	return Limits{
		Process:    process(granted),
		Listen:     listen(),
		EventLoop:  eventLoop(granted),
		Frontend:   frontend(granted),
		Backend:    backend(granted, timeouts),
		Flight:     flight(granted, timeouts),
		Request:    request(granted),
		Admission:  admission(),
		Statements: statements(),
		Traffic:    traffic(),
		Discovery:  discovery(),
		Membership: membership(),
		Exclusion:  exclusion(),
		Management: management(),
		Store:      store(),
		Shutdown:   shutdown(timeouts.LongestDeadline),
	}
}
