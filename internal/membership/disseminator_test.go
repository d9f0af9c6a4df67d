package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const period = 200 * time.Millisecond

// crowd is many poolers in virtual time: what is sent in one period arrives in the next.
type crowd struct {
	now    time.Duration
	random *rand.Rand
	all    map[string]*Disseminator
	names  []string
	values map[string]map[Key][]byte
	loss   float64
	side   map[string]int // who is on another side of a cut cannot be reached
	bytes  int            // sent so far
	sent   []struct {
		from string
		m    Message
	}
}

func newCrowd(seed uint64, n, databases int) *crowd {
	c := &crowd{
		now: now, random: rand.New(rand.NewPCG(seed, 3)), all: map[string]*Disseminator{},
		values: map[string]map[Key][]byte{}, side: map[string]int{},
	}
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		c.names = append(c.names, name)
		c.values[name] = map[Key][]byte{{}: []byte("up")}
		for j := range databases {
			c.values[name][Key{KindDatabase, fmt.Sprintf("s-%08x", j)}] = []byte("ok")
		}
		c.start(name)
	}
	return c
}

func (c *crowd) start(name string) {
	a := NewPublisher(name, uint64(c.now.Milliseconds()), DefaultBounds())
	c.all[name] = NewDisseminator(NewView(DefaultBounds()), a, DefaultDisseminatorBounds(), c.random)
}

// step is one period.
func (c *crowd) step() {
	c.now += period
	arriving := c.sent
	c.sent = nil
	for _, s := range arriving {
		to := c.all[s.m.To]
		if to == nil || c.side[s.from] != c.side[s.m.To] {
			continue
		}
		if s.m.Summary != nil { // over a stream, which loses nothing; the asker hears at once
			d := to.Answer(s.m.Summary)
			c.weigh(Message{Updates: d})
			if asks := c.all[s.from]; asks != nil {
				asks.Receive(c.now, d)
				back := asks.Answer(to.View.Summary())
				c.weigh(Message{Updates: back})
				to.Receive(c.now, back)
			}
			continue
		}
		if c.random.Float64() >= c.loss {
			to.Receive(c.now, s.m.Updates)
		}
	}
	for _, name := range c.names {
		t := c.all[name]
		if t == nil {
			continue
		}
		var peers []string
		for _, other := range c.names {
			if other != name && c.all[other] != nil && c.side[other] == c.side[name] {
				peers = append(peers, other)
			}
		}
		for _, m := range t.NextMessages(c.now, c.values[name], peers) {
			c.weigh(m)
			c.sent = append(c.sent, struct {
				from string
				m    Message
			}{name, m})
		}
	}
}

func (c *crowd) weigh(m Message) {
	for _, f := range m.Updates.Facts {
		c.bytes += f.size()
	}
	for _, e := range m.Updates.Ends {
		c.bytes += e.size()
	}
	for name := range m.Summary {
		c.bytes += len(name) + 8
	}
}

// settle steps until all that can reach each other hold the same, with so many of them live, and returns the periods
// it took.
func (c *crowd) settle(t *testing.T, most int, live func(name string) int) int {
	t.Helper()
	for n := range most {
		digests, good := map[int]uint64{}, true
		for _, name := range c.names {
			if talk := c.all[name]; talk != nil {
				d, known := digests[c.side[name]]
				good = good && (!known || d == talk.View.Digest()) && len(talk.View.Live()) == live(name)
				digests[c.side[name]] = talk.View.Digest()
			}
		}
		if good {
			return n
		}
		c.step()
	}
	require.Fail(t, "not settled", "after %d periods", most)
	return most
}

// Hundreds of poolers settle after a start together, a change, a crash, a restart with nothing in mind, a cut and its
// end, with a tenth of the datagrams lost; what is found wrongly is refuted.
func TestCrowdSettles(t *testing.T) {
	for _, n := range []int{5, 30, 300} {
		c := newCrowd(uint64(n), n, 0)
		c.loss = 0.1
		all := func(string) int { return n }
		before := c.bytes
		report := func(what string, periods int) {
			t.Logf("%3d poolers, %s: %d periods (%.1f s), %.1f KB a pooler", n, what, periods,
				(time.Duration(periods) * period).Seconds(), float64(c.bytes-before)/1024/float64(n))
			before = c.bytes
		}
		report("started together", c.settle(t, 200, all))
		c.values["n001"][Key{}] = []byte("changed")
		c.step()
		report("a change", 1+c.settle(t, 200, all))
		delete(c.all, "n002")
		c.all["n000"].MarkFailed(c.now, "n002")
		report("a crash, found by one", c.settle(t, 200, func(string) int { return n - 1 }))
		c.start("n002")
		report("its restart", c.settle(t, 200, all))
		c.all["n000"].MarkFailed(c.now, "n003")
		c.step()
		report("found wrongly, and refuted", 1+c.settle(t, 200, all))
		half := n / 2
		for i, name := range c.names {
			if i < half {
				c.side[name] = 1
			}
		}
		for i, name := range c.names {
			if i == 0 || i == half { // one of each side finds all of the other gone
				for j, other := range c.names {
					if (i < half) != (j < half) {
						c.all[name].MarkFailed(c.now, other)
					}
				}
			}
		}
		report("a cut in two, each side by itself", c.settle(t, 400, func(name string) int {
			if c.side[name] == 1 {
				return half
			}
			return n - half
		}))
		clear(c.side)
		report("the cut is over", c.settle(t, 400, all))
		for range 50 {
			c.step()
		}
		report("the 10 s after", 50)
	}
}

// With facts of many databases each period stays within its bytes, and exchanges bring the rest in pieces.
func TestCrowdWithDatabases(t *testing.T) {
	c := newCrowd(1, 30, 120)
	periods := c.settle(t, 400, func(string) int { return 30 })
	t.Logf("30 poolers, 120 databases: %d periods, %.0f KB a pooler", periods, float64(c.bytes)/1024/30)
	for _, name := range c.names {
		for _, m := range c.all[name].NextMessages(c.now, c.values[name], c.names) {
			size := 0
			for _, f := range m.Updates.Facts {
				size += f.size()
			}
			require.LessOrEqual(t, size, DefaultDisseminatorBounds().UpdateBytes)
		}
	}
}
