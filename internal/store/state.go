package store

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// state is the record as the log has led to it here. It implements raft.FSM.
type state struct {
	mu      sync.Mutex
	record  *record
	changed chan struct{} // closed at the next change
}

// notify wakes those that watch; mu is held.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) since(after uint64, name string) (Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.since(after, name), s.changed
}

func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.revision
}

// all are the values alone.
func (s *state) all() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]json.RawMessage, len(s.record.values))
	for key, v := range s.record.values {
		values[key] = v.Value
	}
	return values
}

func (s *state) read(names []string) (revision uint64, values map[string]Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.revision, s.record.read(names)
}

func (s *state) Apply(entry *raft.Log) any {
	var c Change
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return Outcome{Error: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.record.revision
	o := s.record.apply(c)
	if s.record.revision != before {
		s.notify()
	}
	return o
}

func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot(s.record.save()), nil
}

func (s *state) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	return s.record.restore(text)
}

type snapshot saved

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(saved(s)); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (snapshot) Release() {}
