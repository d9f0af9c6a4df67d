package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"capercove/internal/netretry"
)

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
