package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// playPipeline: a client sends many writes at once, and reads its answers as they come. Each write that was sent whole
// has to get an answer.
func playPipeline(r *record, trouble bool) verdict {
	const (
		writes    = 32
		valueSize = 64 << 10 // bytes; the pages allow 64 KiB
	)
	w := startWorld(r, lanes, 2)
	defer w.stop()
	w.databases[0].execute = func(db *database, conn net.Conn, sql string) bool {
		return answerWith(db, conn, sql, []byte("stored "+label(sql, "id")))
	}
	c, err := dialClient(w.addr)
	must(err)
	defer func() { _ = c.conn.Close() }()
	statement := func(n int) []byte {
		value := hex.EncodeToString(bytes.Repeat([]byte{byte(n + 1)}, valueSize))
		return query(fmt.Sprintf(`INSERT INTO state (uid, val) VALUES ('u%d', '\x%s') RETURNING val /* id=w-%d,c=member-write,d=3000,cluster=3 */`,
			n, value, n))
	}
	sent := make(chan int, writes) // numbers of the writes that were sent whole
	answered := make(chan struct{}, writes)
	go func() {
		defer close(sent)
		for n := range writes {
			if _, err := c.conn.Write(statement(n)); err != nil {
				r.printf("client: write %d not sent whole: %v", n, err)
				return
			}
			r.printf("client sends id=w-%d c=member-write d=3000", n)
			sent <- n
			if !trouble {
				<-answered // one command at a time
			}
		}
	}()
	found := verdict{}
	ran := 0
	var broke error
	for n := range sent {
		got := answer{kind: "none", err: broke}
		if broke == nil {
			got = c.next(time.Now().Add(8 * time.Second))
			broke = got.err
			answered <- struct{}{}
		}
		found.checked++
		id := fmt.Sprintf("w-%d", n)
		text := "answered"
		if got.err != nil {
			found.broken++
			text = "LOST"
			if w.databases[0].ran(id) > 0 {
				ran++
				text = "LOST, and the primary ran it"
			}
		}
		r.printf("id=%s: %v, %s", id, got, text)
	}
	found.note = fmt.Sprintf("%d of the lost writes were run by the primary", ran)
	if err := w.crashed(); err != nil {
		found.broken++
		found.note = err.Error()
	}
	return found
}
