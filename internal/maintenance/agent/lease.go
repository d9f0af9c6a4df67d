package agent

import (
	"context"

	"capercove/internal/maintenance"
)

// renew renews the lease while there is a plan, and reads the record for the first time.
func (d *Agent) renew(ctx context.Context) {
	known, failing := false, false
	for ctx.Err() == nil {
		if known && !d.active.Load() {
			sleep(ctx, turn)
			continue
		}
		asked := d.pooler.Clock()
		key := d.key()
		v, err := d.pooler.Client.Read(ctx, maintenance.FollowedPrefix, key)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			d.pooler.Log.Warn().Bool("failing", failing).Err(err).Msg("works: reading the record")
		}
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		if _, stands := v.Values[key]; !stands { // Against a word that was taken back while this pooler was taken for gone.
			d.unsaid.Store(true)
		}
		delete(v.Values, key)
		d.mu.Lock()
		if v.Revision < d.at || d.take(v.Values, v.Revision) {
			d.reader.Refresh(asked, d.at, d.record.PlanSteps())
			known = true
		}
		d.mu.Unlock()
		d.kick()
		sleep(ctx, ms(d.config.LeaseMS)/renewals)
	}
}
