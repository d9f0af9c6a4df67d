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
	snapshotsName  = "snapshots"
	metaName       = "meta.json"
	temporaryTrail = ".tmp" // of the directory of a snapshot that is being written
)

// snapshotDirectory is raft's snapshots on disk. Raft leaves the directory of a snapshot behind that could not be
// written whole: on a full disk one after the other. Here it is removed.
type snapshotDirectory struct {
	raft.SnapshotStore
	path string

	mu      sync.Mutex // held while one is created
	writing map[string]bool
}

// openSnapshots opens the snapshots in a directory. One of a form that is not known yet is no fault of raft's, which
// passes it over; here it is refused, as what it holds would be missing.
func openSnapshots(dir string, log hclog.Logger) (*snapshotDirectory, error) {
	inner, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, log)
	if err != nil {
		return nil, err
	}
	s := &snapshotDirectory{SnapshotStore: inner, path: filepath.Join(dir, snapshotsName), writing: map[string]bool{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, errors.Join(s.sweep(), s.checkVersions())
}

// sweep removes what is left of snapshots that nobody writes any more; mu is held.
func (s *snapshotDirectory) sweep() error {
	entries, err := os.ReadDir(s.path)
	if err != nil {
		return err
	}
	var failed error
	for _, e := range entries {
		id, temporary := strings.CutSuffix(e.Name(), temporaryTrail)
		if e.IsDir() && temporary && !s.writing[id] {
			failed = errors.Join(failed, os.RemoveAll(filepath.Join(s.path, e.Name())))
		}
	}
	return failed
}

// checkVersions looks for snapshots of a newer form.
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
		return nil, errors.Join(err, s.sweep())
	}
	s.writing[sink.ID()] = true
	return &snapshotSink{SnapshotSink: sink, directory: s}, nil
}

// ended removes what a snapshot leaves that was not written whole.
func (s *snapshotDirectory) ended(id string, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.writing, id)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.sweep())
}

// snapshotSink is a snapshot that is being written.
type snapshotSink struct {
	raft.SnapshotSink
	directory *snapshotDirectory
}

// Close implements raft.SnapshotSink.
func (s *snapshotSink) Close() error { return s.directory.ended(s.ID(), s.SnapshotSink.Close()) }

// Cancel implements raft.SnapshotSink.
func (s *snapshotSink) Cancel() error { return s.directory.ended(s.ID(), s.SnapshotSink.Cancel()) }
