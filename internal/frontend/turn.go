package frontend

import (
	"context"
	"math"
	"math/bits"
	"time"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/pg"
)

// turn counts what was handled within one round of the event loop, as effort. Commands that need no database are
// answered at once, so that nothing else bounds how many of them are handled before another client is served.
type turn struct {
	round  int64
	effort int
}

const (
	// effortPerTurn is the effort of one connection within a round.
	effortPerTurn = 64
	// effortPerLongRound is the same once the round has lasted longer than a tick of the timers.
	effortPerLongRound = 1
	// bytesPerEffort is the length of a statement that counts as much as a command without one.
	bytesPerEffort = 4 << 10
)

// spent returns the effort of the present round.
func (counted *turn) spent(round int64) int {
	if counted.round != round {
		*counted = turn{round: round}
	}
	return counted.effort
}

// round is the present round of the event loop: it handles what has arrived on each connection, and then what was
// queued meanwhile.
type round struct {
	number  int64
	begunAt time.Duration
	isOpen  bool // its end is queued
}

// currentRound returns the number of the present round, and begins one if there is none. The round ends when the loop
// handles what is queued now: behind all connections from which bytes have arrived.
func (connection *clientConnection) currentRound() int64 {
	frontend := connection.frontend
	current := &frontend.round
	if current.isOpen {
		return current.number
	}
	current.number++
	current.begunAt = frontend.core.Now()
	// It fails only when the event loop ends.
	err := connection.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		current.isOpen = false
		return nil
	}))
	current.isOpen = err == nil
	return current.number
}

// hasTurn reports whether a further command of the connection may be handled within this round.
func (connection *clientConnection) hasTurn() bool {
	frontend := connection.frontend
	spent := connection.turn.spent(connection.currentRound())
	if spent < effortPerLongRound {
		return true
	}
	isLong := frontend.core.Now()-frontend.round.begunAt > frontend.limits.TimerTick
	return !isLong && spent < effortPerTurn
}

// takeTurn counts a command.
func (connection *clientConnection) takeTurn(command *pg.Command) {
	effort := 1 + len(command.Query)/bytesPerEffort
	connection.turn.effort += effort
	if connection.place == placeStarted { // a startup is no work for databases
		connection.recentWork.add(connection.frontend.core.Now(), float64(effort))
	}
}

// recentWorkHalfLife is the time in which recent work counts for half.
const recentWorkHalfLife = time.Second

// recentWork is the effort of a connection's commands. It decays exponentially.
type recentWork struct {
	amount float64
	at     time.Duration // when amount was determined
}

// add adds effort.
func (work *recentWork) add(now time.Duration, effort float64) {
	halfLives := (now - work.at).Seconds() / recentWorkHalfLife.Seconds()
	work.amount = work.amount*math.Exp2(-halfLives) + effort
	work.at = now
}

// magnitude returns the number of binary digits of the amount. Clients that have asked about as much are equal by it.
func (work *recentWork) magnitude() int { return bits.Len(uint(work.amount)) }
