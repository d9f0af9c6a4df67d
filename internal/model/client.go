package model

import (
	"time"

	"github.com/zeebo/xxh3"

	"capercove/internal/core"
	"capercove/internal/emulator"
	"capercove/internal/load"
	"capercove/internal/tenant"
)

// frontend is the name under which statements reach the intake, as those of the PostgreSQL frontend do.
const frontend = "postgres"

// client is the client's side of a request. It implements core.Client.
type client struct {
	pooler     *Pooler
	request    *load.Request
	submission *core.Request // nil until the pooler has parsed the statement
	done       func(load.Response)
}

// Send implements load.Target.
func (fleet *Fleet) Send(request *load.Request, done func(load.Response)) {
	pooler := fleet.Poolers[request.Pooler]
	sender := &client{pooler: pooler, request: request, done: done}
	pooler.requests[request] = sender
	pooler.afterNetworkDelay(func() {
		if sender.isWaiting() {
			sender.submit()
		}
	})
}

// Cancel implements load.Target.
func (fleet *Fleet) Cancel(request *load.Request) {
	pooler := fleet.Poolers[request.Pooler]
	sender := pooler.requests[request]
	if sender == nil {
		return
	}
	delete(pooler.requests, request)
	if sender.submission != nil {
		pooler.Core.ClientGone(sender.submission)
	}
}

// isWaiting reports whether the request is neither answered nor canceled.
func (sender *client) isWaiting() bool {
	_, waiting := sender.pooler.requests[sender.request]
	return waiting
}

// submit hands the statement to the pooler.
func (sender *client) submit() {
	pooler := sender.pooler
	caller := tenant.Caller{Connection: xxh3.HashString(sender.request.Key)}
	submission, _ := pooler.intake.PostgresRequest(frontend, sender.request.SQL, caller, pooler)
	if submission == nil {
		sender.respond(load.Response{Outcome: emulator.Failed})
		return
	}
	submission.Client = sender
	sender.submission = submission
	pooler.Core.Submit(submission)
}

// respond sends a response to the client, unless it has canceled the request.
func (sender *client) respond(response load.Response) {
	if !sender.isWaiting() {
		return
	}
	delete(sender.pooler.requests, sender.request)
	sender.pooler.afterNetworkDelay(func() { sender.done(response) })
}

// Served implements core.Client.
func (sender *client) Served(value []byte) {
	sender.respond(load.Response{Outcome: emulator.Served, Value: string(value)})
}

// Rejected implements core.Client.
func (sender *client) Rejected(retryAfter time.Duration) {
	sender.respond(load.Response{Outcome: emulator.Rejected, RetryAfter: retryAfter})
}

// Failed implements core.Client.
func (sender *client) Failed(core.Failure) {
	sender.respond(load.Response{Outcome: emulator.Failed})
}
