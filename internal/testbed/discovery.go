package testbed

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"capercove/internal/discovery"
)

const (
	// maxPendingChanges is how many changes of the endpoint list may wait for a watch.
	maxPendingChanges = 16
	// watchKeepalive is the interval of the empty lines that discovery sends to a watch.
	watchKeepalive = time.Second
)

func (b *Bed) startDiscovery() {
	b.discovery = httptest.NewServer(http.HandlerFunc(b.serveEndpointList))
}

func (b *Bed) stopDiscovery() {
	_ = b.discovery.Listener.Close() // it may be closed
	b.discovery.CloseClientConnections()
}

func (b *Bed) discoveryAddr() string { return b.discovery.Listener.Addr().String() }

// MoveDiscovery ends discovery and starts it at a new address, with the given revision of the endpoint list.
func (b *Bed) MoveDiscovery(revision uint64) {
	b.stopDiscovery()
	b.revision = revision
	b.startDiscovery()
}

// List announces a change of the endpoint list to the watch.
func (b *Bed) List(entries ...discovery.Entry) {
	b.revision++
	b.changes <- discovery.List{Revision: b.revision, Members: entries}
}

// Entry returns the entry of database i in the endpoint list, in a phase.
func (b *Bed) Entry(i int, phase string) discovery.Entry { return b.Databases[i].entry(phase) }

// serveEndpointList answers a poll, or a watch until the pooler ends it.
func (b *Bed) serveEndpointList(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(w)
	if r.FormValue("watch") == "" {
		_ = encoder.Encode(discovery.List{Revision: b.revision, Complete: true, Members: b.Known})
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case change := <-b.changes:
			_ = encoder.Encode(change) // a pooler that has gone ends the request's context
		case <-time.After(watchKeepalive):
			_, _ = w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
	}
}
