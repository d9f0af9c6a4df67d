package testbed

import (
	"bytes"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"capercove/internal/pg"
)

// behaviour is what a stand-in database does with a statement; its text is the word in the statement that chooses it.
// The keys of corruptions are behaviours too.
type behaviour string

const (
	serve             behaviour = ""
	rejectOverloaded  behaviour = "full"
	failStatement     behaviour = "fail"
	rejectReadOnly    behaviour = "miss"     // as a database that is no primary rejects a write
	rejectUnusable    behaviour = "unusable" // as a statement that is the client's fault
	closeConnection   behaviour = "cut"
	serveAfterRelease behaviour = "hold"    // serve it once Release was called
	neverAnswer       behaviour = "hang"    // until the pooler ends it
	stopAfterBatch    behaviour = "half"    // on Flight: send one batch and nothing more
	pauseAfterBatch   behaviour = "paced"   // on Flight: send one batch, and the others once Release was called
	streamEndlessly   behaviour = "endless" // on Flight: until the pooler ends it
	answerLong        behaviour = "long"    // on the PostgreSQL wire: answer with Long
	breakHalfway      behaviour = "torn"    // on the PostgreSQL wire: close the connection in the middle of Long
	breakOrdinary     behaviour = "snapped" // on the PostgreSQL wire: close the connection in the middle of Ordinary
	stopHalfway       behaviour = "stalled" // on the PostgreSQL wire: send half of Ordinary and nothing more
)

// delayedTicket is a word, beside the behaviours, which delays a statement's Flight ticket until Release is called.
const delayedTicket = "ticket"

// executedForTicket is a word, beside the behaviours, with which a statement is executed when its Flight ticket is
// requested, as the protocol allows. What its behaviour says then applies to the fetch.
const executedForTicket = "planned"

// Long is the value of a long answer: 4 MiB. Ordinary is one of the greatest length that the protocol has: 64 KiB.
var (
	Long     = strings.Repeat("0123456789abcdef", 4<<20/16)
	Ordinary = Long[:64<<10]
)

// corruptions make a malformed answer of a good one, on the PostgreSQL wire.
var corruptions = map[behaviour]func(good []byte) []byte{
	"noise":    func([]byte) []byte { return []byte("\x93\x01\x00\x00\x00\x07noise") },
	"oversize": func([]byte) []byte { return []byte("D\xb0\x00\x00\x00\x00\x01\xaf\xff\xff\xf0claimed") },
	"misfit": func(good []byte) []byte {
		return bytes.Replace(good, []byte("\x00\x09from"), []byte("\x00\x08from"), 1)
	},
	"headless": func(good []byte) []byte { return good[bytes.IndexByte(good, 'D'):] },
	"rowless":  func(good []byte) []byte { return good[bytes.LastIndexByte(good, 'C'):] },
	"twice":    func(good []byte) []byte { return append(good, pg.AppendValue(nil, "of another")...) },
	"trailing": func(good []byte) []byte { return append(good, "\x93noise"...) },
}

// behaviours are all but serve, in the order in which a statement is searched for them.
var behaviours = append(slices.Sorted(maps.Keys(corruptions)),
	rejectOverloaded, failStatement, rejectReadOnly, closeConnection, stopAfterBatch, pauseAfterBatch,
	serveAfterRelease, neverAnswer,
	streamEndlessly, rejectUnusable, answerLong, breakHalfway, breakOrdinary, stopHalfway)

// writing finds statements that write, whatever their label says, with their ID.
var writing = regexp.MustCompile(`(?i)(?:nextval|insert into|delete from).*id=([^,]*)`)

// receive records a statement and the time of its arrival, and returns what to do with it.
func (d *Database) receive(sql string, at time.Time) behaviour {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statements = append(d.statements, receivedStatement{sql, at})
	if match := writing.FindStringSubmatch(sql); match != nil {
		if !d.primary.Load() {
			d.misrouted++
			return rejectReadOnly
		}
		d.executions[match[1]]++
	}
	return behaviourOf(sql)
}

// behaviourOf returns what a statement's words choose.
func behaviourOf(sql string) behaviour {
	for _, candidate := range behaviours {
		if strings.Contains(sql, string(candidate)) {
			return candidate
		}
	}
	return serve
}
