package agent

import (
	"context"
	"encoding/json"
	"maps"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// watch follows what is agreed, as soon as any store that it reaches knows it.
func (d *Agent) watch(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		after := d.at
		d.mu.Unlock()
		c, err := d.pooler.Client.Watch(ctx, maintenance.FollowedPrefix, after, watches)
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		if d.news(after, c) {
			d.kick()
		} else {
			sleep(ctx, turn)
		}
	}
}

// news takes in what a watch has brought; false: it waits for renew. A plan that is new is read with its lease: what it lists would
// else be kept off until then.
func (d *Agent) news(after uint64, c store.Changes) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Revision <= d.at || after != d.at && !c.Whole { // renew was faster
		return true
	}
	held := maps.Clone(d.held)
	if c.Whole {
		clear(held)
	}
	maps.Copy(held, c.Values)
	for _, key := range c.Deleted {
		delete(held, key)
	}
	if r, err := parse(held); err == nil && r.Plan.Active() && r.Plan.ID != d.record.Plan.ID {
		d.active.Store(true)
		return false
	}
	if d.take(held, c.Revision) {
		d.reader.Observe(d.at, d.record.PlanSteps())
	}
	return true
}

// take takes in what stands under maintenance.Now; mu is held. What cannot be read changes nothing: the lease runs out.
func (d *Agent) take(held map[string]store.Value, revision uint64) bool {
	r, err := parse(held)
	if err != nil {
		if err.Error() != d.broken {
			d.broken = err.Error()
			d.pooler.Log.Error().Err(err).Msg("works: the record cannot be read")
		}
		return false
	}
	d.held, d.at, d.record, d.broken = held, revision, r, ""
	d.active.Store(r.Plan.Active())
	return true
}

func parse(values map[string]store.Value) (maintenance.Record, error) {
	texts, revisions := map[string]json.RawMessage{}, map[string]uint64{}
	for key, v := range values {
		texts[key], revisions[key] = v.Value, v.Revision
	}
	return maintenance.Parse(texts, revisions)
}
