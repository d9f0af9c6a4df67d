//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["statements"] = playStatements }

// rigaSettings are those of riga-members with one pooler.
const rigaSettings = `{"balancers":1,"membershipMode":"on_request","overShareWorth":0.1,
"zones":["riga-north","riga-south","jelgava"],
"allowed":{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":2000,"probes":true,
 "retryAfter":false,"secondCopies":false,"sendCap":10},
"extra":{"behind":"none","classRead":["lag_bound","eventual","mutate"],"listRole":"static",
 "maxAgeMs":[500,0,0],"sessionMarks":"brought","originTimeMs":0,"stamps":true},
"feedback":{"fields":["x0","x1","utilization"],"source":"probe"},
"lanes":[
 {"name":"profile-read","aimMs":300,"deadlineMs":1200,"credit":2,"lateValue":0.2,"idempotency":"safe"},
 {"name":"agency-report","aimMs":5000,"deadlineMs":10000,"credit":6,"lateValue":0.2,"idempotency":"safe"},
 {"name":"member-write","aimMs":1000,"deadlineMs":3000,"credit":3,"lateValue":0.5,"idempotency":"unsafe"}],
"rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.16,"coldMs":18000,"drainGraceMs":2000,"fallMs":2000,"tipMultiple":2.5}}`

// enforce turns the reading of statements on.
const enforce = "[statements]\nmode = \"enforce\"\n"

// shapes are statements that write; %s is a value.
var shapes = []struct{ name, sql string }{
	{"control", "WITH u AS (UPDATE state SET val = '%s' WHERE uid = '7f3a' RETURNING val) SELECT val FROM u"},
	{"position", "WITH u AS (UPDATE position SET val = '%s' WHERE uid = '7f3a' RETURNING val) SELECT val FROM u"},
	{"operator", "SELECT substring('%s' FROM 1 OPERATOR(pg_catalog.+) nextval('visits')::integer)"},
}

// playStatements sends statements that write and are labelled as reports, and checks that each reaches only the primary
// and runs at most once.
func playStatements(w *world) {
	ran := make(chan string, 1000)
	primary, replica := w.newDatabase("s-0", true), w.newDatabase("s-1", false)
	atReplica := make(chan string, 1000)
	replica.answer = func(id, _ string) []byte { // as a database that is no primary answers a write
		atReplica <- id
		return errorMessage("25006", "cannot execute UPDATE in a read-only transaction")
	}
	primary.answer = func(id, _ string) []byte {
		ran <- id
		w.note("s-0: runs %s", id)
		if w.trouble && strings.HasSuffix(id, "-reset") && primary.received(id) == 1 {
			return nil // it has run, and its connection is reset
		}
		return row("written")
	}
	discovery := w.newDiscovery("discovery", 41, primary.entry("riga-north", "SERVING"), replica.entry("riga-south", "SERVING"))
	pooler := w.startPooler(discovery.address, rigaSettings, enforce, discovery.list())
	class := "agency-report"
	if !w.trouble {
		class = "member-write"
	}
	for _, shape := range shapes {
		for n := range 6 {
			id := fmt.Sprintf("%s-%d", shape.name, n)
			if n == 5 {
				id = shape.name + "-reset"
			}
			sql := fmt.Sprintf(shape.sql, id) + fmt.Sprintf(" /* id=%s,c=%s,d=3000,cluster=1 */", id, class)
			answer, err := w.request(pooler.listen, sql, 5*time.Second)
			if err != nil {
				w.violation("%s got no answer: %v", id, err)
			}
			if !w.trouble && answer.value == "" {
				w.violation("%s was not served, though nothing was wrong", id)
			}
		}
	}
	pooler.copyLog()
	times, misrouted := map[string]int{}, map[string]int{}
	for len(ran) > 0 {
		times[<-ran]++
	}
	for len(atReplica) > 0 {
		name, _, _ := strings.Cut(<-atReplica, "-")
		misrouted[name]++
	}
	for id, n := range times {
		if n > 1 {
			w.violation("the write %s ran %d times at the primary", id, n)
		}
	}
	for name, n := range misrouted {
		w.violation("writes of the shape %q reached the replica %d times", name, n)
	}
}
