package pooler

import (
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/maintenance/agent"
	"capercove/internal/management"
	"capercove/internal/statement"
)

// operator lets the management server at the program.
type operator struct{ p *program }

func (o operator) Figures() core.Figures { return o.p.core.Figures() }

func (o operator) Fleet() any {
	if o.p.fleet == nil {
		return nil
	}
	s := o.p.fleet.State()
	s.Use = o.p.peers.Status()
	return s
}

func (o operator) Works(bears float64) any {
	found := make(chan *agent.Agent, 1)
	o.p.loop.Do(func() { found <- o.p.works })
	if d := <-found; d != nil {
		return d.Overview(bears)
	}
	return nil
}

func (o operator) Statements() *management.Statements {
	found := make(chan *management.Statements, 1)
	o.p.loop.Do(func() {
		r := o.p.intake.Readings()
		if r == nil {
			found <- nil
			return
		}
		most := o.p.limits.ShapesTold
		found <- &management.Statements{Readings: *r, ByCalls: o.p.intake.Top(statement.ByCalls, most),
			ByTime: o.p.intake.Top(statement.ByTime, most), ByDisagreement: o.p.intake.Top(statement.ByDisagreement, most)}
	})
	return <-found
}

func (o operator) BansUnsaved() int { return o.p.bans.Unsaved() }

func (o operator) Ban(name string, banned bool) (known bool, err error) {
	found := make(chan bool)
	o.p.loop.Do(func() { found <- o.p.core.HasMember(discovery.ID(name)) })
	if !<-found && !o.p.bans.Has(name) {
		return false, nil
	}
	if err := o.p.bans.Change(name, banned); err != nil {
		return true, err
	}
	holds := make(chan struct{})
	o.p.loop.Do(func() { close(holds) }) // behind the change
	<-holds
	return true, nil
}
