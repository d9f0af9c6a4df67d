package backend

import (
	"slices"
	"time"

	"capercove/internal/core"
	"capercove/internal/pg"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

// job is one statement for a database: an attempt of a request, or a health check. It waits in its database's queue
// until a connection carries it. Each job ends with one call of finish, unless the core cancels it.
type job struct {
	database   *database
	attempt    *core.Attempt     // nil for a health check
	query      *pg.Query         // of the attempt; nil for a health check
	startedAt  time.Duration     // when it was passed to the pool
	timer      *timerwheel.Timer // timeout of the wait for a connection, or of the answer to a health check
	connection *connection       // that carries it; nil while it waits and after it has ended
}

// isHealthCheck reports whether the job is a health check; otherwise it is an attempt.
func (job *job) isHealthCheck() bool { return job.attempt == nil }

// boundQuery is the query of a request together with the pool that sends its attempts. It implements core.Statement.
type boundQuery struct {
	pool  *Pool
	query pg.Query
}

// Statement implements intake.PostgresBackend.
func (pool *Pool) Statement(query pg.Query) core.Statement { return &boundQuery{pool, query} }

// Send implements core.Statement: it starts a job for an attempt of the request.
func (bound *boundQuery) Send(attempt *core.Attempt) core.Transmission {
	pool := bound.pool
	job := &job{
		database:  pool.databases[attempt.Member.ID],
		attempt:   attempt,
		query:     &bound.query,
		startedAt: pool.core.Now(),
	}
	pool.start(job)
	return job
}

// Cancel implements core.Transmission. It closes the connection that carries the attempt, if there is one, which
// signals the cancellation to the database.
func (job *job) Cancel() { job.withdraw() }

// start writes the statement of a job to an idle connection. If none is idle, the job is queued and a connection is
// dialed. The job ends if no connection carries it within the ConnectTimeout.
func (pool *Pool) start(job *job) {
	database := job.database
	if connection := pool.takeIdle(database); connection != nil {
		connection.send(job)
		return
	}
	database.waiting = append(database.waiting, job)
	job.timer = pool.core.Wheel.Schedule(job.startedAt+pool.limits.ConnectTimeout, func() {
		pool.abort(job, database.lastFailure.status())
	})
	pool.dialForOneJob(database)
}

// abort ends a job that waits or is carried by a connection, and reports the status to the core.
func (pool *Pool) abort(job *job, status routing.Status) {
	job.withdraw()
	pool.finish(job, status, nil)
}

// withdraw removes the job from the queue, or closes the connection that carries it. It reports nothing to the core.
func (job *job) withdraw() {
	job.timer.Stop()
	if connection := job.connection; connection != nil {
		connection.detachJob()
		connection.close()
	}
	job.database.dequeue(job)
}

// dequeue removes a job from the queue. It does nothing if the job is not in the queue.
func (database *database) dequeue(job *job) {
	if i := slices.Index(database.waiting, job); i >= 0 {
		database.waiting = slices.Delete(database.waiting, i, i+1)
	}
}

// dequeueFirst removes and returns the job that has waited longest. The queue must not be empty.
func (database *database) dequeueFirst() *job {
	first := database.waiting[0]
	database.dequeue(first)
	return first
}
