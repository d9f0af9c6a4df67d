package store

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// state is this pooler's copy of the replicated record. It implements raft.FSM and is safe for concurrent use.
type state struct {
	mu      sync.Mutex
	record  *record
	changed chan struct{} // closed and replaced at the next change
}

// notify wakes the calls that wait for a change. The caller must hold mu.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of the keys that match a name, after a revision, and a channel that is closed at the next
// change.
func (s *state) since(after uint64, name string) (Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.since(after, name), s.changed
}

// revision returns the record's revision.
func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.revision
}

// all returns all values by key, without their revisions.
func (s *state) all() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]json.RawMessage, len(s.record.values))
	for key, value := range s.record.values {
		values[key] = value.Value
	}
	return values
}

// read returns the record's revision and the values of the keys that match any of the names.
func (s *state) read(names []string) (revision uint64, values map[string]Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.revision, s.record.read(names)
}

// Apply implements raft.FSM. Its result is an Outcome.
func (s *state) Apply(entry *raft.Log) any {
	var request Change
	if err := json.Unmarshal(entry.Data, &request); err != nil {
		return Outcome{Error: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.record.revision
	outcome := s.record.apply(request)
	if s.record.revision != before {
		s.notify()
	}
	return outcome
}

// Snapshot implements raft.FSM.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fsmSnapshot(s.record.snapshot()), nil
}

// Restore implements raft.FSM.
func (s *state) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // only read: no data can be lost
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.record.restore(text)
}

// fsmSnapshot is a copy of the record that raft writes to disk. It implements raft.FSMSnapshot.
type fsmSnapshot snapshotData

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(snapshotData(s)); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (fsmSnapshot) Release() {}
