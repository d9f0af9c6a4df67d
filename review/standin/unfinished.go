package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["unfinished"] = playUnfinished }

// playUnfinished: with trouble, one answer in five of the databases never ends. Each read has to get its final answer, or
// the close that tells the client that its value is not whole, within its time and the slack of the pages.
func playUnfinished(r *record, trouble bool) verdict {
	const (
		clients  = 6
		requests = 12                            // of each client, one after the other
		deadline = 1200 * time.Millisecond       // of the class profile-read
		slack    = (500 + 50) * time.Millisecond // half a second after its time, and 50 ms of the rules on sockets
		patience = 12 * time.Second              // how long the client of the test looks
		share    = 5                             // one answer in so many does not end
	)
	// Sizes of the values in bytes; the pages allow 64 KiB.
	sizes := []int{200, 30_000, 64 << 10}
	w := startWorld(r, lanes, 2)
	defer w.stop()

	var mu sync.Mutex
	answers := map[int]int{}        // answers of the databases so far, by the size of the value
	unfinished := map[string]bool{} // requests whose answer did not end, by id
	for _, db := range w.databases {
		db.execute = func(db *database, conn net.Conn, sql string) bool {
			id := label(sql, "id")
			var client, number int
			_, _ = fmt.Sscanf(id, "c%d-%d", &client, &number)
			size := sizes[number%len(sizes)]
			mu.Lock()
			never := trouble && answers[size]%share == share-1
			answers[size]++
			unfinished[id] = unfinished[id] || never
			mu.Unlock()
			value := bytes.Repeat([]byte(id+" "), size/(len(id)+1)+1)[:size]
			if !never {
				return answerWith(db, conn, sql, value)
			}
			whole, _ := run(db, conn, sql, value)
			half := whole[:len(whole)/2]
			r.printf("%s sends %d of the %d bytes of its answer to id=%s, with a value of %d bytes, and no more",
				db.name, len(half), len(whole), id, size)
			_, _ = conn.Write(half)
			var one [1]byte
			_, _ = conn.Read(one[:]) // until the pooler closes
			return false
		}
	}

	found, late := verdict{}, map[int]int{}
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			var c *client
			for n := range requests {
				time.Sleep(100 * time.Millisecond)
				if c == nil {
					var err error
					if c, err = dialClient(w.addr); err != nil {
						r.printf("client %d cannot connect: %v", i, err)
						return
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				_, err := c.conn.Write(query(fmt.Sprintf(
					"SELECT val FROM state WHERE uid = 'u%d-%d' /* id=%s,c=profile-read,d=%d,cluster=3 */",
					i, n, id, deadline.Milliseconds())))
				sent := time.Now()
				if err != nil {
					r.printf("client %d cannot send: %v", i, err)
					c = nil
					continue
				}
				r.printf("client sends id=%s c=profile-read d=%d", id, deadline.Milliseconds())
				got := c.next(sent.Add(patience))
				took := time.Since(sent)
				if got.err != nil {
					_ = c.conn.Close()
					c = nil
				}
				mu.Lock()
				found.checked++
				text := "in time"
				if took > deadline+slack {
					found.broken++
					late[sizes[n%len(sizes)]]++
					text = "LATE, lost"
				}
				if unfinished[id] {
					text += "; an answer of a database to it did not end"
				}
				mu.Unlock()
				r.printf("id=%s: %v after %.3f s, %s", id, got, took.Seconds(), text)
			}
		})
	}
	wait.Wait()
	found.note = fmt.Sprintf("by the size of the value: %v", late)
	if err := w.crashed(); err != nil {
		found.broken++
		found.note = err.Error()
	}
	return found
}
