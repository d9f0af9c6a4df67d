package core

import "capercove/routing"

// Answers count the requests of one front and class by outcome.
type Answers struct {
	Taken   int64 // submitted
	Served  int64 // answered by a database
	Refused int64 // rejected: never ran, or a retry is harmless
	Failed  int64 // failed: may have run
	Gone    int64 // the client left before the answer
}

// add returns the sums of a and b.
func (a Answers) add(b Answers) Answers {
	return Answers{
		Taken:   a.Taken + b.Taken,
		Served:  a.Served + b.Served,
		Refused: a.Refused + b.Refused,
		Failed:  a.Failed + b.Failed,
		Gone:    a.Gone + b.Gone,
	}
}

// Counters count requests, attempts, health checks and further events of the core. Logs and stored state contain the
// names of the fields; some fields therefore have names that are no longer used elsewhere.
type Counters struct {
	Fronts                map[string]map[string]*Answers // by front and class
	Written               int64                          // attempts whose last byte was written to a database
	Reloads, ReloadErrors int64                          // configurations applied; rejected
	Relieved              int64                          // requests rejected because too many were pending
	Overdue               int64                          // failed by failOverdue: a fault in this program
	Attempts              int64                          // attempts passed to a backend

	// Ended attempts, by routing.Status; see outcome.
	Cancelled int64
	Served    int64 // OK
	Errors    int64 // NodeError
	Full      int64 // NodeOverloaded
	TimedOut  int64
	NoConnect int64 // ConnectFailed
	NoProcess int64 // ConnectRefused
	Broken    int64 // ConnectionBroken
	NotSent   int64
	Turned    int64 // NodeRejected

	Probes, ProbesFailed int64         // health checks; those that did not end with OK
	Repeated             int64         // requests that were answered with an error as their name was claimed before
	Asked                int64         // health checks caused by another pooler's hint
	Refusals             WriteRefusals // attempts that were refused when they were to be written
	KeptOff              int64         // attempts not sent because their database may be in maintenance
	Blind                int64         // attempts sent to databases that may be in maintenance; see Blocklist
	Routers              int           // poolers that share the databases, including this one

	Lists, ListsFailed int64 // endpoint lists received; failed polls and watches
	Batches, Events    int64 // steps of the router; events passed to it

	ClockAhead   int64   // ms by which the databases' clock is at least ahead of the core's; 0: they agree
	ClockUnknown bool    // no upper bound of that offset is known
	ClockDissent int     // recent replication positions that contradict agreement of the clocks
	ClockMoves   int64   // changes of the estimated offset
	Unlisted     int64   // list entries left out because there are too many databases
	Size         float64 // of the databases, estimated; 1 if none reports its queue; see Router.NodeSize
}

// outcome returns the counter of attempts that ended with status.
func (c *Counters) outcome(status routing.Status) *int64 {
	return [...]*int64{
		routing.OK:               &c.Served,
		routing.NodeError:        &c.Errors,
		routing.NodeOverloaded:   &c.Full,
		routing.TimedOut:         &c.TimedOut,
		routing.ConnectFailed:    &c.NoConnect,
		routing.ConnectRefused:   &c.NoProcess,
		routing.ConnectionBroken: &c.Broken,
		routing.Cancelled:        &c.Cancelled,
		routing.NotSent:          &c.NotSent,
		routing.NodeRejected:     &c.Turned,
	}[status]
}

// Counters returns a snapshot of the counters, which later changes do not affect.
func (c *Core) Counters() Counters {
	snapshot := c.counters
	snapshot.Fronts = make(map[string]map[string]*Answers, len(c.counters.Fronts))
	for front, classes := range c.counters.Fronts {
		snapshot.Fronts[front] = make(map[string]*Answers, len(classes))
		for class, answers := range classes {
			copied := *answers
			snapshot.Fronts[front][class] = &copied
		}
	}
	return snapshot
}

// answersOf returns the counters of a front and class. It creates them if there are none yet.
func (c *Core) answersOf(front, class string) *Answers {
	classes := c.counters.Fronts[front]
	if classes == nil {
		classes = map[string]*Answers{}
		c.counters.Fronts[front] = classes
	}
	if classes[class] == nil {
		classes[class] = &Answers{}
	}
	return classes[class]
}
