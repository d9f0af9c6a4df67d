//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["keyed"] = playKeyed }

// keyedSettings are those of ljubljana-prod with one pooler; its first class is keyed, with the group "cell".
const keyedSettings = `{"balancers":1,"membershipMode":"on_request","overShareWorth":0.1,"zones":["lju-1","lju-2"],
"allowed":{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":30000,"maxRetryAfterMs":1000,"probes":true,
 "retryAfter":true,"secondCopies":true,"sendCap":8},
"extra":{"behind":"none","classRead":["lag_bound","eventual","mutate"],"listRole":"trailing",
 "maxAgeMs":[300,0,0],"sessionMarks":"kept","originTimeMs":0,"stamps":true},
"feedback":{"fields":["x0","x1","backlog"],"source":"answers"},
"lanes":[
 {"name":"balance","aimMs":150,"deadlineMs":600,"credit":1,"lateValue":0,"idempotency":"keyed","group":"cell","dedupWindowMs":5000},
 {"name":"history","aimMs":150,"deadlineMs":500,"credit":1,"lateValue":0.2,"idempotency":"safe"},
 {"name":"payment","aimMs":300,"deadlineMs":3000,"credit":6,"lateValue":0.3,"idempotency":"unsafe"}],
"rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.24,"coldMs":18000,"drainGraceMs":2000,"fallMs":1000,"tipMultiple":3}}`

// keyedHang is for how long the first database hangs.
const keyedHang = 460 * time.Millisecond

// keyedTrouble is what the databases do: the one that gets the test's request first hangs, and turns it away when it
// goes on; the one that gets it second runs it, and its connection is reset.
type keyedTrouble struct {
	mu        sync.Mutex
	first     *database
	hungUntil time.Time
	ran       map[string]int // of the test's requests, by id
}

func (k *keyedTrouble) answer(d *database, id string) []byte {
	if id[0] != 't' { // the other traffic waits while its database hangs
		k.mu.Lock()
		var rest time.Duration
		if k.first == d {
			rest = time.Until(k.hungUntil)
		}
		k.mu.Unlock()
		time.Sleep(rest)
		return row("from " + d.name)
	}
	k.mu.Lock()
	isFirst := k.first == nil
	if isFirst {
		k.first, k.hungUntil = d, time.Now().Add(keyedHang)
	}
	hangs := k.first == d && time.Until(k.hungUntil) > 0
	isRetry := id != "t1"
	if !hangs {
		k.ran[id]++
	}
	k.mu.Unlock()
	switch {
	case isRetry:
		return row("from " + d.name)
	case hangs:
		d.world.note("%s: hangs; %s waits there and has not begun", d.name, id)
		time.Sleep(keyedHang)
		d.world.note("%s: goes on, its queue is full: 53300 for %s", d.name, id)
		return errorMessage("53300", "queue full")
	}
	d.world.note("%s: runs %s", d.name, id)
	return nil
}

// playKeyed sends a keyed read whose second copy may have run, and checks that it is not refused.
func playKeyed(w *world) {
	databases := []*database{w.newDatabase("s-0", true), w.newDatabase("s-1", false), w.newDatabase("s-2", false)}
	var entries []entry
	trouble := &keyedTrouble{ran: map[string]int{}}
	for i, d := range databases {
		entries = append(entries, d.entry([]string{"lju-1", "lju-2"}[i%2], "SERVING"))
		if w.trouble {
			d.answer = func(id, _ string) []byte { return trouble.answer(d, id) }
		}
	}
	discovery := w.newDiscovery("discovery", 41, entries...)
	pooler := w.startPooler(discovery.address, keyedSettings, "", discovery.list())
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 4 { // other traffic
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				if c, err := dialClient(pooler.listen); err == nil {
					_, _ = c.ask(historySQL(i, n), time.Second)
					c.close()
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	answer, _ := w.request(pooler.listen, balanceSQL("t1"), 2*time.Second)
	isRefused := answer.code == "53300" || answer.code == "57P03"
	if isRefused { // the page: a client repeats such a request only after a refusal
		_, _ = w.request(pooler.listen, balanceSQL("t2"), 2*time.Second)
	}
	close(stop)
	others.Wait()
	trouble.mu.Lock()
	ran, again := trouble.ran["t1"], trouble.ran["t2"]
	trouble.mu.Unlock()
	w.note("t1 ran %d times; its repeat by the client, t2, %d times", ran, again)
	pooler.copyLog()
	switch {
	case w.trouble && ran == 0 && !isRefused:
		w.giveUp("no second copy was sent")
	case !w.trouble && answer.value == "":
		w.violation("t1 was not served, though nothing was wrong")
	case isRefused && ran > 0:
		w.violation("t1 was refused (%s) although an attempt of it had run; with the client's repeat it took effect %d times",
			answer.code, ran+again)
	}
}

func balanceSQL(id string) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '7f3a' /* id=%s,c=balance,d=600,cluster=1 */", id)
}

func historySQL(client, n int) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = 'u%d' /* id=h%d-%d,c=history,d=500,cluster=1 */", n%50, client, n)
}
