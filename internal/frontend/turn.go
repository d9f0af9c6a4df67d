package frontend

import (
	"math"
	"time"

	"capercove/internal/pg"
)

// turn counts what was handled within one tick of the timers, as effort. Commands that need no database are answered at
// once, so that nothing else bounds how many of them the event loop handles before it serves another client.
type turn struct {
	tick   int64
	effort int
}

const (
	// effortPerTurn is the effort of one connection within a tick.
	effortPerTurn = 64
	// effortOfAll is the effort of all connections within a tick, beyond which each has only what a pipeline takes.
	effortOfAll = 512
	// bytesPerEffort is the length of a statement that counts as much as a command without one.
	bytesPerEffort = 4 << 10
)

// spent returns the effort of the present tick.
func (counted *turn) spent(tick int64) int {
	if counted.tick != tick {
		*counted = turn{tick: tick}
	}
	return counted.effort
}

// tick returns the number of the present tick of the timers.
func (frontend *Frontend) tick() int64 { return int64(frontend.core.Now() / frontend.limits.TimerTick) }

// hasTurn reports whether a further command of the connection may be handled within this tick.
func (connection *clientConnection) hasTurn() bool {
	frontend := connection.frontend
	tick, limit := frontend.tick(), effortPerTurn
	if frontend.turn.spent(tick) >= effortOfAll {
		limit = frontend.limits.MaxPipelined
	}
	return connection.turn.spent(tick) < limit
}

// takeTurn counts a command.
func (connection *clientConnection) takeTurn(command *pg.Command) {
	effort := 1 + len(command.Query)/bytesPerEffort
	connection.turn.effort += effort
	connection.frontend.turn.effort += effort
	connection.recentWork.add(connection.frontend.core.Now(), float64(effort))
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
