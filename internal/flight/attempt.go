package flight

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/status"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// attempt is a core.Attempt that runs, on a goroutine of its own: see run. It implements core.Transmission, whose
// methods the event loop calls.
type attempt struct {
	*core.Attempt

	backend    *Backend
	limits     limits.Flight // as they were when it began
	reserved   *connection   // on which it has a stream; used on the event loop alone
	connection *connection   // likewise, but used by run alone
	// isConfirmed reports whether the database was known to allow the stream when it was reserved.
	isConfirmed bool
	statement   *statement
	ctx         context.Context // over at the time limit, or once the attempt is cancelled
	cancel      context.CancelCauseFunc
	timeLimit   *time.Timer      // at first the deadline, then of the next message; see bindRequest
	heldUp      time.Duration    // for which the client took no message; used by run alone
	accepted    bool             // the database has sent a ticket or a result; written by run, read once that has ended
	evidence    routing.Evidence // what the database last reported of itself; likewise
	message     *outgoingMessage // of the latest call; nil before; used by run and end alone
	// mayHaveArrived is set once the last byte of a message is handed to the operating system; used on any goroutine.
	mayHaveArrived atomic.Bool
}

func newAttempt(
	backend *Backend, connection *connection, statement *statement, coreAttempt *core.Attempt,
) *attempt {
	created := &attempt{
		Attempt:    coreAttempt,
		backend:    backend,
		limits:     backend.limits,
		reserved:   connection,
		connection: connection,
		statement:  statement,
	}
	_, isKnown := connection.allowedStreams()
	created.isConfirmed = isKnown && backend.connections.confirm(connection)
	created.ctx, created.cancel = context.WithCancelCause(backend.attemptsContext)
	left := coreAttempt.Deadline - backend.core.Now()
	created.timeLimit = time.AfterFunc(left, func() { created.cancel(context.DeadlineExceeded) })
	return created
}

// Cancel ends the attempt; the database's stream is reset.
func (attempt *attempt) Cancel() { attempt.cancel(nil) }

// end releases what the attempt holds, once it has run.
func (attempt *attempt) end() {
	if attempt.message != nil {
		attempt.message.withdraw() // if gRPC still holds it
	}
	attempt.timeLimit.Stop()
	attempt.cancel(nil)
}

// isTimedOut reports whether the attempt was ended by its time limit.
func (attempt *attempt) isTimedOut() bool {
	return errors.Is(context.Cause(attempt.ctx), context.DeadlineExceeded)
}

// run carries the statement to the database. The answer is the encoded result of an update; a stream's messages have
// been passed on.
func (attempt *attempt) run() (answer []byte, failure *attemptError) {
	if failure := attempt.open(); failure != nil {
		return nil, failure
	}
	descriptor, err := attempt.statement.descriptor()
	if err != nil {
		return nil, &attemptError{withdrawn, err}
	}
	if attempt.statement.isUpdate {
		answer, err = attempt.update(descriptor)
	} else {
		err = attempt.query(descriptor)
	}
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(context.Cause(attempt.ctx), errMayNotBeSent):
		return nil, attempt.refusal()
	case attempt.isTimedOut():
		err = status.FromContextError(context.DeadlineExceeded).Err()
	}
	return nil, callError(err, attempt.mayHaveArrived.Load())
}

// open waits for a connection that is up and on which the database allows a stream for the attempt.
func (attempt *attempt) open() *attemptError {
	for {
		if !attempt.connection.open(attempt.ctx, attempt.limits.ConnectTimeout) {
			return attempt.openError()
		}
		if attempt.isConfirmed {
			return nil
		}
		confirmed, ok := ask(attempt, func() *connection { return attempt.backend.move(attempt) })
		switch {
		case !ok:
			return &attemptError{withdrawn, errMayNotBeSent}
		case confirmed == nil:
			return &attemptError{localShortage, errNoStream}
		case confirmed == attempt.connection:
			return nil
		}
		attempt.connection = confirmed
	}
}

// openError returns why there is no connection.
func (attempt *attempt) openError() *attemptError {
	switch {
	case !attempt.connection.isValid():
		return &attemptError{withdrawn, errNoConnection}
	case attempt.connection.localShortage.Load():
		return &attemptError{localShortage, errNoConnection}
	}
	return &attemptError{unreachable, errNoConnection}
}

// noteWritten notes that a message of the attempt has been handed to the operating system. Any goroutine may call it.
func (attempt *attempt) noteWritten() {
	attempt.backend.runOnLoop(func() { attempt.backend.core.Written(attempt.Attempt) })
}

// mayBeSent reports whether the statement may be sent now, in view of all that the client has sent by now, such as the
// cancelling of its call, and of the time that the database was told.
func (attempt *attempt) mayBeSent(told core.TimeTold) bool {
	attempt.statement.call.socket.settle(attempt.ctx, attempt.limits.SettleTimeout)
	return attempt.askOnLoop(func() bool {
		return attempt.connection.isValid() && attempt.backend.core.MaySendAs(attempt.Attempt, told)
	})
}

// bindRequest binds the request to this attempt before the client gets anything of its answer. It returns false if the
// request is over or another attempt answers it. From then on the time limit is that of the next message.
func (attempt *attempt) bindRequest() bool {
	isBound := attempt.askOnLoop(func() bool { return attempt.backend.core.AnswerStreams(attempt.Attempt) })
	return isBound && attempt.extendTimeLimit(attempt.limits.ChunkTimeout)
}

// extendTimeLimit sets the time limit anew. It returns false if it is over already.
func (attempt *attempt) extendTimeLimit(left time.Duration) bool {
	return attempt.timeLimit.Reset(left)
}

// askOnLoop returns what a function returns on the event loop, or false if the attempt ends first.
func (attempt *attempt) askOnLoop(question func() bool) bool {
	answer, ok := ask(attempt, question)
	return ok && answer
}

// ask returns what a function returns on the event loop. ok is false if the attempt ends first.
func ask[T any](attempt *attempt, question func() T) (answer T, ok bool) {
	answers := make(chan T, 1)
	attempt.backend.runOnLoop(func() { answers <- question() })
	select {
	case answer = <-answers:
		return answer, true
	case <-attempt.ctx.Done():
		return answer, false
	}
}
