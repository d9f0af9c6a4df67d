package agent

import (
	"context"
	"encoding/json"
	"maps"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// key is where this process's word stands. At an upgrade there are two of a name for a while, and each has to say that it stopped.
func (d *Agent) key() string {
	if d.pooler.Joined() {
		return maintenance.StatusKey(d.pooler.Name)
	}
	return maintenance.StatusKey(d.pooler.Name + second)
}

// second is of the process of a name that is not part of the fleet yet.
const second = "+"

// say keeps this pooler's word in the record as it is.
func (d *Agent) say(ctx context.Context) {
	var said maintenance.PoolerStatus
	var at uint64 // revision at which it was said
	key, stands, first := "", false, true
	for {
		select {
		case <-d.words:
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		w := d.word
		d.mu.Unlock()
		var deleted []string
		if now := d.key(); now != key {
			key, stands, at = now, false, 0
		}
		if d.unsaid.Swap(false) && stands {
			stands, at = false, 0
		}
		if first && d.pooler.Joined() { // its own of before, or that of one that ended without a word
			deleted = []string{maintenance.StatusKey(d.pooler.Name + second)}
		}
		w.Incarnation, w.LeaseMS = d.pooler.Incarnation(), int64(d.config.LeaseMS)
		if stands && w.Incarnation == said.Incarnation && w.Plan == said.Plan && maps.Equal(w.Stopped, said.Stopped) {
			continue
		}
		text, err := json.Marshal(w)
		if err != nil {
			panic(err) // a fault of this program: there is nothing in it that cannot be written
		}
		o, err := d.pooler.Client.Change(ctx, store.Change{ID: d.id(), If: map[string]uint64{key: at}, Set: map[string]json.RawMessage{key: text}, Delete: deleted})
		if stands = err == nil && o.Applied; stands {
			said, at, first = w, o.Revision, first && deleted == nil
			continue
		}
		// It may have been done, or an earlier life's word stands there: the next try is on what does.
		if v, err := d.pooler.Client.Read(ctx, key); err == nil {
			at = v.Values[key].Revision
		}
		sleep(ctx, turn) // Against a busy loop while no majority is there: calls fail at once then.
		d.kick()
	}
}
