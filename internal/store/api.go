package store

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"capercove/internal/netretry"
)

// Paths of the HTTP API that poolers and clients call.
const (
	changePath  = "/v1/change"
	readPath    = "/v1/read"
	watchPath   = "/v1/watch"
	membersPath = "/v1/members"
)

const (
	// forwardedHeader marks a call that has been forwarded to the leader. It is not forwarded again: two poolers may
	// each consider the other the leader.
	forwardedHeader = "Capercove-Forwarded"
	// revisionHeader holds the revision of the values in a response.
	revisionHeader = "Capercove-Revision"
	// ageHeader holds the time since this pooler's last contact with a leader, in milliseconds. The values in the
	// response may be that old.
	ageHeader = "Capercove-Age-Ms"
)

// maxBodyValues bounds the body of a call, as a multiple of MaxValueBytes.
const maxBodyValues = 4

// serve starts the HTTP API at an address. If the address is empty, there is no HTTP API.
func (r *replicated) serve(addr string) error {
	if addr == "" {
		return nil
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("store: api: %w", err)
	}
	r.serveOn(listener)
	return nil
}

// maxHeaderBytes bounds the request line and headers of a request.
const maxHeaderBytes = 16 << 10

// serveOn serves the HTTP API on a listener until Close. It retries after errors of accept.
func (r *replicated) serveOn(listener net.Listener) {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	failures := netretry.NewFailures("store: accept", r.limits.LogInterval, r.log, clock)
	listener = netretry.NewListener(listener, netretry.NewBackoff(r.limits.Retry), failures)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/store", r.getAll)
	mux.HandleFunc("GET /v1/store/{key...}", r.getValue)
	mux.HandleFunc("PUT /v1/store/{key...}", r.putValue)
	mux.HandleFunc("POST "+changePath, r.postChange)
	mux.HandleFunc("POST "+readPath, r.postRead)
	mux.HandleFunc("GET "+watchPath, r.watch)
	mux.HandleFunc("GET "+membersPath, r.getMembers)
	mux.HandleFunc("POST "+membersPath, r.postMembers)
	r.http = &http.Server{Handler: mux, ReadHeaderTimeout: r.limits.CallTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = r.http.Serve(listener) }() // returns only after Close
}

// getAll answers with all values of this pooler's copy of the record, which may be stale.
func (r *replicated) getAll(w http.ResponseWriter, _ *http.Request) {
	r.writeAge(w)
	_ = json.NewEncoder(w).Encode(r.All()) // fails if the caller has disconnected
}

// getValue answers with the value of a key in this pooler's copy of the record, which may be stale.
func (r *replicated) getValue(w http.ResponseWriter, request *http.Request) {
	value, ok := r.All()[request.PathValue("key")]
	if !ok {
		http.NotFound(w, request)
		return
	}
	r.writeAge(w)
	_, _ = w.Write(value) // fails if the caller has disconnected
}

// putValue stores the value of a key unconditionally.
func (r *replicated) putValue(w http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, request.Body, int64(r.limits.MaxValueBytes)))
	if err != nil || !json.Valid(value) {
		http.Error(w, "the value is not JSON, or too long", http.StatusBadRequest)
		return
	}
	if err := r.set(context.WithoutCancel(request.Context()), request.PathValue("key"), value); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// postChange applies a Change. Like all calls that go to raft or to the leader, it is not canceled if the caller
// disconnects.
func (r *replicated) postChange(w http.ResponseWriter, request *http.Request) {
	var change Change
	if !r.readBody(w, request, &change) {
		return
	}
	outcome, err := r.change(context.WithoutCancel(request.Context()), change, mayForward(request))
	writeReply(w, outcome, err)
}

// postRead answers with the result of a linearizable read of the keys in the body.
func (r *replicated) postRead(w http.ResponseWriter, request *http.Request) {
	var keys []string
	if !r.readBody(w, request, &keys) {
		return
	}
	values, err := r.read(context.WithoutCancel(request.Context()), keys, mayForward(request))
	writeReply(w, values, err)
}

// mayForward reports whether a call may be forwarded to the leader: it must not have been forwarded already.
func mayForward(request *http.Request) bool { return request.Header.Get(forwardedHeader) == "" }

// watch answers with the changes of the keys that match a name, after the revision that the caller gives. It waits for
// a change, up to the caller's wait_ms and at most the WatchTimeout.
func (r *replicated) watch(response http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(request.FormValue("after"), "0"), 10, 64)
	wait, waitErr := strconv.ParseUint(cmp.Or(request.FormValue("wait_ms"), "0"), 10, 31)
	if err != nil || waitErr != nil {
		http.Error(response, "after is a revision, and wait_ms a time", http.StatusBadRequest)
		return
	}
	expired := time.NewTimer(min(time.Duration(wait)*time.Millisecond, r.limits.WatchTimeout))
	defer expired.Stop()
	for {
		changes, next := r.state.since(after, request.FormValue("name"))
		if len(changes.Values)+len(changes.Deleted) > 0 || changes.Complete {
			next = nil
		}
		if next != nil {
			select {
			case <-next:
				continue
			case <-expired.C:
			case <-request.Context().Done():
				return
			case <-r.done:
			}
		}
		r.writeAge(response)
		writeReply(response, changes, nil)
		return
	}
}

// writeAge writes headers with the revision of this pooler's copy of the record and the time since the last contact
// with a leader. A leader that is partitioned from the others still reports an age of 0 for half a second, until it
// steps down.
func (r *replicated) writeAge(w http.ResponseWriter) {
	w.Header().Set(revisionHeader, strconv.FormatUint(r.state.revision(), 10))
	if r.IsLeader() {
		w.Header().Set(ageHeader, "0")
	} else if lastContact := r.raft.LastContact(); !lastContact.IsZero() {
		w.Header().Set(ageHeader, strconv.FormatInt(time.Since(lastContact).Milliseconds(), 10))
	}
}

// readBody decodes the JSON body of a call. If it is invalid, it answers with status 400 and returns false.
func (r *replicated) readBody(w http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, int64(maxBodyValues*r.limits.MaxValueBytes)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "not a call: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply answers a call with a JSON value, or with status 503 and an error. After status 503 a change may or may
// not have been applied.
func writeReply(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // fails if the caller has disconnected
}
