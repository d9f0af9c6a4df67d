//go:build review2

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

// Times of the case.
const (
	reloadLag      = 350 * time.Millisecond // by which the replica's data is old
	reloadNewBound = 100 * time.Millisecond // of the new configuration
	reloadSettle   = 6 * time.Second        // from the signal until the new configuration has to hold
)

// playReload moves discovery and lowers a class's bound by a new configuration, which leaves out an optional key, and
// checks that afterwards no read is answered from data that is too old for the class.
func playReload(w *world) {
	var mu sync.Mutex
	served := map[string]string{} // database by id
	primary, replica := w.newDatabase("s-0", true), w.newDatabase("s-1", false)
	replica.lag = reloadLag
	for _, d := range []*database{primary, replica} {
		d.answer = func(id, _ string) []byte {
			mu.Lock()
			served[id] = d.name
			mu.Unlock()
			return row("from " + d.name)
		}
	}
	entries := []entry{primary.entry("riga-north", "SERVING"), replica.entry("riga-south", "SERVING")}
	old := w.newDiscovery("old discovery", 41, entries...)
	before := strings.Replace(rigaSettings, `"tipMultiple":2.5`, `"tipMultiple":2.5,"drainBindsAlone":true`, 1)
	pooler := w.startPooler(old.address, before, "", old.list())
	bound := 500 * time.Millisecond
	ask := func(prefix string, span time.Duration) (tooOld, answered int) {
		for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
			id := fmt.Sprintf("%s%d", prefix, n)
			sql := fmt.Sprintf("SELECT val FROM state WHERE uid = 'u%d' /* id=%s,c=profile-read,d=1200,cluster=1 */", n, id)
			answer, _ := w.request(pooler.listen, sql, 3*time.Second)
			mu.Lock()
			name := served[id]
			mu.Unlock()
			if answer.value != "" {
				answered++
				if name == replica.name && reloadLag > bound+150*time.Millisecond { // 50 ms, and 100 ms to know an answer
					tooOld++
				}
			}
			time.Sleep(40 * time.Millisecond)
		}
		return tooOld, answered
	}
	_, answered := ask("b", 2*time.Second)
	w.note("before: %d reads were answered", answered)
	if w.trouble {
		w.note("the platform: a new configuration, and SIGHUP")
		moved := w.newDiscovery("new discovery", 7, entries...)
		after := strings.Replace(rigaSettings, `"maxAgeMs":[500,0,0]`, `"maxAgeMs":[100,0,0]`, 1)
		if os.Getenv("KEEP_KEY") == "1" { // a control: the same configuration with the optional key, set to its default
			after = strings.Replace(after, `"tipMultiple":2.5`, `"tipMultiple":2.5,"drainBindsAlone":false`, 1)
		}
		pooler.configure(moved.address, after, moved.list())
		w.must(syscall.Kill(pooler.process.Process.Pid, syscall.SIGHUP))
		time.Sleep(time.Second)
		old.stop()
		time.Sleep(reloadSettle - time.Second)
		bound = reloadNewBound
	}
	tooOld, answered := ask("a", 4*time.Second)
	w.note("after: %d reads were answered, %d of them from data that was too old", answered, tooOld)
	pooler.copyLog()
	switch {
	case answered == 0:
		w.violation("no read was answered")
	case tooOld > 0:
		w.violation("%d of %d reads were answered from data that was %v old; the class bears %v", tooOld, answered, reloadLag, bound)
	}
}
