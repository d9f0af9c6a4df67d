package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"capercove/internal/filelock"
)

const (
	entriesWritten = 600
	atSnapshot     = 200 // index of the last entry in the snapshot
)

var quiet = hclog.NewNullLogger()

// entry is the log entry of an index: a change, large enough that the file has pages of all kinds.
func entry(index uint64) *raft.Log {
	text, _ := json.Marshal(Change{Key: fmt.Sprint("k", index), Value: raw(`"` + strings.Repeat("x", int(index%300)) + `"`)})
	return &raft.Log{Index: index, Term: 1 + index/100, Type: raft.LogCommand, Data: text}
}

// written returns a directory as the libraries alone write it, which is what all versions have done.
func written(t *testing.T) string {
	dir := t.TempDir()
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, boltName)})
	require.NoError(t, err)
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, quiet)
	require.NoError(t, err)
	for i := uint64(1); i <= entriesWritten; i += 20 {
		var batch []*raft.Log
		for k := i; k < i+20; k++ {
			batch = append(batch, entry(k))
		}
		require.NoError(t, bolt.StoreLogs(batch))
	}
	require.NoError(t, bolt.SetUint64([]byte(currentTermName), entry(entriesWritten).Term))
	_, memory := raft.NewInmemTransport("")
	sink, err := snapshots.Create(raft.SnapshotVersionMax, atSnapshot, entry(atSnapshot).Term, raft.Configuration{}, 0, memory)
	require.NoError(t, err)
	_, err = sink.Write([]byte(`{}`))
	require.NoError(t, err)
	require.NoError(t, sink.Close())
	require.NoError(t, bolt.DeleteRange(1, atSnapshot/2))
	require.NoError(t, bolt.Close())
	return dir
}

// open opens a directory and compares what it holds with what was written. It returns the error of opening.
func open(t *testing.T, dir string) error {
	t.Helper()
	s, err := openDirectory(dir, time.Second, quiet)
	if err != nil {
		return err
	}
	defer s.close()
	last, err := s.logs.LastIndex()
	require.NoError(t, err)
	require.EqualValues(t, entriesWritten, last)
	for i := uint64(atSnapshot + 1); i <= last; i++ {
		var got raft.Log
		require.NoError(t, s.logs.GetLog(i, &got))
		require.Equal(t, entry(i).Term, got.Term)
	}
	return nil
}

// A directory as earlier versions leave it is read.
func TestOpenWhole(t *testing.T) { require.NoError(t, open(t, written(t))) }

// A file that another process holds is bbolt's timeout, which the start tells the operators apart from a failing disk.
func TestOpenHeldFile(t *testing.T) {
	dir := written(t)
	held, err := filelock.Open(filepath.Join(dir, boltName), 0)
	require.NoError(t, err)
	defer held.Close()
	_, err = openDirectory(dir, 10*time.Millisecond, hclog.NewNullLogger())
	require.ErrorIs(t, err, bbolt.ErrTimeout)
	require.False(t, isTransient(err))
}

// A file that was cut anywhere is refused as damaged, unless nothing is missing.
func TestOpenCutFile(t *testing.T) {
	dir := written(t)
	path := filepath.Join(dir, boltName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	cuts := []int{0, 1, 15, 16, 31, 32, 33, 79, 80, 4095, 4096, 4097, 8192, 3 * 4096, 4*4096 - 1, 4 * 4096}
	for at := 1000; at < len(whole); at += 5000 {
		cuts = append(cuts, at)
	}
	refused := 0
	for _, at := range cuts {
		require.NoError(t, os.WriteFile(path, whole[:at], 0o600))
		if err := open(t, dir); err != nil {
			require.ErrorIs(t, err, ErrDamaged, "cut to %d bytes", at)
			refused++
		}
	}
	require.Greater(t, refused, len(cuts)/2)
}

// A page that was torn ends in a typed error or does no harm, never in a panic or without end.
func TestOpenTornPage(t *testing.T) {
	dir := written(t)
	path := filepath.Join(dir, boltName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	pageSize, refused := os.Getpagesize(), 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 36))
		torn := append([]byte{}, whole...)
		p := random.IntN(len(torn)/pageSize) * pageSize
		from := p + random.IntN(8)*512
		to := min(from+512*(1+random.IntN(8)), p+pageSize)
		switch kind := random.IntN(3); kind {
		case 0: // never written
			clear(torn[from:to])
		case 1: // what another page held
			other := random.IntN(len(torn)/pageSize) * pageSize
			copy(torn[from:to], whole[other+from-p:])
		default: // anything
			for i := from; i < to; i++ {
				torn[i] = byte(random.Uint32())
			}
		}
		require.NoError(t, os.WriteFile(path, torn, 0o600))
		s, err := openDirectory(dir, time.Second, quiet)
		if err != nil {
			require.True(t, errors.Is(err, ErrDamaged) || errors.Is(err, ErrNewer), "seed %d: %v", seed, err)
			refused++
			continue
		}
		require.NoError(t, s.stable.SetUint64([]byte("x"), seed), "seed %d", seed)
		require.NoError(t, s.close())
	}
	require.Greater(t, refused, 50)
}

// What is left of a file that was being created is created anew, as nothing was in it; one of which more is known is
// not.
func TestOpenHalfCreatedFile(t *testing.T) {
	fresh := newBoltFile(os.Getpagesize())
	path := filepath.Join(t.TempDir(), boltName)
	db, err := bbolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Close())
	created, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, created, fresh, "it is the file that bbolt creates")
	for _, at := range []int{0, 1, 79, 4096, 5000, 8192, len(fresh) - 1, len(fresh)} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, boltName), fresh[:at], 0o600))
		s, err := openDirectory(dir, time.Second, quiet)
		require.NoError(t, err, "%d bytes", at)
		require.NoError(t, s.close())
		require.NoError(t, os.WriteFile(filepath.Join(dir, boltName), fresh[:at], 0o600))
		if s, err := openDirectory(dir, time.Second, quiet); at < len(fresh) {
			require.ErrorIs(t, err, ErrDamaged, "%d bytes", at)
		} else {
			require.NoError(t, s.close())
		}
	}
}

// Files of a newer version are refused, and said to be that.
func TestOpenNewerVersion(t *testing.T) {
	t.Run("log", func(t *testing.T) {
		dir := written(t)
		path := filepath.Join(dir, boltName)
		file, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, page := range []int{0, os.Getpagesize()} {
			binary.LittleEndian.PutUint32(file[page+pageHeaderSize+4:], boltVersion+1)
		}
		require.NoError(t, os.WriteFile(path, file, 0o600))
		require.ErrorIs(t, open(t, dir), ErrNewer)
	})
	t.Run("entry", func(t *testing.T) {
		dir := written(t)
		bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, boltName)})
		require.NoError(t, err)
		newer := entry(entriesWritten)
		newer.Type = newestLogEntry + 1
		require.NoError(t, bolt.StoreLog(newer))
		require.NoError(t, bolt.Close())
		require.ErrorIs(t, open(t, dir), ErrNewer)
	})
	t.Run("snapshot", func(t *testing.T) {
		dir := written(t)
		files, err := filepath.Glob(filepath.Join(dir, snapshotsName, "*", metaName))
		require.NoError(t, err)
		text, err := os.ReadFile(files[0])
		require.NoError(t, err)
		text = []byte(strings.Replace(string(text), `"Version":1`, `"Version":2`, 1))
		require.NoError(t, os.WriteFile(files[0], text, 0o600))
		require.ErrorIs(t, open(t, dir), ErrNewer)
	})
}

// A snapshot that was cut is refused where the log does not hold what was in it.
func TestOpenCutSnapshot(t *testing.T) {
	for _, name := range []string{metaName, "state.bin"} {
		dir := written(t)
		files, err := filepath.Glob(filepath.Join(dir, snapshotsName, "*", name))
		require.NoError(t, err)
		require.NoError(t, os.Truncate(files[0], 1))
		require.ErrorIs(t, open(t, dir), ErrDamaged, name)
	}
}

// What is left of a snapshot that was not written whole is removed at the next start, and after a snapshot that failed.
func TestHalfSnapshotsAreRemoved(t *testing.T) {
	dir := written(t)
	half := filepath.Join(dir, snapshotsName, "9-900-1"+temporarySuffix)
	require.NoError(t, os.MkdirAll(half, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(half, "state.bin"), []byte("half"), 0o600))
	require.NoError(t, open(t, dir))
	require.NoDirExists(t, half)

	s, err := openSnapshots(dir, quiet)
	require.NoError(t, err)
	_, memory := raft.NewInmemTransport("")
	create := func() raft.SnapshotSink {
		sink, err := s.Create(raft.SnapshotVersionMax, atSnapshot, 9, raft.Configuration{}, 0, memory)
		require.NoError(t, err)
		return sink
	}
	failing := create()
	path := filepath.Join(dir, snapshotsName, failing.ID()+temporarySuffix)
	require.NoError(t, os.RemoveAll(path)) // so that it cannot be moved into place
	require.NoError(t, os.MkdirAll(filepath.Join(path, metaName), 0o700))
	_, err = io.WriteString(failing, "{}")
	require.NoError(t, err)
	require.Error(t, failing.Close())
	require.NoDirExists(t, path)
}

// A bootstrap that was broken off between its writes is begun again; a member that has voted is none.
func TestBrokenOffBootstrap(t *testing.T) {
	s, err := openDirectory(t.TempDir(), time.Second, quiet)
	require.NoError(t, err)
	defer s.close()
	begun := func() bool {
		begun, err := s.hasHistory()
		require.NoError(t, err)
		return begun
	}
	require.False(t, begun())
	require.NoError(t, s.stable.SetUint64([]byte(currentTermName), 1))
	require.False(t, begun())
	known, err := raft.HasExistingState(s.logs, s.stable, s.snapshots)
	require.NoError(t, err)
	require.False(t, known, "raft bootstraps it")
	require.NoError(t, s.stable.SetUint64([]byte(currentTermName), 1))
	require.NoError(t, s.stable.SetUint64([]byte(lastVoteName), 1))
	require.True(t, begun())
}
