package agent

import (
	"context"
	"encoding/json"
	"maps"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// watch applies changes of the record as soon as a reachable store has them.
func (a *Agent) watch(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		after := a.revision
		a.mu.Unlock()
		changes, err := a.pooler.Client.Watch(ctx, maintenance.FollowedPrefix, after, watchTimeout)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		if a.observeChanges(after, changes) {
			signal(a.wake)
		} else {
			sleep(ctx, activeInterval)
		}
	}
}

// observeChanges applies the changes that a watch returned. It returns false for a new plan, which it leaves to
// renewLease: that applies the plan together with a renewed lease. Until then, the plan's machines would be blocked.
func (a *Agent) observeChanges(after uint64, changes store.Changes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if changes.Revision <= a.revision || after != a.revision && !changes.Complete { // renewLease was faster
		return true
	}
	values := maps.Clone(a.values)
	if changes.Complete {
		clear(values)
	}
	maps.Copy(values, changes.Values)
	for _, key := range changes.Deleted {
		delete(values, key)
	}
	record, err := parse(values)
	if err == nil && record.Plan.Active() && record.Plan.ID != a.record.Plan.ID {
		a.active.Store(true)
		return false
	}
	if a.applyValues(values, changes.Revision) {
		a.follower.Observe(a.revision, a.record.PlanSteps())
	}
	return true
}

// applyValues stores the values under maintenance.FollowedPrefix, and reports whether they can be decoded. Values that
// cannot be decoded change nothing, and the lease is not renewed. The caller must hold mu.
func (a *Agent) applyValues(values map[string]store.Value, revision uint64) bool {
	record, err := parse(values)
	if err != nil {
		if err.Error() != a.decodeError {
			a.decodeError = err.Error()
			a.pooler.Log.Error().Err(err).Msg("maintenance: record not decoded")
		}
		return false
	}
	a.values, a.revision, a.record, a.decodeError = values, revision, record, ""
	a.active.Store(record.Plan.Active())
	return true
}

// parse decodes a record from values of the store.
func parse(values map[string]store.Value) (maintenance.Record, error) {
	texts, revisions := map[string]json.RawMessage{}, map[string]uint64{}
	for key, value := range values {
		texts[key], revisions[key] = value.Value, value.Revision
	}
	return maintenance.Parse(texts, revisions)
}
