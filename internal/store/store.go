// Package store replicates the poolers' configuration and state among them, for operators to read. It is never
// on a request's path nor an input of a decision: poolers decide without it, and without peers.
package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"

	"capercove/internal/limits"
	"capercove/internal/netretry"
)

// Store holds JSON values by key.
type Store interface {
	// Leads tells whether this pooler leads the others, as far as it knows: a majority may have chosen another a moment ago.
	Leads() bool
	// HandOver lets another lead.
	HandOver() error
	// Put stores a value in the background. A later value under the key replaces one that is still waiting.
	Put(key string, value any)
	// All returns what this pooler knows of all of them.
	All() map[string]json.RawMessage
	Close()
}

// replicated is a Store on raft.
type replicated struct {
	config Config
	limits limits.Limits
	log    zerolog.Logger
	raft   *raft.Raft
	name   string
	apis   map[raft.ServerID]string // by the file; api knows those of members that came later
	http   *http.Server
	caller *http.Client                         // of the one that leads
	open   func(hclog.Logger) (*storage, error) // what is on disk
	close  func() error                         // ... again
	state  state

	membership sync.Mutex // one change of members at a time

	mu      sync.Mutex
	waiting map[string][]byte
	wake    chan struct{}
	done    chan struct{}
	ended   sync.WaitGroup
}

// newReplicated is a store that has not begun: it keeps what is put until then.
func newReplicated(cfg Config, name string, l limits.Limits, log zerolog.Logger) *replicated {
	r := &replicated{
		config: cfg, name: name, limits: l, log: log, apis: map[raft.ServerID]string{}, caller: caller(nil),
		waiting: map[string][]byte{}, wake: make(chan struct{}, 1), done: make(chan struct{}),
		state: state{
			record:  newRecord(recordBounds{keys: l.StoreKeys, value: l.StoreValue, window: l.StoreWindow}),
			changed: make(chan struct{}),
		},
	}
	r.open = r.openDirectory
	return r
}

// begin opens the directory, joins the peers and serves calls. It can be called again after an error.
func (r *replicated) begin() (err error) {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(r.name)
	settings.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: r.log})
	disk := inMemory()
	if r.config.Dir != "" {
		if disk, err = r.open(settings.Logger); err != nil {
			return fmt.Errorf("store: dir: %w", err)
		}
	}
	var ends []func() error // what was opened, the last first
	defer func() {
		if err != nil {
			for _, end := range ends {
				end()
			}
		}
	}()
	ends = append(ends, disk.close)
	transport, servers, err := r.connect(settings)
	if err != nil {
		return fmt.Errorf("store: listen: %w", err)
	}
	if closer, closes := transport.(raft.WithClose); closes {
		ends = append([]func() error{closer.Close}, ends...)
	}
	begun, err := disk.begun()
	if err != nil {
		return fmt.Errorf("store: dir: %w", err)
	}
	if !begun && !r.config.Join { // All peers begin with the same list, so it does not matter which is first.
		err := raft.BootstrapCluster(settings, disk.logs, disk.stable, disk.snapshots, transport, raft.Configuration{Servers: servers})
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	if r.config.Dir != "" {
		disk.endure(persistence{log: r.log, again: r.limits.StoreEvery / writesAgain, done: r.done}, r.limits.StoreWait)
	}
	member, err := raft.NewRaft(settings, &r.state, disk.logs, disk.stable, disk.snapshots, transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r.raft, r.close = member, disk.close
	if err := r.serve(cmp.Or(r.config.APIBind, r.config.API)); err != nil {
		r.await(member.Shutdown())
		return err
	}
	r.ended.Add(1)
	go r.forward()
	return nil
}

// writesAgain is how often within StoreEvery a write is tried again that must not fail.
const writesAgain = 10

// openDirectory opens the files on disk.
func (r *replicated) openDirectory(log hclog.Logger) (*storage, error) {
	// Against a start that hangs for ever: at an upgrade the process before may hold the file, and go on holding it until this one
	// is ready.
	disk, err := openDirectory(r.config.Dir, r.limits.StoreCatchUp, log)
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s is held by another process, such as the one before this at an upgrade: it has to end first", r.config.Dir)
	}
	return disk, err
}

// connect returns the way to the peers, and who they are.
func (r *replicated) connect(settings *raft.Config) (raft.Transport, []raft.Server, error) {
	if len(r.config.Peers) == 0 {
		address, memory := raft.NewInmemTransport("")
		return memory, []raft.Server{{ID: settings.LocalID, Address: address}}, nil
	}
	stream, err := listen(cmp.Or(r.config.Bind, r.config.Listen), r.config.Listen)
	if err != nil {
		return nil, nil, err
	}
	r.caller = caller(stream.own.IP)
	var servers []raft.Server
	for _, p := range r.config.Peers {
		r.apis[raft.ServerID(p.Name)] = p.API
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Listen)})
	}
	return raft.NewNetworkTransportWithLogger(stream, connectionsKept, r.limits.StoreWait, settings.Logger), servers, nil
}

// connectionsKept is how many idle connections to each peer are kept.
const connectionsKept = 2

// Put implements Store.
func (r *replicated) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil || len(text) > r.limits.StoreValue {
		r.log.Error().Err(err).Str("key", key).Int("bytes", len(text)).Msg("store: not a value")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.waiting[key]; known || len(r.waiting) < r.limits.StoreKeys { // Against an endless queue.
		r.waiting[key] = text
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *replicated) All() map[string]json.RawMessage { return r.state.all() }

func (r *replicated) Leads() bool { return r.raft.State() == raft.Leader }

func (r *replicated) HandOver() error { return r.await(r.raft.LeadershipTransfer()) }

// errNoAnswer is of a call that raft has not answered in time, as it waits for the disk.
var errNoAnswer = errors.New("no answer in time")

// await waits for what raft does, for a bounded time: its own futures wait for a disk that hangs without end.
func (r *replicated) await(f raft.Future) error {
	ended := make(chan error, 1)
	go func() { ended <- f.Error() }()
	over := time.NewTimer(r.limits.StoreWait)
	defer over.Stop()
	select {
	case err := <-ended:
		return err
	case <-over.C:
		return errNoAnswer
	}
}

// Close implements Store. It takes a few times StoreWait at the most, whatever the disk does.
func (r *replicated) Close() {
	close(r.done)
	r.ended.Wait()
	// Against a time without a leader at a planned stop.
	if r.Leads() && len(r.raft.GetConfiguration().Configuration().Servers) > 1 {
		if err := r.HandOver(); err != nil {
			r.log.Warn().Err(err).Msg("store: nobody takes the lead over")
		}
	}
	if r.http != nil {
		r.http.Close()
	}
	switch err := r.await(r.raft.Shutdown()); {
	case errors.Is(err, errNoAnswer): // Against a disk that takes nothing: raft waits for it.
		r.log.Warn().Msg("store: it does not end")
		return
	case err != nil:
		r.log.Warn().Err(err).Msg("store: end")
	}
	r.close()
}

// forward stores what waits, and tries again later what could not be stored.
func (r *replicated) forward() {
	defer r.ended.Done()
	for {
		select {
		case <-r.done:
			return
		case <-r.wake:
		case <-time.After(r.limits.StoreEvery):
		}
		r.mu.Lock()
		batch := r.waiting
		r.waiting = map[string][]byte{}
		r.mu.Unlock()
		for key, value := range batch {
			if err := r.set(key, value); err != nil {
				r.log.Debug().Err(err).Str("key", key).Msg("store: not now")
				r.mu.Lock()
				if _, newer := r.waiting[key]; !newer {
					r.waiting[key] = value
				}
				r.mu.Unlock()
			}
		}
	}
}

// set stores a value without condition.
func (r *replicated) set(key string, value []byte) error {
	o, err := r.change(Change{Key: key, Value: value}, true)
	if err == nil && o.Error != "" {
		err = errors.New(o.Error)
	}
	return err
}

// change applies a change: here if this pooler leads, or else, if it may, through the one that does. After an error it may have been
// applied or not, or may be yet: the same again, under the same id, tells.
func (r *replicated) change(c Change, may bool) (o Outcome, err error) {
	text, err := json.Marshal(c)
	if err != nil {
		return o, err
	}
	if r.Leads() {
		f := r.raft.Apply(text, r.limits.StoreWait)
		if err := r.await(f); err != nil {
			return o, err
		}
		o, _ = f.Response().(Outcome)
		return o, nil
	}
	err = r.leader(may, "/v1/change", text, &o)
	return o, err
}

// read returns values as of a moment between the call and its answer (linearizable). Unlike All it needs a majority.
func (r *replicated) read(keys []string, may bool) (a Values, err error) {
	if r.Leads() {
		// A majority has taken the barrier in behind all that was agreed on before the call, and this pooler has applied it.
		if err := r.await(r.raft.Barrier(r.limits.StoreWait)); err != nil {
			return a, err
		}
		a.Revision, a.Values = r.state.read(keys)
		return a, nil
	}
	text, err := json.Marshal(keys)
	if err != nil {
		return a, err
	}
	err = r.leader(may, "/v1/read", text, &a)
	return a, err
}

// Values are what stood under some keys at a revision of the record.
type Values struct {
	Revision uint64           `json:"revision"`
	Values   map[string]Value `json:"values"`
}

// leader asks the pooler that leads.
func (r *replicated) leader(may bool, path string, body []byte, into any) error {
	_, leader := r.raft.LeaderWithID()
	api := r.api(leader)
	if api == "" || !may {
		return errors.New("no leader is known")
	}
	wait := r.limits.StoreWait
	if path == "/v1/members" {
		wait += 2 * r.limits.StoreCatchUp
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+api+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(forwarded, "1")
	answer, err := r.caller.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(answer.Body, 300))
		return errors.New(strings.TrimSpace(string(why)))
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// forwarded marks a change that has been passed on once. Against two poolers that take each other for the leader.
const forwarded = "Capercove-Forwarded"

func (r *replicated) serve(addr string) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("store: api: %w", err)
	}
	r.serveOn(l)
	return nil
}

// serveOn answers calls on a listener until Close. An accept that fails does not end it.
func (r *replicated) serveOn(l net.Listener) {
	begun := time.Now()
	accepts := netretry.NewFailures("store: accept", r.limits.LogEvery, r.log, func() time.Duration { return time.Since(begun) })
	l = netretry.NewListener(l, netretry.BackoffOf(r.limits), accepts)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/store", func(w http.ResponseWriter, _ *http.Request) {
		r.stamp(w)
		json.NewEncoder(w).Encode(r.All())
	})
	mux.HandleFunc("GET /v1/store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		value, ok := r.All()[q.PathValue("key")]
		if !ok {
			http.NotFound(w, q)
			return
		}
		r.stamp(w)
		w.Write(value)
	})
	mux.HandleFunc("PUT /v1/store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(r.limits.StoreValue)))
		if err != nil || !json.Valid(value) {
			http.Error(w, "the value is not JSON, or too long", http.StatusBadRequest)
			return
		}
		if err := r.set(q.PathValue("key"), value); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /v1/change", func(w http.ResponseWriter, q *http.Request) {
		var c Change
		if !r.body(w, q, &c) {
			return
		}
		o, err := r.change(c, q.Header.Get(forwarded) == "")
		reply(w, o, err)
	})
	mux.HandleFunc("POST /v1/read", func(w http.ResponseWriter, q *http.Request) {
		var keys []string
		if !r.body(w, q, &keys) {
			return
		}
		a, err := r.read(keys, q.Header.Get(forwarded) == "")
		reply(w, a, err)
	})
	mux.HandleFunc("GET /v1/watch", r.watch)
	r.serveMembers(mux)
	r.http = &http.Server{Handler: mux, ReadHeaderTimeout: r.limits.StoreWait}
	go r.http.Serve(l) // it ends with Close alone
}

// watch answers what has become of the keys of a name since a revision, as this pooler has it, once there is something, or after the
// time that the caller waits.
func (r *replicated) watch(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(q.FormValue("after"), "0"), 10, 64)
	wait, bad := strconv.ParseUint(cmp.Or(q.FormValue("wait_ms"), "0"), 10, 31)
	if err != nil || bad != nil {
		http.Error(w, "after is a revision, and wait_ms a time", http.StatusBadRequest)
		return
	}
	over := time.NewTimer(min(time.Duration(wait)*time.Millisecond, r.limits.StoreWatch))
	defer over.Stop()
	for {
		c, next := r.state.since(after, q.FormValue("name"))
		if len(c.Values)+len(c.Deleted) > 0 || c.Whole {
			next = nil
		}
		if next != nil {
			select {
			case <-next:
				continue
			case <-over.C:
			case <-q.Context().Done():
				return
			case <-r.done:
			}
		}
		r.stamp(w)
		reply(w, c, nil)
		return
	}
}

// stamp says how old what this pooler has at hand may be: so long ago a leader was last heard. A leader that has been cut off takes
// itself for one for half a second more.
func (r *replicated) stamp(w http.ResponseWriter) {
	w.Header().Set("Capercove-Revision", strconv.FormatUint(r.state.revision(), 10))
	if r.Leads() {
		w.Header().Set("Capercove-Age-Ms", "0")
	} else if at := r.raft.LastContact(); !at.IsZero() {
		w.Header().Set("Capercove-Age-Ms", strconv.FormatInt(time.Since(at).Milliseconds(), 10))
	}
}

// body reads a call's JSON; it answers what is none.
func (r *replicated) body(w http.ResponseWriter, q *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, q.Body, int64(4*r.limits.StoreValue)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "not a call: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply answers a call. After 503 it is not known whether a change was applied.
func reply(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

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
