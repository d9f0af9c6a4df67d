package emulator

import (
	"fmt"
	"time"
)

// Rule is an invariant that poolers must not violate. Its text is the one of reports.
type Rule string

// The rules that a Ledger checks.
const (
	DuplicateWrite      Rule = "a write ran twice"
	ConcurrentAttempts  Rule = "two copies of a request were out at once"
	StaleRead           Rule = "a read was answered from data older than its class allows"
	WorkAfterDrain      Rule = "work came to a drained or gone database"
	ColdOverload        Rule = "a cold database was pushed over"
	DuplicateResponse   Rule = "a request was answered twice"
	MissingResponse     Rule = "a request was never answered"
	WrongResponse       Rule = "a request was served with what no database made for it"
	RejectedButExecuted Rule = "a write that ran was called refused"
)

// maxViolations is how many violations are recorded in full.
const maxViolations = 100

// clientParty is the party of a violation that a client has seen.
const clientParty = "client"

// Violation is one violation of a rule.
type Violation struct {
	At        time.Duration // after the start
	Rule      Rule
	RequestID string // may be empty
	Party     string // the database or the client that has seen it, with details
}

// String describes the violation, for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: %s: request %s, %s", v.At.Seconds(), v.Rule, v.RequestID, v.Party)
}

// recordViolation counts a violation and, if there are not too many, records it.
func (l *Ledger) recordViolation(now time.Duration, rule Rule, requestID, party string) {
	l.ViolationCount++
	if len(l.Violations) < maxViolations {
		l.Violations = append(l.Violations, Violation{now - l.start, rule, requestID, party})
	}
}
