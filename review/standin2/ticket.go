//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

func init() { cases["ticket"] = playTicket }

// Figures of the case.
const (
	ticketDatabases = 8 // one of them is slow
	ticketGroup     = 4 // databases of the group that is asked; the others are of another group
	ticketRequests  = 200
	ticketWork      = 20 * time.Millisecond
	ticketSlowWork  = 620 * time.Millisecond
	ticketSpacing   = 12 * time.Millisecond
	ticketDeadline  = 1200 * time.Millisecond
)

// playTicket sends statements that must not run twice over Flight SQL, while one of eight databases is slow. The
// databases execute a statement when they are asked for its ticket, as the protocol says.
func playTicket(w *world) {
	var mu sync.Mutex
	runs := map[string][]string{} // databases by id
	var entries []entry
	operators := ""
	front := w.freeAddress()
	for n := range ticketDatabases {
		d := w.newFlightDatabase(fmt.Sprintf("s-%d", n), n%ticketGroup == 0)
		d.lag = 20 * time.Millisecond
		if n%ticketGroup == 0 {
			d.lag = 0
		}
		work := ticketWork
		if w.trouble && n == ticketGroup-1 {
			work = ticketSlowWork
		}
		d.onTicket = func(id string) {
			time.Sleep(work)
			mu.Lock()
			defer mu.Unlock()
			runs[id] = append(runs[id], d.name)
			w.note("%s: has run %s, gives out the ticket of its result", d.name, id)
		}
		listed := d.entry("riga-north", "SERVING")
		listed.Cell = 1 + n/ticketGroup
		entries = append(entries, listed)
		operators += fmt.Sprintf("%s = %q\n", d.name, d.address)
	}
	discovery := w.newDiscovery("discovery", 41, entries...)
	operators = fmt.Sprintf("[flight]\nlisten = %q\nserver_port = 32010\n[flight.servers]\n", front) + operators
	settings := strings.Replace(rigaSettings, `"lateValue":0.2,"idempotency":"safe"`, `"lateValue":0.2,"idempotency":"unsafe"`, 1)
	pooler := w.startPooler(discovery.address, settings, operators, discovery.list())
	client, err := flightsql.NewClient(front, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	w.must(err)
	var all sync.WaitGroup
	served := make(chan struct{}, ticketRequests)
	for n := range ticketRequests {
		all.Go(func() {
			if w.flightRequest(client, "profile-read", fmt.Sprintf("r%d", n), ticketDeadline) {
				served <- struct{}{}
			}
		})
		time.Sleep(ticketSpacing)
	}
	all.Wait()
	w.note("%d of %d requests were served", len(served), ticketRequests)
	pooler.copyLog()
	mu.Lock()
	defer mu.Unlock()
	for id, databases := range runs {
		if len(databases) > 1 {
			w.violation("%s of the class that must not run twice ran %d times: %v", id, len(databases), databases)
		}
	}
	if len(served) == 0 {
		w.violation("no request was served")
	}
}
