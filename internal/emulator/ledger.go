package emulator

import (
	"fmt"
	"time"

	"capercove/internal/scenario"
)

// Rule is one that poolers must keep.
type Rule string

const (
	TwiceRun     Rule = "a write ran twice"
	TwoCopies    Rule = "two copies of a request were out at once"
	Stale        Rule = "a read was answered from data older than its class allows"
	Drained      Rule = "work came to a drained or gone database"
	PushedOver   Rule = "a cold database was pushed over"
	TwoAnswers   Rule = "a request was answered twice"
	NoAnswer     Rule = "a request was never answered"
	WrongAnswer  Rule = "a request was served with what no database made for it"
	RefusedRan   Rule = "a write that ran was called refused"
	grace             = 50 * time.Millisecond // of each limit in time, as on sockets
	drainGrace        = 2 * time.Second
	breachesMost      = 100
)

// Breach is one breaking of a rule.
type Breach struct {
	At      time.Duration // after the beginning
	Rule    Rule
	Request string
	Who     string
}

func (b Breach) String() string {
	return fmt.Sprintf("%.3f s: %s: request %s, %s", b.At.Seconds(), b.Rule, b.Request, b.Who)
}

// Ledger notes what each request met with, and finds broken rules by itself: what ran where and how often, how many copies
// were out, and what its client was told. It is the loop's.
type Ledger struct {
	start    time.Duration
	requests map[string]*history
	Excused  bool                     // a pooler was killed or restarted: connections that end without an answer are no breach any more
	Breaches []Breach                 // the first hundred
	Broken   int                      // all
	Ran      int64                    // executions
	Writes   int64                    // ... of writes
	Lost     int64                    // ... of writes, at databases that wrongly took themselves for the primary
	told     map[string]time.Duration // by pooler and database: when it was told that it drains or is gone
}

type history struct {
	write   bool
	out     int
	ran     int
	answers int
	asked   bool
	refused bool
	given   bool // a database made an answer for it
}

func newLedger(start time.Duration) *Ledger {
	return &Ledger{start: start, requests: map[string]*history{}, told: map[string]time.Duration{}}
}

func (l *Ledger) breach(now time.Duration, rule Rule, request, who string) {
	l.Broken++
	if len(l.Breaches) < breachesMost {
		l.Breaches = append(l.Breaches, Breach{now - l.start, rule, request, who})
	}
}

func (l *Ledger) of(request string) *history {
	h := l.requests[request]
	if h == nil {
		h = &history{}
		l.requests[request] = h
	}
	return h
}

// Asked notes that a client has sent a request.
func (l *Ledger) Asked(request string) { l.of(request).asked = true }

// Arrived notes that a whole attempt has come to a database.
func (l *Ledger) Arrived(now time.Duration, request, pooler string, m *Member, write bool, class *scenario.Class) {
	h := l.of(request)
	h.write = h.write || write
	if h.out++; h.out > 1 {
		l.breach(now, TwoCopies, request, m.Name)
	}
	if at, told := l.told[pooler+" "+m.Name]; told && now > at+drainGrace+grace {
		l.breach(now, Drained, request, m.Name)
	}
	if class != nil && class.Kind == "bounded" && !write && !m.Leads() {
		if age := now - m.Position(); age > scenario.Millis(class.MaxAgeMS)+grace {
			l.breach(now, Stale, request, fmt.Sprintf("%s, %d ms old", m.Name, age.Milliseconds()))
		}
	}
}

// Executed notes that a request has run.
func (l *Ledger) Executed(now time.Duration, request string, m *Member, write bool) {
	l.Ran++
	h := l.of(request)
	h.given = true
	if !write {
		return
	}
	l.Writes++
	if m.usurps {
		l.Lost++
	}
	if h.ran++; h.ran > 1 {
		l.breach(now, TwiceRun, request, m.Name)
	}
	if h.refused {
		l.breach(now, RefusedRan, request, m.Name)
	}
}

// Over notes that an attempt is out no more: it was answered, or the pooler has given it up.
func (l *Ledger) Over(request string) {
	if h := l.of(request); h.out > 0 {
		h.out--
	}
}

// Reply is what a client was told.
type Reply uint8

const (
	Served Reply = iota
	Refused
	Failed
	Unanswered // by the time that it quit
	Broken     // the connection ended first
)

// Answered notes what a client was told. value is what it was served with, which begins with the request's name.
func (l *Ledger) Answered(now time.Duration, request string, r Reply, value string) {
	h := l.of(request)
	if h.answers++; h.answers > 1 {
		l.breach(now, TwoAnswers, request, "client")
	}
	switch r {
	case Served:
		if !h.given || len(value) < len(request) || value[:len(request)] != request {
			l.breach(now, WrongAnswer, request, fmt.Sprintf("%.40q", value))
		}
	case Broken:
		if !l.Excused {
			l.breach(now, NoAnswer, request, "client, whose connection ended")
		}
	case Refused:
		if h.refused = true; h.ran > 0 && h.write {
			l.breach(now, RefusedRan, request, "client")
		}
	}
}

// Unasked notes that a pooler has sent more than the one answer to a request, or what is none.
func (l *Ledger) Unasked(now time.Duration, request string) {
	l.breach(now, TwoAnswers, request, "client")
}

// Settle is called once all is over: what was asked and neither answered nor given up by its client is lost.
func (l *Ledger) Settle(now time.Duration) {
	for request, h := range l.requests {
		if h.asked && h.answers == 0 {
			l.breach(now, NoAnswer, request, "client")
		}
	}
}

// Told notes that a pooler was told of a database's state.
func (l *Ledger) Told(now time.Duration, pooler string, database string, serving bool) {
	key := pooler + " " + database
	if serving {
		delete(l.told, key)
	} else if _, already := l.told[key]; !already {
		l.told[key] = now
	}
}
