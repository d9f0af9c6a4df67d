package agent

import (
	"context"

	"capercove/internal/maintenance"
)

// renewLease reads the record until it has succeeded once, and then renews the lease while there is a plan.
func (a *Agent) renewLease(ctx context.Context) {
	known, failing := false, false
	for ctx.Err() == nil {
		if known && !a.active.Load() {
			sleep(ctx, activeInterval)
			continue
		}
		renewed, err := a.readRecord(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			a.pooler.Log.Warn().Bool("failing", failing).Err(err).Msg("maintenance: reading the record")
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		known = known || renewed
		signal(a.wake)
		sleep(ctx, milliseconds(a.config.LeaseMS)/readsPerLease)
	}
}

// readRecord reads the record and reports whether the read renewed the lease.
func (a *Agent) readRecord(ctx context.Context) (renewed bool, err error) {
	requestedAt := a.pooler.Clock()
	statusKey := a.statusKey()
	read, err := a.pooler.Client.Read(ctx, maintenance.FollowedPrefix, statusKey)
	if err != nil {
		return false, err
	}
	if _, stored := read.Values[statusKey]; !stored { // It was deleted while this pooler was considered gone.
		a.statusMissing.Store(true)
	}
	delete(read.Values, statusKey)
	a.mu.Lock()
	defer a.mu.Unlock()
	if read.Revision >= a.revision && !a.applyValues(read.Values, read.Revision) {
		return false, nil
	}
	a.follower.Refresh(requestedAt, a.revision, a.record.PlanSteps())
	return true, nil
}
