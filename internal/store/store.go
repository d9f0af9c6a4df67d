// Package store replicates the poolers' configuration and state among them by raft, and serves them to operators over
// HTTP. It is neither on the path of a request nor an input of routing decisions: poolers serve requests without the
// store, and a store works without peers.
package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"

	"capercove/internal/limits"
)

// Store is a replicated store of JSON values by key.
type Store interface {
	// IsLeader reports whether this pooler considers itself the leader. A majority may just have elected another one.
	IsLeader() bool
	// TransferLeadership transfers the leadership to another member.
	TransferLeadership() error
	// Put stores a value in the background. A later value for the key replaces a queued one. Values that cannot be
	// encoded as JSON or are too long are logged and dropped.
	Put(key string, value any)
	// All returns all values of this pooler's copy, by key. They may be stale.
	All() map[string]json.RawMessage
	// Close transfers the leadership, if this pooler is the leader, and ends the store. Its time is bounded even if the
	// disk hangs.
	Close()
}

// replicated is a Store that is a member of a raft cluster.
type replicated struct {
	config     Config
	limits     limits.Store
	log        zerolog.Logger
	raft       *raft.Raft
	name       string
	apis       map[raft.ServerID]string // HTTP API addresses in the configuration; see apiAddress
	http       *http.Server
	peerClient *http.Client                         // calls the HTTP API of other members
	open       func(hclog.Logger) (*storage, error) // opens the files of Config.Dir
	closeFiles func() error                         // closes the files that open has opened
	state      state

	memberChanges sync.Mutex // serializes changes of members

	mu      sync.Mutex
	waiting map[string][]byte // values of Put that are not stored yet, as JSON by key
	wake    chan struct{}     // signals flushLoop that values are waiting
	done    chan struct{}     // closed by Close
	running sync.WaitGroup    // counts flushLoop
}

// newReplicated returns a store that is not started. Until begin succeeds, values of Put are queued.
func newReplicated(cfg Config, name string, bounds limits.Store, log zerolog.Logger) *replicated {
	store := &replicated{
		config:     cfg,
		name:       name,
		limits:     bounds,
		log:        log,
		apis:       map[raft.ServerID]string{},
		peerClient: newHTTPClient(nil),
		waiting:    map[string][]byte{},
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		state: state{
			record: newRecord(recordBounds{
				keys:   bounds.MaxKeys,
				value:  bounds.MaxValueBytes,
				window: bounds.MaxChangeIDs,
			}),
			changed: make(chan struct{}),
		},
	}
	store.open = store.openDirectory
	return store
}

// begin opens the files, joins the peers and serves the HTTP API. It may be called again after an error.
func (r *replicated) begin() (err error) {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(r.name)
	settings.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: r.log})
	files := newMemoryStorage()
	if r.config.Dir != "" {
		if files, err = r.open(settings.Logger); err != nil {
			return fmt.Errorf("store: dir: %w", err)
		}
	}
	var cleanups []func() error // the latest first
	defer func() {
		if err != nil {
			for _, cleanup := range cleanups {
				_ = cleanup() // err is the error to report
			}
		}
	}()
	cleanups = append(cleanups, files.close)
	transport, servers, err := r.newTransport(settings)
	if err != nil {
		return fmt.Errorf("store: listen: %w", err)
	}
	if closer, ok := transport.(raft.WithClose); ok {
		cleanups = append([]func() error{closer.Close}, cleanups...)
	}
	hasHistory, err := files.hasHistory()
	if err != nil {
		return fmt.Errorf("store: dir: %w", err)
	}
	if !hasHistory && !r.config.Join { // every peer bootstraps with the same list, in any order
		initial := raft.Configuration{Servers: servers}
		err := raft.BootstrapCluster(settings, files.logs, files.stable, files.snapshots, transport, initial)
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	if r.config.Dir != "" {
		retrier := writeRetrier{log: r.log, interval: r.limits.SaveInterval / writeRetries, done: r.done}
		files.tolerateFailures(retrier, r.limits.CallTimeout)
	}
	member, err := raft.NewRaft(settings, &r.state, files.logs, files.stable, files.snapshots, transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r.raft, r.closeFiles = member, files.close
	if err := r.serve(cmp.Or(r.config.APIBind, r.config.API)); err != nil {
		_ = r.awaitRaft(member.Shutdown()) // err is the error to report
		return err
	}
	r.running.Add(1)
	go r.flushLoop()
	return nil
}

// writeRetries is the number of times that a write that must not fail is retried within a SaveInterval.
const writeRetries = 10

// openDirectory opens the files of Config.Dir. It waits for their lock up to the CatchUpTimeout: during an upgrade the
// previous process may hold the lock until this one is ready.
func (r *replicated) openDirectory(log hclog.Logger) (*storage, error) {
	files, err := openDirectory(r.config.Dir, r.limits.CatchUpTimeout, log)
	if errors.Is(err, bbolt.ErrTimeout) {
		const format = "%s is locked by another process, such as the previous one during an upgrade: it must exit first"
		return nil, fmt.Errorf(format, r.config.Dir)
	}
	return files, err
}

// newTransport returns the transport to the peers and the initial list of members.
func (r *replicated) newTransport(settings *raft.Config) (raft.Transport, []raft.Server, error) {
	if len(r.config.Peers) == 0 {
		address, memory := raft.NewInmemTransport("")
		return memory, []raft.Server{{ID: settings.LocalID, Address: address}}, nil
	}
	stream, err := listen(cmp.Or(r.config.Bind, r.config.Listen), r.config.Listen)
	if err != nil {
		return nil, nil, err
	}
	r.peerClient = newHTTPClient(stream.source.IP)
	var servers []raft.Server
	for _, peer := range r.config.Peers {
		id := raft.ServerID(peer.Name)
		r.apis[id] = peer.API
		servers = append(servers, raft.Server{ID: id, Address: raft.ServerAddress(peer.Listen)})
	}
	transport := raft.NewNetworkTransportWithLogger(stream, idleConnections, r.limits.CallTimeout, settings.Logger)
	return transport, servers, nil
}

// idleConnections is the number of idle connections to each peer that raft keeps open.
const idleConnections = 2

// Close implements Store. It takes at most a few times the CallTimeout.
func (r *replicated) Close() {
	close(r.done)
	r.running.Wait()
	// Without a transfer the cluster would have no leader until the next election.
	if r.IsLeader() && len(r.raft.GetConfiguration().Configuration().Servers) > 1 {
		if err := r.TransferLeadership(); err != nil {
			r.log.Warn().Err(err).Msg("store: leadership not handed over")
		}
	}
	if r.http != nil {
		_ = r.http.Close() // the connections are not used any more
	}
	switch err := r.awaitRaft(r.raft.Shutdown()); {
	case errors.Is(err, errRaftTimeout): // raft still uses the files: they cannot be closed
		r.log.Warn().Msg("store: raft did not shut down in time")
		return
	case err != nil:
		r.log.Warn().Err(err).Msg("store: raft failed to shut down")
	}
	if err := r.closeFiles(); err != nil {
		r.log.Warn().Err(err).Msg("store: failed to close files")
	}
}
