package model

import (
	"time"

	"capercove/internal/core"
	"capercove/internal/emulator"
	"capercove/internal/pg"
	"capercove/routing"
)

const (
	probeTimeout       = 250 * time.Millisecond
	crashCheckInterval = 5 * time.Millisecond // between two checks of an attempt whether its database has crashed
)

// statuses are the routing statuses of databases' answers.
var statuses = map[emulator.Outcome]routing.Status{
	emulator.Succeeded:  routing.OK,
	emulator.NotPrimary: routing.NodeRejected,
	emulator.Overloaded: routing.NodeOverloaded,
	emulator.RolledBack: routing.NodeError,
}

// evidence returns what a database tells about itself with an answer.
func evidence(isPrimary bool, position time.Duration) routing.Evidence {
	role := routing.Replica
	if isPrimary {
		role = routing.Primary
	}
	return routing.Evidence{Role: role, Position: position}
}

// Probe sends a health check to a database.
func (pooler *Pooler) Probe(to *core.Member) {
	database := pooler.fleet.Member(to.Name)
	start := pooler.fleet.loop.Now()
	finish := func(status routing.Status, evidence routing.Evidence) {
		pooler.Core.Probed(to, status, pooler.fleet.loop.Now()-start, evidence)
	}
	pooler.afterNetworkDelay(func() {
		switch {
		case !database.Running():
			pooler.afterNetworkDelay(func() { finish(routing.ConnectRefused, routing.Evidence{}) })
		case database.Silent(pooler.zone):
			pooler.fleet.loop.At(start+probeTimeout, func() { finish(routing.TimedOut, routing.Evidence{}) })
		default:
			report := database.Probe()
			pooler.afterNetworkDelay(func() { finish(routing.OK, evidence(report.Primary, report.Position)) })
		}
	})
}

// transmission is an attempt on its way to a database and back.
type transmission struct {
	pooler   *Pooler
	attempt  *core.Attempt
	query    *pg.Query
	database *emulator.Member
	started  time.Duration // start time of the database's process that has the job
	job      *emulator.Job // nil until it has arrived
	finished bool
}

// boundQuery is a query that a pooler carries to the emulated databases.
type boundQuery struct {
	pooler *Pooler
	query  pg.Query
}

// Statement implements intake.PostgresBackend.
func (pooler *Pooler) Statement(query pg.Query) core.Statement { return &boundQuery{pooler, query} }

// Send implements core.Statement.
func (bound *boundQuery) Send(attempt *core.Attempt) core.Transmission {
	pooler := bound.pooler
	sent := &transmission{
		pooler:   pooler,
		attempt:  attempt,
		query:    &bound.query,
		database: pooler.fleet.Member(attempt.Member.Name),
	}
	pooler.afterNetworkDelay(sent.arrive)
	return sent
}

// Cancel implements core.Transmission: the database drops the job.
func (sent *transmission) Cancel() {
	sent.finished = true
	if sent.job != nil {
		sent.database.Cancel(sent.job)
	}
}

// finish reports the outcome of the attempt to the core, once.
func (sent *transmission) finish(status routing.Status, evidence routing.Evidence, value []byte) {
	if !sent.finished {
		sent.finished = true
		sent.pooler.Core.Done(sent.attempt, status, evidence, value)
	}
}

// arrive hands the attempt to the database.
func (sent *transmission) arrive() {
	if sent.finished {
		return
	}
	pooler, database := sent.pooler, sent.database
	if !database.Running() {
		pooler.afterNetworkDelay(func() { sent.finish(routing.ConnectRefused, routing.Evidence{}, nil) })
		return
	}
	if !sent.attempt.WriteLimit.Allows(pooler.Core.Now()) {
		sent.finish(routing.NotSent, routing.Evidence{}, nil)
		return
	}
	pooler.Core.Written(sent.attempt)
	sent.started = database.Started
	class := pooler.fleet.Scenario.Class(sent.query.Class)
	sent.job = &emulator.Job{
		RequestID: sent.query.ID,
		Pooler:    pooler.name,
		Class:     class,
		Write:     emulator.IsWrite(class, sent.query.Head),
		Done:      sent.answer,
	}
	database.Submit(sent.job)
	sent.detectCrash()
}

// answer sends the database's answer to the pooler.
func (sent *transmission) answer(answer emulator.Answer) {
	if sent.database.Silent(sent.pooler.zone) {
		return
	}
	sent.pooler.afterNetworkDelay(func() {
		sent.finish(statuses[answer.Outcome], evidence(answer.Primary, answer.Position), []byte(answer.Value))
	})
}

// detectCrash ends the attempt with a broken connection once the process that has it has crashed.
func (sent *transmission) detectCrash() {
	if sent.finished {
		return
	}
	if !sent.database.Running() || sent.database.Started != sent.started {
		sent.finish(routing.ConnectionBroken, routing.Evidence{}, nil)
		return
	}
	sent.pooler.fleet.after(crashCheckInterval, sent.detectCrash)
}
