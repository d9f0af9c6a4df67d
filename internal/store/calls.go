package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Put implements Store.
func (r *replicated) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil || len(text) > r.limits.MaxValueBytes {
		r.log.Error().Err(err).Str("key", key).Int("bytes", len(text)).Msg("store: value not JSON or too long")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, queued := r.waiting[key]; queued || len(r.waiting) < r.limits.MaxKeys { // otherwise the value is dropped
		r.waiting[key] = text
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// All implements Store.
func (r *replicated) All() map[string]json.RawMessage { return r.state.all() }

// IsLeader implements Store.
func (r *replicated) IsLeader() bool { return r.raft.State() == raft.Leader }

// TransferLeadership implements Store.
func (r *replicated) TransferLeadership() error { return r.awaitRaft(r.raft.LeadershipTransfer()) }

// errRaftTimeout is returned for an operation that raft does not complete in time, such as while the disk hangs.
var errRaftTimeout = errors.New("no answer in time")

// awaitRaft waits up to the CallTimeout for the result of an operation of raft. If the disk hangs, the wait for the
// future itself would have no bound.
func (r *replicated) awaitRaft(future raft.Future) error {
	result := make(chan error, 1)
	go func() { result <- future.Error() }()
	expired := time.NewTimer(r.limits.CallTimeout)
	defer expired.Stop()
	select {
	case err := <-result:
		return err
	case <-expired.C:
		return errRaftTimeout
	}
}

// flushLoop stores the values that Put has queued. After a SaveInterval it retries those that could not be stored.
func (r *replicated) flushLoop() {
	defer r.running.Done()
	for {
		select {
		case <-r.done:
			return
		case <-r.wake:
		case <-time.After(r.limits.SaveInterval):
		}
		r.mu.Lock()
		batch := r.waiting
		r.waiting = map[string][]byte{}
		r.mu.Unlock()
		for key, value := range batch {
			if err := r.set(context.Background(), key, value); err != nil {
				r.log.Debug().Err(err).Str("key", key).Msg("store: value not stored, retrying")
				r.requeue(key, value)
			}
		}
	}
}

// requeue queues a value again after a failed attempt to store it, unless a newer one is queued.
func (r *replicated) requeue(key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, newer := r.waiting[key]; !newer {
		r.waiting[key] = value
	}
}

// set stores a value unconditionally.
func (r *replicated) set(ctx context.Context, key string, value []byte) error {
	outcome, err := r.change(ctx, Change{Key: key, Value: value}, true)
	if err == nil && outcome.Error != "" {
		err = errors.New(outcome.Error)
	}
	return err
}

// change applies a change. If this pooler is the leader, it uses raft, otherwise it calls the leader if mayForward.
// After an error the change may have been applied or may be applied later. Repeating it with the same ID is safe.
func (r *replicated) change(ctx context.Context, request Change, mayForward bool) (outcome Outcome, err error) {
	text, err := json.Marshal(request)
	if err != nil {
		return outcome, err
	}
	if r.IsLeader() {
		future := r.raft.Apply(text, r.limits.CallTimeout)
		if err := r.awaitRaft(future); err != nil {
			return outcome, err
		}
		outcome, _ = future.Response().(Outcome)
		return outcome, nil
	}
	err = r.callLeader(ctx, mayForward, changePath, text, &outcome)
	return outcome, err
}

// read is a linearizable read: it returns the values at a moment between the call and its answer. Unlike All it needs
// a majority.
func (r *replicated) read(ctx context.Context, keys []string, mayForward bool) (values Values, err error) {
	if r.IsLeader() {
		// The barrier is committed by a majority. When it returns, this pooler has applied every entry that was
		// committed before the call.
		if err := r.awaitRaft(r.raft.Barrier(r.limits.CallTimeout)); err != nil {
			return values, err
		}
		values.Revision, values.Values = r.state.read(keys)
		return values, nil
	}
	text, err := json.Marshal(keys)
	if err != nil {
		return values, err
	}
	err = r.callLeader(ctx, mayForward, readPath, text, &values)
	return values, err
}

// Values are the values of some keys at a revision of the replicated record.
type Values struct {
	// Revision is the revision of the record.
	Revision uint64 `json:"revision"`
	// Values holds the values by key. Keys that do not exist are omitted.
	Values map[string]Value `json:"values"`
}

// maxLeaderErrorBytes bounds the text of the leader's error that is returned to the caller, in bytes.
const maxLeaderErrorBytes = 300

// callLeader posts a JSON body to a path of the leader's HTTP API and decodes the JSON answer into result. It returns
// an error if mayForward is false or no leader is known.
func (r *replicated) callLeader(ctx context.Context, mayForward bool, path string, body []byte, result any) error {
	_, leader := r.raft.LeaderWithID()
	api := r.apiAddress(leader)
	if api == "" || !mayForward {
		return errors.New("no leader is known")
	}
	timeout := r.limits.CallTimeout
	if path == membersPath { // a new member has to catch up first
		timeout += 2 * r.limits.CatchUpTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+api+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(forwardedHeader, "1")
	response, err := r.peerClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // only read: no data can be lost
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxLeaderErrorBytes))
		return errors.New(strings.TrimSpace(string(reason)))
	}
	return json.NewDecoder(response.Body).Decode(result)
}
