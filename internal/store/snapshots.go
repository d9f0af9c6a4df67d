package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	snapshotsName   = "snapshots"
	metaName        = "meta.json"
	temporarySuffix = ".tmp" // suffix of the directory of a snapshot that is being written
)

// snapshotDirectory stores raft's snapshots on disk. Raft's snapshot store does not remove the directory of a snapshot
// that could not be written completely. On a full disk such directories would accumulate: snapshotDirectory removes
// them.
type snapshotDirectory struct {
	raft.SnapshotStore
	path string

	mu      sync.Mutex      // locked while a snapshot is created
	writing map[string]bool // snapshots that are being written, by ID
}

// openSnapshots opens the snapshots in a directory. It returns ErrNewer for a snapshot of an unknown version: raft
// would ignore the snapshot, and the store would start without its content.
func openSnapshots(dir string, log hclog.Logger) (*snapshotDirectory, error) {
	inner, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, log)
	if err != nil {
		return nil, err
	}
	s := &snapshotDirectory{SnapshotStore: inner, path: filepath.Join(dir, snapshotsName), writing: map[string]bool{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, errors.Join(s.removePartial(), s.checkVersions())
}

// removePartial removes incomplete snapshots that are no longer being written. The caller must hold mu.
func (s *snapshotDirectory) removePartial() error {
	entries, err := os.ReadDir(s.path)
	if err != nil {
		return err
	}
	var failures error
	for _, entry := range entries {
		id, temporary := strings.CutSuffix(entry.Name(), temporarySuffix)
		if entry.IsDir() && temporary && !s.writing[id] {
			failures = errors.Join(failures, os.RemoveAll(filepath.Join(s.path, entry.Name())))
		}
	}
	return failures
}

// checkVersions returns ErrNewer if there is a snapshot of an unknown version.
func (s *snapshotDirectory) checkVersions() error {
	files, err := filepath.Glob(filepath.Join(s.path, "*", metaName))
	if err != nil {
		return err
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var meta struct{ Version raft.SnapshotVersion }
		if json.Unmarshal(text, &meta) == nil && meta.Version > raft.SnapshotVersionMax {
			return fmt.Errorf("%s: version %d, %d is known: %w", path, meta.Version, raft.SnapshotVersionMax, ErrNewer)
		}
	}
	return nil
}

// Create implements raft.SnapshotStore.
func (s *snapshotDirectory) Create(version raft.SnapshotVersion, index, term uint64, configuration raft.Configuration,
	configurationIndex uint64, transport raft.Transport,
) (raft.SnapshotSink, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sink, err := s.SnapshotStore.Create(version, index, term, configuration, configurationIndex, transport)
	if err != nil {
		return nil, errors.Join(err, s.removePartial())
	}
	s.writing[sink.ID()] = true
	return &snapshotSink{SnapshotSink: sink, directory: s}, nil
}

// finish records that a snapshot is no longer being written. If the write failed with err, it removes the incomplete
// snapshot. It returns err, joined with errors of the removal.
func (s *snapshotDirectory) finish(id string, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.writing, id)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.removePartial())
}

// snapshotSink is a snapshot that is being written.
type snapshotSink struct {
	raft.SnapshotSink
	directory *snapshotDirectory
}

// Close implements raft.SnapshotSink.
func (s *snapshotSink) Close() error { return s.directory.finish(s.ID(), s.SnapshotSink.Close()) }

// Cancel implements raft.SnapshotSink.
func (s *snapshotSink) Cancel() error { return s.directory.finish(s.ID(), s.SnapshotSink.Cancel()) }
