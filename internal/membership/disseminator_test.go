package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const period = 200 * time.Millisecond

// cluster simulates poolers in virtual time. Messages that are sent in one period arrive in the next.
type cluster struct {
	now     time.Duration
	random  *rand.Rand
	running map[string]*Disseminator
	names   []string
	values  map[string]map[Key][]byte
	loss    float64        // probability that an update message is lost
	side    map[string]int // side of a network partition; poolers on different sides cannot reach each other
	bytes   int            // sent so far
	sent    []sentMessage  // in transit
}

// sentMessage is a message in transit.
type sentMessage struct {
	from    string
	message Message
}

func newCluster(seed uint64, poolers, databases int) *cluster {
	created := &cluster{
		now: now, random: rand.New(rand.NewPCG(seed, 3)), running: map[string]*Disseminator{},
		values: map[string]map[Key][]byte{}, side: map[string]int{},
	}
	for i := range poolers {
		name := fmt.Sprintf("n%03d", i)
		created.names = append(created.names, name)
		created.values[name] = map[Key][]byte{{}: []byte("up")}
		for j := range databases {
			created.values[name][Key{KindDatabase, fmt.Sprintf("s-%08x", j)}] = []byte("ok")
		}
		created.start(name)
	}
	return created
}

// start starts or restarts a pooler with an empty view.
func (c *cluster) start(name string) {
	publisher := NewPublisher(name, uint64(c.now.Milliseconds()), DefaultBounds())
	c.running[name] = NewDisseminator(NewView(DefaultBounds()), publisher, DefaultDisseminatorBounds(), c.random)
}

// step runs one period.
func (c *cluster) step() {
	c.now += period
	arriving := c.sent
	c.sent = nil
	for _, sent := range arriving {
		c.deliver(sent)
	}
	for _, name := range c.names {
		if c.running[name] == nil {
			continue
		}
		for _, message := range c.running[name].NextMessages(c.now, c.values[name], c.peers(name)) {
			c.countBytes(message)
			c.sent = append(c.sent, sentMessage{name, message})
		}
	}
}

// deliver delivers a message, unless its receiver cannot be reached or it is lost.
func (c *cluster) deliver(sent sentMessage) {
	receiver := c.running[sent.message.To]
	if receiver == nil || c.side[sent.from] != c.side[sent.message.To] {
		return
	}
	if sent.message.Summary != nil { // sent over a stream: not lost, and answered at once
		c.exchange(sent, receiver)
		return
	}
	if c.random.Float64() >= c.loss {
		receiver.Receive(c.now, sent.message.Updates)
	}
}

// exchange answers a summary. The sender of the summary then sends the entries that the receiver lacks.
func (c *cluster) exchange(sent sentMessage, receiver *Disseminator) {
	answer := receiver.Answer(sent.message.Summary)
	c.countBytes(Message{Updates: answer})
	sender := c.running[sent.from]
	if sender == nil {
		return
	}
	sender.Receive(c.now, answer)
	reply := sender.Answer(receiver.View.Summary())
	c.countBytes(Message{Updates: reply})
	receiver.Receive(c.now, reply)
}

// peers returns the running poolers that a pooler can reach.
func (c *cluster) peers(name string) (peers []string) {
	for _, other := range c.names {
		if other != name && c.running[other] != nil && c.side[other] == c.side[name] {
			peers = append(peers, other)
		}
	}
	return peers
}

func (c *cluster) countBytes(message Message) {
	c.bytes += factBytes(message.Updates.Facts)
	for _, end := range message.Updates.Ends {
		c.bytes += end.size()
	}
	for name := range message.Summary {
		c.bytes += len(name) + 8
	}
}

// factBytes returns the approximate encoded size of facts.
func factBytes(facts []Fact) (size int) {
	for _, fact := range facts {
		size += fact.size()
	}
	return size
}

// converge steps until all poolers on each side have equal views with the expected number of live poolers. It returns
// the number of periods that this took.
func (c *cluster) converge(t *testing.T, maxPeriods int, live func(name string) int) int {
	t.Helper()
	for periods := range maxPeriods {
		if c.converged(live) {
			return periods
		}
		c.step()
	}
	require.Fail(t, "not converged", "after %d periods", maxPeriods)
	return maxPeriods
}

// converged reports whether all poolers on each side have equal views with the expected number of live poolers.
func (c *cluster) converged(live func(name string) int) bool {
	digests := map[int]uint64{} // by side
	for _, name := range c.names {
		if c.running[name] == nil {
			continue
		}
		view := c.running[name].View
		digest, known := digests[c.side[name]]
		if known && digest != view.Digest() || len(view.Live()) != live(name) {
			return false
		}
		digests[c.side[name]] = view.Digest()
	}
	return true
}

// partition divides the poolers into two sides at an index. One pooler of each side detects that the poolers on the
// other side no longer answer.
func (c *cluster) partition(at int) {
	for _, name := range c.names[:at] {
		c.side[name] = 1
	}
	for _, other := range c.names[at:] {
		c.running[c.names[0]].MarkFailed(c.now, other)
	}
	for _, other := range c.names[:at] {
		c.running[c.names[at]].MarkFailed(c.now, other)
	}
}

// Up to 300 poolers converge after a common start, a change, a crash, a restart without a view, a network partition and
// its end, while a tenth of the update messages is lost. A running pooler that is reported as failed refutes the
// report.
func TestClusterConverges(t *testing.T) {
	for _, size := range []int{5, 30, 300} {
		t.Run(fmt.Sprint(size, " poolers"), func(t *testing.T) { runClusterFaults(t, size) })
	}
}

func runClusterFaults(t *testing.T, size int) {
	t.Helper()
	poolers := newCluster(uint64(size), size, 0)
	poolers.loss = 0.1
	all := func(string) int { return size }
	before := poolers.bytes
	report := func(event string, periods int) {
		t.Logf("%3d poolers, %s: %d periods (%.1f s), %.1f KB a pooler", size, event, periods,
			(time.Duration(periods) * period).Seconds(), float64(poolers.bytes-before)/1024/float64(size))
		before = poolers.bytes
	}
	report("started together", poolers.converge(t, 200, all))
	poolers.values["n001"][Key{}] = []byte("changed")
	poolers.step()
	report("a changed value", 1+poolers.converge(t, 200, all))
	delete(poolers.running, "n002")
	poolers.running["n000"].MarkFailed(poolers.now, "n002")
	report("a crash, detected by one pooler", poolers.converge(t, 200, func(string) int { return size - 1 }))
	poolers.start("n002")
	report("the restart after the crash", poolers.converge(t, 200, all))
	poolers.running["n000"].MarkFailed(poolers.now, "n003")
	poolers.step()
	report("a false failure report and its refutation", 1+poolers.converge(t, 200, all))
	half := size / 2
	poolers.partition(half)
	report("a partition, each side separately", poolers.converge(t, 400, func(name string) int {
		if poolers.side[name] == 1 {
			return half
		}
		return size - half
	}))
	clear(poolers.side)
	report("the end of the partition", poolers.converge(t, 400, all))
	for range 50 {
		poolers.step()
	}
	report("the next 10 s", 50)
}

// With facts about many databases, the updates of each message stay within UpdateBytes, and the answers to summaries
// bring the remaining facts in parts.
func TestUpdatesOnManyDatabasesAreBounded(t *testing.T) {
	poolers := newCluster(1, 30, 120)
	periods := poolers.converge(t, 400, func(string) int { return 30 })
	t.Logf("30 poolers, 120 databases: %d periods, %.0f KB a pooler", periods, float64(poolers.bytes)/1024/30)
	for _, name := range poolers.names {
		messages := poolers.running[name].NextMessages(poolers.now, poolers.values[name], poolers.names)
		for _, message := range messages {
			require.LessOrEqual(t, factBytes(message.Updates.Facts), DefaultDisseminatorBounds().UpdateBytes)
		}
	}
}
