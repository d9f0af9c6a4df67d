package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["window"] = playWindow }

// playWindow: databases discard repeats of a write for a window after its first arrival. With trouble, a third of the new
// connections come up late, and one write in five has its connection reset after it has begun. No copy of a write may
// arrive after the window.
func playWindow(r *record, trouble bool) verdict {
	const (
		rounds = 30
		window = 800 * time.Millisecond // dedupWindowMs
		slack  = 200 * time.Millisecond // 50 ms of the rules on sockets, 150 ms for a pooler that was held up
		late   = 238 * time.Millisecond // of new connections; connectTimeoutMs is 250
		reset  = window - 68*time.Millisecond
	)
	classes := append([]lane{}, lanes...)
	classes[2].effect, classes[2].window = "keyed", int(window.Milliseconds())
	w := startWorld(r, classes, 2)
	defer w.stop()
	primary := w.databases[0]
	var mu sync.Mutex
	first := map[string]time.Time{} // arrivals of the first copies, by id
	found, copies, worst := verdict{}, 0, time.Duration(0)
	connections := 0
	primary.startup = func() {
		mu.Lock()
		connections++
		isLate := trouble && connections%3 == 0
		mu.Unlock()
		if isLate {
			r.printf("%s: connection %d comes up late, after %v", primary.name, connections, late)
			time.Sleep(late)
		}
	}
	primary.execute = func(db *database, conn net.Conn, sql string) bool {
		arrived, id := time.Now(), label(sql, "id")
		mu.Lock()
		begun, repeated := first[id]
		if !repeated {
			first[id] = arrived
		}
		mu.Unlock()
		if repeated {
			after := arrived.Sub(begun)
			text := "is within the window and its slack"
			mu.Lock()
			copies++
			worst = max(worst, after)
			if after > window+slack {
				found.broken++
				text = "is APPLIED AGAIN: the window is over by more than the slack"
			}
			mu.Unlock()
			r.printf("%s: a copy of id=%s arrives %.3f s after the first, %s", db.name, id, after.Seconds(), text)
			if after > window {
				return executeSoundly(db, conn, sql)
			}
			_, err := conn.Write(append(append(db.notes(), row([]byte(id), "INSERT 0 1")...), ready()...))
			return err == nil
		}
		if trouble && id[0] == 'w' {
			r.printf("%s runs id=%s c=%s d=%s (run %d)", db.name, id, label(sql, "c"), label(sql, "d"), db.began(sql))
			time.Sleep(reset)
			r.printf("%s resets the connection under id=%s, which has begun", db.name, id)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return executeSoundly(db, conn, sql)
	}
	c, err := dialClient(w.addr)
	must(err)
	ask := func(id string) {
		sql := fmt.Sprintf(`INSERT INTO state (uid, val) VALUES ('u', '\x01') RETURNING val /* id=%s,c=member-write,d=3000,cluster=3 */`, id)
		_, err := c.conn.Write(query(sql))
		must(err)
		r.printf("client sends id=%s c=member-write d=3000", id)
		r.printf("id=%s: %v", id, c.next(time.Now().Add(5*time.Second)))
		found.checked++
	}
	for n := range rounds {
		for i := range 4 {
			ask(fmt.Sprintf("p-%d-%d", n, i)) // nothing happens to these
		}
		ask(fmt.Sprintf("w-%d", n))
	}
	found.note = fmt.Sprintf("%d copies were sent, the latest %.3f s after the first; the window is %.1f s, with slack %.1f s",
		copies, worst.Seconds(), window.Seconds(), (window + slack).Seconds())
	if err := w.crashed(); err != nil {
		found.broken++
		found.note = err.Error()
	}
	return found
}
