package pooler

import (
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/maintenance/agent"
	"capercove/internal/management"
	"capercove/internal/statement"
)

// operatorView is what the management server sees of the pooler. Its methods may be called from any goroutine.
type operatorView struct{ pooler *Pooler }

// Figures implements management.Pooler.
func (o operatorView) Figures() core.Figures { return o.pooler.core.Figures() }

// Fleet implements management.Pooler.
func (o operatorView) Fleet() any {
	if o.pooler.membership == nil {
		return nil
	}
	state := o.pooler.membership.State()
	state.Use = o.pooler.peers.Status()
	return state
}

// Maintenance implements management.Pooler.
func (o operatorView) Maintenance(capacity float64) any {
	if maintenance := query(o.pooler, func() *agent.Agent { return o.pooler.maintenance }); maintenance != nil {
		return maintenance.Overview(capacity)
	}
	return nil
}

// Statements implements management.Pooler.
func (o operatorView) Statements() *management.Statements {
	return query(o.pooler, func() *management.Statements {
		intake, most := o.pooler.intake, o.pooler.limits.Statements.MaxListed
		counters := intake.StatementCounters()
		if counters == nil {
			return nil
		}
		return &management.Statements{
			StatementCounters: *counters,
			ByCalls:           intake.TopFingerprints(statement.ByCalls, most),
			ByTime:            intake.TopFingerprints(statement.ByTime, most),
			ByDisagreement:    intake.TopFingerprints(statement.ByDisagreement, most),
		}
	})
}

// UnsavedExclusions implements management.Pooler.
func (o operatorView) UnsavedExclusions() int { return o.pooler.exclusions.Unsaved() }

// SetExcluded implements management.Pooler.
func (o operatorView) SetExcluded(name string, excluded bool) (known bool, err error) {
	isMember := query(o.pooler, func() bool { return o.pooler.core.HasMember(discovery.ID(name)) })
	if !isMember && !o.pooler.exclusions.Has(name) {
		return false, nil
	}
	if err := o.pooler.exclusions.Change(name, excluded); err != nil {
		return true, err
	}
	query(o.pooler, func() struct{} { return struct{}{} }) // returns when the event loop has taken in the change
	return true, nil
}

// query returns what a function finds on the event loop.
func query[T any](p *Pooler, read func() T) T {
	found := make(chan T, 1)
	p.loop.Do(func() { found <- read() })
	return <-found
}
