package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// DisseminatorBounds are how much a pooler says.
type DisseminatorBounds struct {
	Peers      int           // that are told news in one period
	News       int           // bytes of news for each of them: what a datagram holds
	Exchange   int           // bytes of one answer to a summary, over a stream
	Every      time.Duration // a summary is sent to somebody this often
	Remembered int           // news that wait to be told; beyond that the ones told most often are left to the exchanges
}

// DefaultDisseminatorBounds is for some 300 poolers and periods of 200 ms.
func DefaultDisseminatorBounds() DisseminatorBounds {
	return DisseminatorBounds{Peers: 3, News: 1200, Exchange: 256 << 10, Every: 2 * time.Second, Remembered: 4096}
}

// Message is what one pooler sends another.
type Message struct {
	To      string
	News    Delta
	Summary map[string]uint64 // asks for what it lacks; nil: asks for nothing
}

// news is one fact or end that is still told on.
type news struct {
	one  Delta
	size int
	told int
}

// Disseminator decides what a pooler tells whom: news to a few peers a period, each as often as it takes to reach all, and a summary to
// one peer now and then, so that what was lost is made good and sides of a cut that is over find together. It is pure: the
// time, the peers and chance are handed to it.
type Disseminator struct {
	View      *View
	Publisher *Publisher

	bounds DisseminatorBounds
	random *rand.Rand
	news   []news
	asked  time.Duration // when a summary was last sent
	from   int           // where the next answer to a summary begins
	left   bool          // the pooler has said that it ends
}

// NewDisseminator returns the talk of a pooler that knows nothing yet.
func NewDisseminator(v *View, a *Publisher, b DisseminatorBounds, random *rand.Rand) *Disseminator {
	return &Disseminator{View: v, Publisher: a, bounds: b, random: random}
}

// Receive takes in what a peer tells. What is new is told on; what tells of the pooler itself is refuted.
func (t *Disseminator) Receive(now time.Duration, d Delta) {
	t.tell(t.View.Merge(now, d))
	if !t.left {
		t.Publisher.Refute(now, d) // what it says from then on is said in the next period
	}
}

// Leave says that the pooler ends, and returns that for all whom it reaches at once. Nothing else is said from then on.
func (t *Disseminator) Leave(now time.Duration) Delta {
	t.left = true
	d := t.Publisher.Leave(now)
	t.tell(t.View.Merge(now, d))
	return d
}

func (t *Disseminator) tell(d Delta) {
	for _, f := range d.Facts {
		t.news = append(t.news, news{Delta{Facts: []Fact{f}}, f.size(), 0})
	}
	for _, e := range d.Ends {
		t.news = append(t.news, news{Delta{Ends: []End{e}}, e.size(), 0})
	}
}

// Found takes in that the pooler itself has found the present incarnation of another to be gone.
func (t *Disseminator) Found(now time.Duration, name string) {
	if incarnation, gone := t.View.Incarnation(name); incarnation > 0 && !gone {
		t.tell(t.View.Merge(now, Delta{Ends: []End{{Owner: name, Incarnation: incarnation, At: now}}}))
	}
}

// Period is what is sent in one period: values are what the pooler says of itself and of databases now, peers are those that it
// may reach.
func (t *Disseminator) Period(now time.Duration, values map[Key][]byte, peers []string) (out []Message) {
	if !t.left {
		t.tell(t.View.Merge(now, t.Publisher.Publish(now, values)))
	}
	if len(peers) == 0 {
		return nil
	}
	// Told least first: fresh news goes before what most have heard.
	slices.SortStableFunc(t.news, func(a, b news) int { return cmp.Compare(a.told, b.told) })
	t.news = t.news[:min(len(t.news), t.bounds.Remembered)]
	for _, i := range t.random.Perm(len(peers))[:min(t.bounds.Peers, len(peers))] {
		m, left := Message{To: peers[i]}, t.bounds.News
		for k := range t.news {
			n := &t.news[k]
			if n.size > left {
				continue
			}
			left -= n.size
			n.told++
			m.News.Facts = append(m.News.Facts, n.one.Facts...)
			m.News.Ends = append(m.News.Ends, n.one.Ends...)
		}
		if !m.News.Empty() {
			out = append(out, m)
		}
	}
	often := 2 * bits.Len(uint(len(peers))) // as epidemics go: a few times the logarithm reaches nearly all
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return n.told >= often })
	if now-t.asked >= t.bounds.Every {
		t.asked = now
		out = append(out, Message{To: peers[t.random.IntN(len(peers))], Summary: t.View.Summary()})
	}
	return out
}

// Answer is what one with that summary lacks, as much as one answer holds: it begins at another place each time, so that who
// asks often enough gets all.
func (t *Disseminator) Answer(summary map[string]uint64) (d Delta) {
	missing := t.View.Missing(summary)
	d.Ends = missing.Ends
	left := t.bounds.Exchange
	for range len(missing.Facts) {
		f := missing.Facts[t.from%len(missing.Facts)]
		if left -= f.size(); left < 0 {
			break
		}
		t.from++
		d.Facts = append(d.Facts, f)
	}
	return d
}
