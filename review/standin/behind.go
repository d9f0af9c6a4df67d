package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["behind"] = playBehind }

// playBehind: a client sends a read and three writes at once. With trouble, the connection of a database is reset in the
// middle of its answer to the read. Each write that was sent whole has to get an answer.
func playBehind(r *record, trouble bool) verdict {
	const rounds = 10
	w := startWorld(r, lanes, 2)
	defer w.stop()
	for _, db := range w.databases {
		db.execute = func(db *database, conn net.Conn, sql string) bool {
			id := label(sql, "id")
			size := shortValue
			isRead := label(sql, "c") == "profile-read"
			if isRead {
				size = longValue
			}
			good, ok := run(db, conn, sql, valueOf(id, size))
			if !ok {
				return true
			}
			if isRead && trouble {
				_, _ = conn.Write(good[:len(good)/2])
				time.Sleep(100 * time.Millisecond)
				r.printf("%s resets the connection in the middle of its answer to id=%s", db.name, id)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, err := conn.Write(good)
			return err == nil
		}
	}
	found, ran := verdict{}, 0
	for round := range rounds {
		c, err := dialClient(w.addr)
		must(err)
		ids := []string{fmt.Sprintf("r%d", round)}
		texts := query(fmt.Sprintf("SELECT val FROM state WHERE uid = 'u' /* id=%s,c=profile-read,d=1200,cluster=3 */", ids[0]))
		for n := range 3 {
			id := fmt.Sprintf("w%d-%d", round, n)
			ids = append(ids, id)
			texts = append(texts, query(fmt.Sprintf(
				`INSERT INTO state (uid, val) VALUES ('u', '\x01') RETURNING val /* id=%s,c=member-write,d=3000,cluster=3 */`, id))...)
		}
		_, err = c.conn.Write(texts)
		must(err)
		r.printf("client sends %v at once", ids)
		broke := false
		for _, id := range ids {
			a := answer{kind: "none", err: fmt.Errorf("the connection has ended")}
			if !broke {
				a = c.next(time.Now().Add(5 * time.Second))
				broke = a.err != nil
			}
			r.printf("id=%s: %v", id, a)
			if id[0] != 'w' {
				continue
			}
			found.checked++
			if a.err != nil {
				found.broken++
				if w.databases[0].ran(id) > 0 {
					ran++
				}
			}
		}
		_ = c.conn.Close()
	}
	found.note = fmt.Sprintf("%d of the lost writes were run by the primary", ran)
	return found
}
