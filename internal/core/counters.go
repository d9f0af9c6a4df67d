package core

import "capercove/routing"

// Answers count the requests of one front and class and how they ended.
type Answers struct {
	Taken, Served, Refused, Failed int64
	Gone                           int64 // the client left first
}

func (a Answers) add(b Answers) Answers {
	return Answers{
		Taken: a.Taken + b.Taken, Served: a.Served + b.Served, Refused: a.Refused + b.Refused,
		Failed: a.Failed + b.Failed, Gone: a.Gone + b.Gone,
	}
}

// Counters count what the core took in, sent and answered.
type Counters struct {
	Fronts                              map[string]map[string]*Answers // by front and class
	Written                             int64                          // attempts written whole to databases
	Reloads, ReloadErrors               int64                          // configurations taken and turned down
	Relieved                            int64                          // refused as too many waited, sent nowhere yet
	Overdue                             int64                          // failed by the core's own guard: a fault in this program
	Attempts, Cancelled                 int64
	Served, Errors, Full, TimedOut      int64 // how attempts ended, as routing.Status
	NoConnect, NoProcess                int64
	Broken, NotSent, Turned             int64
	Probes, ProbesFailed                int64
	Asked                               int64 // of the probes: on other poolers' word
	KeptOff                             int64 // attempts not sent, as their database could be at work
	Blind                               int64 // ... sent all the same, as nothing else of the group is left
	Routers                             int   // that this one reckons with, itself among them
	Lists, ListsFailed, Batches, Events int64
	ClockAhead                          int64   // ms that the databases' clock is ahead of this process's, at the least; 0: they agree
	ClockUnknown                        bool    // it is ahead, by how much is not known
	ClockDissent                        int     // of the last positions, those that do not fit clocks that agree
	ClockMoves                          int64   // how often the estimate has changed
	Unlisted                            int64   // entries that were left out, as more are not remembered
	Size                                float64 // of the databases, as the router takes them; 1 where none tells
}

// outcome is the counter of a status.
func (c *Counters) outcome(s routing.Status) *int64 {
	return [...]*int64{
		routing.OK: &c.Served, routing.NodeError: &c.Errors, routing.NodeOverloaded: &c.Full,
		routing.TimedOut: &c.TimedOut, routing.ConnectFailed: &c.NoConnect, routing.ConnectRefused: &c.NoProcess,
		routing.ConnectionBroken: &c.Broken,
		routing.Cancelled:        &c.Cancelled, routing.NotSent: &c.NotSent, routing.NodeRejected: &c.Turned,
	}[s]
}

// answersOf are the counts of a front and class.
func (c *Core) answersOf(front, class string) *Answers {
	classes := c.Count.Fronts[front]
	if classes == nil {
		classes = map[string]*Answers{}
		c.Count.Fronts[front] = classes
	}
	if classes[class] == nil {
		classes[class] = &Answers{}
	}
	return classes[class]
}
