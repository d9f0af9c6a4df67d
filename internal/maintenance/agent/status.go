package agent

import (
	"context"
	"encoding/json"
	"maps"

	"capercove/internal/maintenance"
	"capercove/internal/store"
)

// unjoinedSuffix marks the status of a process that has not joined membership under its name yet.
const unjoinedSuffix = "+"

// statusKey returns the key of this process's status. During an upgrade, two processes have the same name, and each has
// to report separately that it has stopped.
func (a *Agent) statusKey() string {
	if a.pooler.Joined() {
		return maintenance.StatusKey(a.pooler.Name)
	}
	return maintenance.StatusKey(a.pooler.Name + unjoinedSuffix)
}

// statusWriter writes this pooler's status to the record whenever it differs from the stored status.
type statusWriter struct {
	agent    *Agent
	key      string                   // key of the last write
	written  maintenance.PoolerStatus // the last status that was written successfully
	revision uint64                   // last known revision of the key; 0: the key does not exist
	stored   bool                     // written is stored under key
	joined   bool                     // the status from before joining has been deleted
}

// reportStatus writes each new status to the record, until the context ends.
func (a *Agent) reportStatus(ctx context.Context) {
	writer := &statusWriter{agent: a}
	for {
		select {
		case <-a.statusReady:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		status := a.status
		a.mu.Unlock()
		status.Incarnation, status.LeaseMS = a.pooler.Incarnation(), int64(a.config.LeaseMS)
		if !writer.write(ctx, status) {
			sleep(ctx, activeInterval) // prevents a busy loop: without a majority, calls fail immediately
			signal(a.wake)
		}
	}
}

// write writes a status unless the record already holds it. It returns false if the status may not have been written.
func (w *statusWriter) write(ctx context.Context, status maintenance.PoolerStatus) bool {
	w.findChanges()
	if w.stored && sameStatus(status, w.written) {
		return true
	}
	text, err := json.Marshal(status)
	if err != nil {
		panic(err) // a bug: all values of a status can be encoded
	}
	change := store.Change{
		ID:  w.agent.changeID(),
		If:  map[string]uint64{w.key: w.revision},
		Set: map[string]json.RawMessage{w.key: text},
	}
	if !w.joined && w.agent.pooler.Joined() { // the status of this process before it joined, or of a crashed process
		change.Delete = []string{maintenance.StatusKey(w.agent.pooler.Name + unjoinedSuffix)}
	}
	outcome, err := w.agent.pooler.Client.Change(ctx, change)
	w.stored = err == nil && outcome.Applied
	if w.stored {
		w.written, w.revision = status, outcome.Revision
		w.joined = w.joined || change.Delete != nil
		return true
	}
	// The write may have been applied, or the key may hold the status of an earlier instance. The next attempt uses the
	// revision that is stored now.
	if read, err := w.agent.pooler.Client.Read(ctx, w.key); err == nil {
		w.revision = read.Values[w.key].Revision
	}
	return false
}

// findChanges detects that the status has to be written again, because its key has changed or it was deleted.
func (w *statusWriter) findChanges() {
	if key := w.agent.statusKey(); key != w.key {
		w.key, w.stored, w.revision = key, false, 0
	}
	if w.agent.statusMissing.Swap(false) && w.stored {
		w.stored, w.revision = false, 0
	}
}

// sameStatus reports whether two statuses are equal, apart from LeaseMS, which does not change while a process runs.
func sameStatus(a, b maintenance.PoolerStatus) bool {
	return a.Incarnation == b.Incarnation && a.Plan == b.Plan && maps.Equal(a.Stopped, b.Stopped)
}
