package agent

import (
	"context"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// lead takes the plan further while this pooler leads the record.
func (d *Agent) lead(ctx context.Context) {
	if d.pooler.Store == nil {
		return
	}
	var l *maintenance.Leader
	self := maintenance.Instance{}
	for ; ctx.Err() == nil; sleep(ctx, look) {
		if !d.pooler.Store.Leads() {
			l = nil
			continue
		}
		if now := d.self(); l == nil || self != now { // it has been taken for gone
			l, self = maintenance.NewLeader(d.manner(now)), now
		}
		r, err := d.whole(ctx)
		if err != nil {
			continue
		}
		s := d.see(r.Plan.Spec.Capacity)
		o := l.Propose(d.pooler.Clock(), wall(), r, s)
		d.ask(o.Probe)
		if o.Resign {
			d.pooler.Log.Info().Msg("works: another is to lead the record, as this pooler is next")
			if err := d.pooler.Store.HandOver(); err != nil {
				d.pooler.Log.Warn().Err(err).Msg("works: nobody takes the lead over")
			}
			continue
		}
		if d.agree(ctx, o, r) {
			for _, call := range o.Calls {
				d.ended.Go(func() { d.hook(ctx, call, self) })
			}
		}
		if !r.Plan.Active() {
			sleep(ctx, idle)
		}
	}
}

func (d *Agent) self() maintenance.Instance {
	return maintenance.Instance{Name: d.pooler.Name, Incarnation: d.pooler.Incarnation()}
}

func (d *Agent) manner(self maintenance.Instance) maintenance.Policy {
	return maintenance.Policy{
		Self: self, Hook: len(d.config.Hook) > 0 || d.config.HookURL != "", HandsOver: len(d.config.HandOver) > 0,
		Calls: d.config.HookCalls, Lease: ms(d.config.LeaseMS), Skew: ms(d.config.SkewMS), Settle: ms(d.config.SettleMS),
	}
}

func (d *Agent) whole(ctx context.Context) (maintenance.Record, error) {
	v, err := d.pooler.Client.Read(ctx, maintenance.KeyPrefix)
	if err != nil {
		return maintenance.Record{}, err
	}
	return parse(v.Values)
}

// agree writes what is to be agreed on, again and again under one id until it is known whether it was; true: it was, or there is
// nothing to write.
func (d *Agent) agree(ctx context.Context, o maintenance.Proposal, r maintenance.Record) bool {
	on, set, deleted := o.Change(r)
	if on == nil {
		return true
	}
	c := store.Change{ID: d.id(), If: on, Set: set, Delete: deleted}
	for ; ctx.Err() == nil; sleep(ctx, pause) {
		outcome, err := d.pooler.Client.Change(ctx, c)
		switch {
		case outcome.Error != "":
			d.pooler.Log.Error().Err(err).Msg("works: cannot be agreed on")
			return false
		case err != nil: // not known yet
			continue
		}
		if outcome.Applied {
			for _, e := range o.History {
				d.pooler.Log.Info().Str("machine", e.Machine).Uint64("number", e.Number).Str("by", e.By).Msg("works: " + e.Text)
			}
		}
		return outcome.Applied
	}
	return false
}
