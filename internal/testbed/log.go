package testbed

import (
	"encoding/json"
	"strings"
	"syscall"
	"time"
)

// logDelay is how long the program may take to print its counters before they are requested again.
const logDelay = 20 * time.Millisecond

// Counters is the line that the program prints on SIGUSR1 and at its end.
type Counters struct {
	Message string
	Core    struct {
		Fronts                                                         map[string]Answers
		Attempts, Written, Reloads, ReloadErrors, NoProcess, NoConnect int
		Lists                                                          int // endpoint lists received
		Size                                                           float64
		ClockAhead, ClockDissent, ClockMoves                           int
	}
	Front   struct{ Expired, TurnedAway, Paused, Shed int }
	Buffers Buffers
	Takes   int // descriptors that it may have open, if others may run beside it
}

// Buffers is what the program holds for its clients, in bytes.
type Buffers struct{ Input, Statements, Answers, Output int }

// Total returns the sum.
func (b Buffers) Total() int { return b.Input + b.Statements + b.Answers + b.Output }

// Answers are the program's counts of one frontend, over all classes.
type Answers struct{ Taken, Served, Refused, Failed, Gone int }

// UnmarshalJSON sums the counts of all classes.
func (a *Answers) UnmarshalJSON(text []byte) error {
	var classes map[string]struct{ Taken, Served, Refused, Failed, Gone int }
	err := json.Unmarshal(text, &classes)
	for _, class := range classes {
		a.Taken += class.Taken
		a.Served += class.Served
		a.Refused += class.Refused
		a.Failed += class.Failed
		a.Gone += class.Gone
	}
	return err
}

// Counters requests the program's counters until they satisfy a condition, and returns those.
func (b *Bed) Counters(satisfied func(Counters) bool) (counters Counters) {
	b.T.Helper()
	b.Eventually(func() bool {
		b.log.Reset()
		b.Signal(syscall.SIGUSR1)
		time.Sleep(logDelay)
		for _, line := range b.log.lines() {
			if json.Unmarshal([]byte(line), &counters) == nil && counters.Message == "counters" && satisfied(counters) {
				return true
			}
		}
		return false
	}, "the counters")
	return counters
}

// AwaitLine waits until the program has printed a line with a text.
func (b *Bed) AwaitLine(text, what string) {
	b.T.Helper()
	b.Eventually(func() bool { return b.Line(text) != "" }, what)
}

// ClearLog discards what the program has printed so far.
func (b *Bed) ClearLog() { b.log.Reset() }

// Line returns the first line that the program has printed and that contains a text, or nothing.
func (b *Bed) Line(with string) string {
	for _, line := range b.log.lines() {
		if strings.Contains(line, with) {
			return line
		}
	}
	return ""
}
