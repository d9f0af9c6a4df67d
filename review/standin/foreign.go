package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = playForeign }

// The values of this case, in bytes. The pages allow 64 KiB.
const (
	longValue  = 64 << 10
	shortValue = 48
	block      = 8 << 10 // the database hands its answer to the system in blocks of this size, as PostgreSQL does
)

// valueOf returns the only value that a database makes for a request.
func valueOf(id string, size int) []byte {
	return bytes.Repeat([]byte(id+" "), size/(len(id)+1)+1)[:size]
}

// slowReader reads as a client on a slow link does: so many bytes in each interval.
type slowReader struct {
	conn net.Conn
}

const (
	slowBytes    = 16 << 10
	slowInterval = 50 * time.Millisecond
)

func (s slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowInterval)
	return s.conn.Read(buffer[:min(len(buffer), slowBytes)])
}

// playForeign: a client on a slow link sends eight reads at once and takes its answers. With trouble, the connection of a
// database ends under the seventh read, when all but the last block of its answer has been sent. No answer that is whole,
// from RowDescription to ReadyForQuery, may hold anything but what a database made for its request.
func playForeign(r *record, trouble bool) verdict {
	const rounds = 20
	w := startWorld(r, lanes, 2)
	defer w.stop()
	sizeOf := func(id string) int {
		if strings.HasSuffix(id, "-7") {
			return shortValue
		}
		return longValue
	}
	var mu sync.Mutex
	ended := map[string]chan struct{}{} // by round: closed when the pooler has given up the connection of the seventh read
	endOf := func(id string) chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		round, _, _ := strings.Cut(id, "-")
		if ended[round] == nil {
			ended[round] = make(chan struct{})
		}
		return ended[round]
	}
	for _, db := range w.databases {
		db.execute = func(db *database, conn net.Conn, sql string) bool {
			id := label(sql, "id")
			good, ok := run(db, conn, sql, valueOf(id, sizeOf(id)))
			if !ok {
				return true
			}
			switch {
			case trouble && strings.HasSuffix(id, "-6"):
				sent := len(good) / block * block
				_, _ = conn.Write(good[:sent])
				_ = conn.(*net.TCPConn).CloseWrite()
				r.printf("%s ends the connection after %d of the %d bytes of its answer to id=%s", db.name, sent, len(good), id)
				_, _ = conn.Read(make([]byte, 1)) // until the pooler closes
				r.printf("the pooler closes the connection of id=%s to %s", id, db.name)
				close(endOf(id))
				return false
			case trouble && strings.HasSuffix(id, "-7"):
				select {
				case <-endOf(id):
				case <-time.After(5 * time.Second):
				}
				time.Sleep(20 * time.Millisecond)
			}
			_, err := conn.Write(good)
			r.printf("%s has answered id=%s", db.name, id)
			return err == nil
		}
	}
	found, early := verdict{}, 0
	for round := range rounds {
		c, err := dialClient(w.addr)
		must(err)
		_ = c.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		c.in = bufio.NewReaderSize(slowReader{c.conn}, slowBytes)
		var ids []string
		var texts []byte
		for n := range 8 {
			id := fmt.Sprintf("r%d-%d", round, n)
			ids = append(ids, id)
			texts = append(texts, query(fmt.Sprintf(
				"SELECT val FROM state WHERE uid = 'u%s' /* id=%s,c=agency-report,d=10000,cluster=3 */", id, id))...)
		}
		_, err = c.conn.Write(texts)
		must(err)
		r.printf("client sends id=%s to id=%s at once, c=agency-report d=10000", ids[0], ids[len(ids)-1])
		for _, id := range ids {
			got := c.next(time.Now().Add(8 * time.Second))
			if got.err != nil {
				early++
				r.printf("id=%s: no whole answer: %v", id, got.err)
				break
			}
			found.checked++
			own := valueOf(id, sizeOf(id))
			if got.kind != "served" || bytes.Equal(got.value, own) {
				r.printf("id=%s: %v, with nothing foreign", id, got)
				continue
			}
			at := 0
			for at < min(len(own), len(got.value)) && got.value[at] == own[at] {
				at++
			}
			found.broken++
			r.printf("id=%s: SERVED WITH FOREIGN BYTES, a value of %d bytes that is not its own from byte %d on: %q",
				id, len(got.value), at, got.value[at:])
		}
		_ = c.conn.Close()
	}
	found.note = fmt.Sprintf("%d of %d connections ended before all was answered", early, rounds)
	if err := w.crashed(); err != nil {
		found.broken++
		found.note = err.Error()
	}
	return found
}
