package agent

import (
	"context"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// lead advances the plan while this pooler leads the record.
func (a *Agent) lead(ctx context.Context) {
	if a.pooler.Store == nil {
		return
	}
	var leader *maintenance.Leader
	var self maintenance.Instance
	for ; ctx.Err() == nil; sleep(ctx, leaderInterval) {
		if !a.pooler.Store.Leads() {
			leader = nil
			continue
		}
		// The incarnation changes when other poolers suspected this one to be gone, and it refuted the suspicion.
		if now := a.self(); leader == nil || self != now {
			leader, self = maintenance.NewLeader(a.policy(now)), now
		}
		record, err := a.readWholeRecord(ctx)
		if err != nil {
			continue
		}
		if a.leadOnce(ctx, leader, self, record) && !record.Plan.Active() {
			sleep(ctx, idleInterval)
		}
	}
}

// leadOnce makes one proposal, and carries it out after it is agreed on. It returns false if this pooler resigned.
func (a *Agent) leadOnce(
	ctx context.Context, leader *maintenance.Leader, self maintenance.Instance, record maintenance.Record,
) bool {
	observation := a.observe(record.Plan.Spec.Capacity)
	proposal := leader.Propose(a.pooler.Clock(), wallClock(), record, observation)
	a.probe(proposal.Probe)
	if proposal.Resign {
		a.resign()
		return false
	}
	if a.agree(ctx, proposal, record) {
		a.startHooks(ctx, proposal.Calls, self)
	}
	return true
}

// resign transfers the leadership of the record to another pooler, because this one is taken out of service next.
func (a *Agent) resign() {
	a.pooler.Log.Info().Msg("maintenance: handing over leadership, this pooler is next")
	if err := a.pooler.Store.HandOver(); err != nil {
		a.pooler.Log.Warn().Err(err).Msg("maintenance: leadership not handed over")
	}
}

// self returns this pooler with its present incarnation.
func (a *Agent) self() maintenance.Instance {
	return maintenance.Instance{Name: a.pooler.Name, Incarnation: a.pooler.Incarnation()}
}

// policy returns the configuration by which this instance carries out maintenance.
func (a *Agent) policy(self maintenance.Instance) maintenance.Policy {
	return maintenance.Policy{
		Self:      self,
		Hook:      len(a.config.Hook) > 0 || a.config.HookURL != "",
		HandsOver: len(a.config.HandOver) > 0,
		Calls:     a.config.HookCalls,
		Lease:     milliseconds(a.config.LeaseMS),
		Skew:      milliseconds(a.config.SkewMS),
		Settle:    milliseconds(a.config.SettleMS),
	}
}

// readWholeRecord reads the record, including the keys that poolers do not follow.
func (a *Agent) readWholeRecord(ctx context.Context) (maintenance.Record, error) {
	read, err := a.pooler.Client.Read(ctx, maintenance.KeyPrefix)
	if err != nil {
		return maintenance.Record{}, err
	}
	return parse(read.Values)
}

// agree writes a proposal to the record. It retries with the same ID until the outcome is known, or until the context
// ends. It returns true if the change was applied, or if the proposal changes nothing.
func (a *Agent) agree(ctx context.Context, proposal maintenance.Proposal, record maintenance.Record) bool {
	revisions, set, deleted := proposal.Change(record)
	if revisions == nil {
		return true
	}
	change := store.Change{ID: a.changeID(), If: revisions, Set: set, Delete: deleted}
	for ; ctx.Err() == nil; sleep(ctx, retryPause) {
		outcome, err := a.pooler.Client.Change(ctx, change)
		if outcome.Error != "" {
			a.pooler.Log.Error().Err(err).Msg("maintenance: proposal rejected")
			return false
		}
		if err != nil { // the outcome is not known yet
			continue
		}
		if outcome.Applied {
			a.logHistory(proposal.History)
		}
		return outcome.Applied
	}
	return false
}

// logHistory logs new history entries.
func (a *Agent) logHistory(history []maintenance.HistoryEntry) {
	for _, entry := range history {
		a.pooler.Log.Info().Str("machine", entry.Machine).Uint64("number", entry.Number).Str("by", entry.By).
			Msg("maintenance: " + entry.Text)
	}
}
