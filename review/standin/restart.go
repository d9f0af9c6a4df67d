package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart: clients on slow links send some requests at once, and go on sending while their connections stay open. With
// trouble, the pooler gets SIGTERM. Each request that a database has answered has to reach its client with a whole answer.
func playRestart(r *record, trouble bool) verdict {
	const (
		clients   = 6
		reads     = 5 // sent at once by each client, with a write behind them
		later     = 8 // reads, one by one
		interval  = 300 * time.Millisecond
		sigtermAt = 1500 * time.Millisecond
		// The first requests come so long after SIGTERM, for one client after the other.
		firstAfter, nextAfter = 1300 * time.Millisecond, 100 * time.Millisecond
		sigkillAfter          = 3700 * time.Millisecond // the longest deadline, counted as 3 s, and 0.7 s
	)
	w := startWorld(r, lanes, 2)
	defer w.stop()
	begun := time.Now()
	var mu sync.Mutex
	answered := map[string]time.Time{} // when a database had answered, by id
	for _, db := range w.databases {
		db.execute = func(db *database, conn net.Conn, sql string) bool {
			id := label(sql, "id")
			size := longValue
			if strings.HasPrefix(sql, "INSERT") {
				size = shortValue
			}
			good, ok := run(db, conn, sql, valueOf(id, size))
			if !ok {
				return true
			}
			_, err := conn.Write(good)
			mu.Lock()
			answered[id] = time.Now()
			mu.Unlock()
			r.printf("%s has answered id=%s", db.name, id)
			return err == nil
		}
	}
	read := func(id string) []byte {
		return query(fmt.Sprintf("SELECT val FROM state WHERE uid = 'u%s' /* id=%s,c=agency-report,d=10000,cluster=3 */", id, id))
	}
	write := func(id string) []byte {
		return query(fmt.Sprintf(`INSERT INTO state (uid, val) VALUES ('u%s', '\x01') RETURNING val /* id=%s,c=member-write,d=3000,cluster=3 */`, id, id))
	}
	got := map[string]bool{} // requests with a whole answer, by id
	var wait sync.WaitGroup
	for i := range clients {
		c, err := dialClient(w.addr)
		must(err)
		_ = c.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		c.in = bufio.NewReaderSize(slowReader{c.conn}, slowBytes)
		sent := make(chan string, reads+1+later)
		wait.Go(func() {
			defer close(sent)
			time.Sleep(time.Until(begun.Add(sigtermAt + firstAfter + time.Duration(i)*nextAfter)))
			var ids []string
			var texts []byte
			for n := range reads {
				id := fmt.Sprintf("c%d-read-%d", i, n)
				ids, texts = append(ids, id), append(texts, read(id)...)
			}
			id := fmt.Sprintf("c%d-write", i)
			ids, texts = append(ids, id), append(texts, write(id)...)
			for n := range later + 1 {
				if _, err := c.conn.Write(texts); err != nil {
					r.printf("client %d cannot send %s: %v", i, ids[0], err)
					return
				}
				r.printf("client sends %s", strings.Join(ids, " "))
				for _, id := range ids {
					sent <- id
				}
				time.Sleep(interval)
				id := fmt.Sprintf("c%d-read-%d", i, reads+n)
				ids, texts = []string{id}, read(id)
			}
		})
		wait.Go(func() {
			broke := false
			for id := range sent {
				if broke {
					continue
				}
				a := c.next(time.Now().Add(10 * time.Second))
				broke = a.err != nil
				r.printf("id=%s: %v", id, a)
				mu.Lock()
				got[id] = !broke
				mu.Unlock()
			}
		})
	}
	note := ""
	if trouble {
		time.Sleep(time.Until(begun.Add(sigtermAt)))
		r.printf("SIGTERM to the pooler")
		must(syscall.Kill(w.process.Process.Pid, syscall.SIGTERM))
		terminated := time.Now()
		select {
		case err := <-w.exited:
			note = fmt.Sprintf(", the pooler has ended %.2f s after SIGTERM", time.Since(terminated).Seconds())
			r.printf("the pooler has ended: %v", err)
			w.exited <- err
		case <-time.After(sigkillAfter):
			r.printf("SIGKILL to the pooler")
			_ = syscall.Kill(w.process.Process.Pid, syscall.SIGKILL)
		}
	}
	wait.Wait()
	found, writes := verdict{}, 0
	mu.Lock()
	defer mu.Unlock()
	for id, at := range answered {
		found.checked++
		if got[id] {
			continue
		}
		found.broken++
		if strings.Contains(id, "write") {
			writes++
		}
		r.printf("id=%s: LOST, a database had answered it at %.3f s", id, at.Sub(r.begun).Seconds())
	}
	found.note = fmt.Sprintf("%d of the lost ones are writes that ran%s", writes, note)
	return found
}
