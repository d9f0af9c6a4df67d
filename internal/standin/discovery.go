package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"capercove/internal/discovery"
	"capercove/internal/emulator"
	"capercove/internal/scenario"
)

const (
	// publishRetry is how long a change waits to be published again while discovery is down.
	publishRetry = 100 * time.Millisecond
	// notifiedAfter is how long after its publication a change counts as known to a pooler, whether it watches or not.
	notifiedAfter = 6 * time.Second
	// maxPendingChanges is how many changes a watch may leave unread.
	maxPendingChanges = 64
	// watchKeepalive is the interval of the empty lines that a watch gets.
	watchKeepalive = time.Second
)

// The phases of endpoints that matter here.
const (
	phaseServing = "SERVING"
	phaseDeleted = "DELETED"
)

var phases = map[emulator.State]string{
	emulator.Serving: phaseServing, emulator.Draining: "DRAINING", emulator.Gone: phaseDeleted,
}

// entry returns a database's entry in the endpoint list. The list does not learn of elections: its mode is that of the
// start.
func (p *pooler) entry(database *server) discovery.Entry {
	member := database.member
	return discovery.Entry{
		ID: member.Name, Addr: database.addr, Locality: member.Zone, Cell: member.Family.Group,
		Phase: phases[member.State], Mode: mode(member == member.Family.Members[0]),
		UpSince: member.Started.Milliseconds(),
	}
}

// publish publishes a database's state to all poolers, to each after a delay of its own.
func (f *Fleet) publish(member *emulator.Member) {
	revision := f.Revision
	for _, receiver := range f.poolers {
		for _, database := range receiver.servers {
			if database.member != member {
				continue
			}
			change := discovery.List{Revision: revision, Members: []discovery.Entry{receiver.entry(database)}}
			low, high := f.Scenario.List.LateMS[0], f.Scenario.List.LateMS[1]
			delay := scenario.Millis(low + (high-low)*f.random.Float64())
			f.Clock.At(f.Clock.Now()+delay, func() { receiver.publish(change) })
		}
	}
}

// publish records a change and hands it to the watches. While discovery is down, the change waits.
func (p *pooler) publish(change discovery.List) {
	clock := p.fleet.Clock
	if p.discoveryDown {
		clock.At(clock.Now()+publishRetry, func() { p.publish(change) })
		return
	}
	p.changes = append(p.changes, change)
	clock.At(clock.Now()+notifiedAfter, func() { p.recordNotified(p.endpointList()) })
	for watch := range p.watches {
		p.recordNotified(change)
		select {
		case watch <- change:
		default: // it does not read
			close(watch)
			delete(p.watches, watch)
		}
	}
}

// recordNotified records in the ledger that the pooler knows a list.
func (p *pooler) recordNotified(list discovery.List) {
	now := p.fleet.Clock.Now()
	for _, entry := range list.Members {
		p.fleet.Ledger.PoolerNotified(now, p.name, entry.ID, entry.Phase == phaseServing)
	}
}

// endpointList returns the complete list as it has been published so far.
func (p *pooler) endpointList() discovery.List {
	list := discovery.List{Revision: 1, Complete: true}
	latest := map[string]discovery.Entry{}
	for _, change := range p.changes {
		list.Revision = max(list.Revision, change.Revision)
		for _, entry := range change.Members {
			latest[entry.ID] = entry
		}
	}
	for _, database := range p.servers {
		entry, changed := latest[database.member.Name]
		if !changed {
			entry = p.entry(database)
			entry.Phase, entry.UpSince = phaseServing, 0
		}
		if entry.Phase != phaseDeleted {
			list.Members = append(list.Members, entry)
		}
	}
	return list
}

// failDiscovery makes discovery fail for a fault's time; without one, for good.
func (f *Fleet) failDiscovery(fault scenario.Fault) {
	for _, affected := range f.poolers {
		affected.discoveryDown = true
		for watch := range affected.watches {
			close(watch)
		}
		clear(affected.watches)
	}
	if fault.For <= 0 {
		return
	}
	f.Clock.At(f.Clock.Now()+scenario.Seconds(fault.For), func() {
		for _, affected := range f.poolers {
			affected.discoveryDown = false
		}
	})
}

// subscription is what a request to discovery gets.
type subscription struct {
	list  discovery.List
	watch chan discovery.List // changes after list; nil for a poll
}

// subscribe returns the list, with a watch if that is wanted, and false if discovery is down or the fleet is closed.
func (p *pooler) subscribe(wantsWatch bool) (subscribed subscription, ok bool) {
	p.fleet.Clock.Wait(func() {
		if p.discoveryDown {
			return
		}
		ok = true
		subscribed.list = p.endpointList()
		p.recordNotified(subscribed.list)
		if wantsWatch {
			subscribed.watch = make(chan discovery.List, maxPendingChanges)
			p.watches[subscribed.watch] = struct{}{}
		}
	})
	return subscribed, ok
}

// serveEndpointList answers a poll, or a watch until it ends.
func (p *pooler) serveEndpointList(w http.ResponseWriter, r *http.Request) {
	subscribed, ok := p.subscribe(r.FormValue("watch") != "")
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	if err := json.NewEncoder(w).Encode(subscribed.list); err != nil || subscribed.watch == nil {
		return
	}
	defer p.fleet.Clock.Do(func() { delete(p.watches, subscribed.watch) })
	p.serveWatch(w, r, subscribed.watch)
}

// serveWatch writes changes until the pooler or the fleet ends the watch. If the watch is closed, the connection is
// aborted.
func (p *pooler) serveWatch(w http.ResponseWriter, r *http.Request, watch <-chan discovery.List) {
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	keepalive := []byte("\n")
	for {
		_ = controller.Flush() // a pooler that has gone ends the request's context
		select {
		case change, open := <-watch:
			if !open {
				panic(http.ErrAbortHandler)
			}
			_ = encoder.Encode(change)
		case <-time.After(watchKeepalive):
			_, _ = w.Write(keepalive)
		case <-r.Context().Done():
			return
		case <-p.fleet.closing:
			return
		}
	}
}
