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
