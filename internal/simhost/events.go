package simhost

import (
	"fmt"
	"math"
	"time"

	"capercove/internal/settings"
	"capercove/routing"
)

// hasWork is the bit of a request's flags that says that its work is known.
const hasWork = 1

// Parts of the note that a database adds to an answer.
const (
	noteRoleMask      = 3 // in the lowest bits: a routing.Role
	notePositionShift = 2 // above it: milliseconds from the origin; 0: none
)

// Kinds of endpoint lists that arrive.
const (
	listUpdated        = 0
	listComplete       = 1
	listCompleteCached = 2 // the complete list as the instance last had it; treated as listComplete
	listFailed         = 3
)

// requestArrived reads a request that arrives at some time on the simulator's clock.
func (r *fieldReader) requestArrived(
	configured *settings.Settings, now time.Duration,
) (event routing.Event, err error) {
	event.Kind = routing.RequestArrived
	event.Request = routing.RequestID(r.uint64())
	arrival := &event.Arrival
	arrival.Class = int(r.uint16())
	arrival.Tenant = int(r.uint16())
	arrival.Session = r.uint64()
	arrival.TimeLeft = r.milliseconds()
	arrival.Work = r.milliseconds()
	group := r.float32()
	sinceWrite := r.float32() // milliseconds since the session's last commit; 0: none
	flags := r.uint8()
	if flags&hasWork == 0 {
		arrival.Work = 0
	}
	arrival.Group = int(group)
	unknownClass := arrival.Class >= len(configured.Classes)
	unknownTenant := arrival.Tenant >= max(1, configured.Tenants)
	groupIsWhole := float32(arrival.Group) == group
	if unknownClass || unknownTenant || !groupIsWhole {
		return event, fmt.Errorf("request names class %d, tenant %d, group %v", arrival.Class, arrival.Tenant, group)
	}
	if sinceWrite > 0 { // rounded so that the commit is never taken to be earlier than it was
		arrival.LastWrite = now - duration(float64(math.Nextafter32(sinceWrite, 0)))
	}
	return event, nil
}

// attemptDone reads the outcome of an attempt.
func (r *fieldReader) attemptDone(configured *settings.Settings) (event routing.Event, err error) {
	event.Kind = routing.AttemptDone
	event.Request = routing.RequestID(r.uint64())
	outcome := &event.Outcome
	outcome.Attempt = int(r.uint16())
	outcome.Node = r.node()
	outcome.Status = r.status()
	outcome.Duration = r.milliseconds()
	outcome.Status = connectionStatus(outcome.Status, outcome.Duration, configured.ConnectTimeout)
	outcome.Final = r.uint8() != 0
	note := r.uint32()
	outcome.AnswerEvidence.Role = routing.Role(note & noteRoleMask)
	if position := note >> notePositionShift; position != 0 {
		outcome.AnswerEvidence.Position = configured.Origin + time.Duration(position)*time.Millisecond
	}
	outcome.HealthReport = r.report(configured)
	if outcome.AnswerEvidence.Role > routing.Replica {
		return event, fmt.Errorf("role %d", outcome.AnswerEvidence.Role)
	}
	return event, nil
}

// probeDone reads the outcome of a health check.
func (r *fieldReader) probeDone(configured *settings.Settings) (event routing.Event) {
	event.Kind = routing.ProbeDone
	outcome := &event.Outcome
	outcome.Node = r.node()
	outcome.Status = r.status()
	outcome.Duration = r.milliseconds()
	outcome.Status = connectionStatus(outcome.Status, outcome.Duration, configured.ConnectTimeout)
	outcome.HealthReport = r.report(configured)
	return event
}

// listArrived reads the number of an endpoint list that has arrived, and returns the event with that list.
func (r *fieldReader) listArrived(lists map[uint16][]routing.Node) (event routing.Event, err error) {
	kind := r.uint8()
	r.uint64() // version of the list, which routers do not need
	number := r.uint16()
	switch kind {
	case listUpdated:
		event.Kind = routing.ListUpdated
	case listComplete, listCompleteCached:
		event.Kind = routing.ListComplete
	case listFailed:
		event.Kind = routing.ListFailed
		return event, nil
	default:
		return event, fmt.Errorf("list of kind %d", kind)
	}
	nodes, known := lists[number]
	if !known && r.err == nil {
		return event, fmt.Errorf("list %d is not defined", number)
	}
	event.Nodes = nodes
	return event, nil
}
