package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model check explores all interleavings of a small world: three poolers that say things, crash, restart with
// nothing in mind, are found gone, rightly and wrongly, and refute it, while each message between two of them may be
// late, doubled or lost. Every state must keep the invariants, and from every state talk between all that live must
// settle it.

type message struct {
	to int
	d  Delta
}

type member struct {
	up        bool
	view      *View
	publisher *Publisher
}

type model struct {
	members  [3]member
	messages []message
	clock    uint64 // incarnations come from it
	left     budget
	trace    []string
	// What was known to be over at a member: it must never hold facts of these incarnations again, until it restarts.
	over [3]map[string]uint64
}

// budget is what may still happen, so that the world is small.
type budget struct{ say, crash, restart, wrong, double, lose, sync int }

// rules are what the members do; planted faults change them.
type rules struct {
	merge  func(v *View, d Delta) Delta
	refute func(a *Publisher, d Delta) bool
}

var sound = rules{
	merge:  func(v *View, d Delta) Delta { return v.Merge(now, d) },
	refute: func(a *Publisher, d Delta) bool { return a.Refute(now, d) },
}

func newModel(b budget) *model {
	m := &model{left: b}
	for i := range m.members {
		m.start(i)
	}
	for i := range m.members { // all have joined
		for j := range m.members {
			m.members[i].view.Merge(now, m.members[j].view.All())
		}
	}
	return m
}

func name(i int) string { return string(rune('a' + i)) }

func (m *model) start(i int) {
	m.clock += 10
	m.members[i] = member{true, NewView(DefaultBounds()), NewPublisher(name(i), m.clock, DefaultBounds())}
	m.over[i] = map[string]uint64{}
	m.members[i].view.Merge(now, m.members[i].publisher.Publish(now, values(0)))
}

func values(n int) map[Key][]byte { return map[Key][]byte{{}: {byte('0' + n)}} }

func (m *model) clone() *model {
	c := *m
	c.messages = slices.Clone(m.messages)
	c.trace = slices.Clip(m.trace)
	for i := range c.members {
		o := &c.members[i]
		if !o.up {
			continue
		}
		v := NewView(o.view.bounds)
		for n, w := range o.view.owners {
			k := *w
			k.facts = maps.Clone(w.facts)
			v.owners[n] = &k
		}
		v.digest = o.view.digest
		a := *o.publisher
		a.published = maps.Clone(a.published)
		o.view, o.publisher = v, &a
		c.over[i] = maps.Clone(m.over[i])
	}
	return &c
}

// text tells states apart. Messages to one member are alike in any order.
func (m *model) text() string {
	var b strings.Builder
	fmt.Fprint(&b, m.clock, m.left)
	for i, o := range m.members {
		if o.up {
			fmt.Fprint(&b, o.publisher.incarnation, o.publisher.sequence, o.view.All(), m.over[i])
		}
		b.WriteByte('/')
	}
	var texts []string
	for _, x := range m.messages {
		texts = append(texts, fmt.Sprint(x))
	}
	slices.Sort(texts)
	fmt.Fprint(&b, texts)
	return b.String()
}

// hear lets a member take in a delta, and tell on what was new.
func (m *model) hear(r rules, i int, d Delta, on bool) {
	o := &m.members[i]
	news := r.merge(o.view, d)
	for _, e := range news.Ends {
		m.over[i][e.Owner] = max(m.over[i][e.Owner], e.Incarnation)
	}
	if r.refute(o.publisher, d) {
		again := o.publisher.Publish(now, values(0))
		r.merge(o.view, again)
		news.Facts = append(news.Facts, again.Facts...)
		on = true
	}
	if on && !news.Empty() {
		m.tell(i, news)
	}
}

func (m *model) tell(from int, d Delta) {
	for j := range m.members {
		if j != from && m.members[j].up {
			m.messages = append(m.messages, message{j, d})
		}
	}
}

// next are all states one step on.
func (m *model) next(r rules) (states []*model) {
	step := func(what string, f func(c *model)) {
		c := m.clone()
		c.trace = append(c.trace, what)
		f(c)
		states = append(states, c)
	}
	for k, x := range m.messages {
		if k > 0 && slices.ContainsFunc(m.messages[:k], func(y message) bool { return fmt.Sprint(x) == fmt.Sprint(y) }) {
			continue
		}
		drop := func(c *model) { c.messages = slices.Delete(c.messages, k, k+1) }
		if !m.members[x.to].up {
			continue
		}
		step(fmt.Sprintf("%s hears %v", name(x.to), x.d), func(c *model) { drop(c); c.hear(r, x.to, x.d, false) })
		if m.left.double > 0 {
			step(fmt.Sprintf("%s hears a copy of %v", name(x.to), x.d), func(c *model) {
				c.left.double--
				c.hear(r, x.to, x.d, false)
			})
		}
		if m.left.lose > 0 {
			step(fmt.Sprintf("%v to %s is lost", x.d, name(x.to)), func(c *model) { c.left.lose--; drop(c) })
		}
	}
	for i, o := range m.members {
		switch {
		case !o.up && m.left.restart > 0:
			step(name(i)+" restarts", func(c *model) {
				c.left.restart--
				c.start(i)
				c.tell(i, c.members[i].view.All())
			})
		case !o.up:
		case m.left.say > 0:
			step(name(i)+" says something", func(c *model) {
				c.left.say--
				d := c.members[i].publisher.Publish(now, values(c.left.say+1))
				c.hear(r, i, d, false)
				c.tell(i, d)
			})
		}
		if o.up && m.left.crash > 0 {
			step(name(i)+" crashes", func(c *model) { c.left.crash--; c.members[i] = member{} })
		}
		for j := range m.members {
			if !o.up || i == j {
				continue
			}
			incarnation, gone := o.view.Incarnation(name(j))
			if !gone && incarnation > 0 && (!m.members[j].up || m.left.wrong > 0) {
				step(fmt.Sprintf("%s finds %s gone", name(i), name(j)), func(c *model) {
					if c.members[j].up {
						c.left.wrong--
					}
					d := Delta{Ends: []End{{name(j), incarnation, now, false}}}
					c.hear(r, i, d, false)
					c.tell(i, d)
				})
			}
			if m.left.sync > 0 && m.members[j].up {
				step(fmt.Sprintf("%s asks %s", name(i), name(j)), func(c *model) {
					c.left.sync--
					c.hear(r, i, c.members[j].view.Missing(c.members[i].view.Summary()), false)
				})
			}
		}
	}
	return states
}

// wrong tells which invariant a state breaks.
func (m *model) wrong() string {
	for i, o := range m.members {
		if !o.up {
			continue
		}
		if o.view.recount() != o.view.digest {
			return name(i) + "'s digest is not that of what it holds"
		}
		for n, w := range o.view.owners {
			if w.gone && len(w.facts) > 0 {
				return name(i) + " holds facts of one that it knows to be gone"
			}
			for _, f := range w.facts {
				if f.Incarnation <= m.over[i][n] || f.Incarnation != w.incarnation {
					return name(i) + " holds facts of an incarnation that was over"
				}
			}
		}
	}
	return ""
}

// unsettled lets all that live talk until nothing is news, with those that are down found gone, and tells what is
// wrong then.
func (m *model) unsettled(r rules) string {
	c := m.clone()
	c.messages = nil
	for range 6 {
		for i, o := range c.members {
			for j := range c.members {
				if !o.up || i == j {
					continue
				}
				if c.members[j].up {
					c.hear(r, i, c.members[j].view.Missing(c.members[i].view.Summary()), false)
				} else if incarnation, gone := o.view.Incarnation(name(j)); incarnation > 0 && !gone {
					c.hear(r, i, Delta{Ends: []End{{name(j), incarnation, now, false}}}, false)
				}
			}
		}
	}
	c.messages = nil
	var first *View
	for i, o := range c.members {
		if !o.up {
			continue
		}
		if first == nil {
			first = o.view
		}
		if o.view.Digest() != first.Digest() {
			return "views differ"
		}
		for j, other := range c.members {
			incarnation, gone := o.view.Incarnation(name(j))
			if live := incarnation > 0 && !gone; live != other.up {
				return fmt.Sprintf("at %s, %s lives: %v", name(i), name(j), live)
			}
			equal := func(a, b Fact) bool { return a.hash() == b.hash() }
			if other.up && !slices.EqualFunc(o.view.FactsUnder(Key{}), first.FactsUnder(Key{}), equal) {
				return "facts differ"
			}
			if other.up && incarnation != other.publisher.incarnation {
				return fmt.Sprintf("%s is known by an incarnation that is over", name(j))
			}
			if f := o.view.owners[name(j)]; other.up && f.facts[Key{}].Sequence != other.publisher.sequence {
				return fmt.Sprintf("%s has said more than %s knows", name(j), name(i))
			}
		}
	}
	return ""
}

// explore visits all states within the budget and returns how many there were, and the course to the first wrong one.
func explore(b budget, r rules, most int) (states int, course []string) {
	seen := map[string]bool{}
	queue := []*model{newModel(b)}
	for len(queue) > 0 && states < most {
		m := queue[0]
		queue = queue[1:]
		states++
		why := m.wrong()
		if why == "" {
			why = m.unsettled(r)
		}
		if why != "" {
			return states, append(m.trace, why)
		}
		for _, n := range m.next(r) {
			if t := n.text(); !seen[t] {
				seen[t] = true
				queue = append(queue, n)
			}
		}
	}
	return states, nil
}

// worlds are the budgets that are explored to their end.
var worlds = map[string]budget{
	"a crash and a restart":          {say: 1, crash: 1, restart: 1},
	"wrongly found gone":             {say: 1, wrong: 1, sync: 1},
	"doubled and lost":               {say: 2, double: 1, lose: 1},
	"a crash, and one wrongly found": {crash: 1, restart: 1, wrong: 1},
}

func TestModel(t *testing.T) {
	for what, b := range worlds {
		states, course := explore(b, sound, 200_000)
		require.Empty(t, course, "%s: %s", what, strings.Join(course, "\n"))
		require.Less(t, states, 200_000, "%s: not explored to its end", what)
		t.Logf("%s: %d states", what, states)
	}
}

// Faults that are planted in the rules are found.
func TestModelFindsFaults(t *testing.T) {
	for what, r := range map[string]rules{
		"an end is forgotten when a late message comes": {sound.after(func(v *View, d Delta) {
			for _, f := range d.Facts {
				if o := v.owners[f.Owner]; o != nil && o.gone && o.incarnation == f.Incarnation {
					v.clearOwner(f.Owner, o)
					o.gone = false
				}
			}
		}), sound.refute},
		"the last heard stands, not the last said": {sound.after(func(v *View, d Delta) {
			for _, f := range d.Facts {
				if o := v.owners[f.Owner]; o != nil && o.incarnation == f.Incarnation && len(o.facts) > 0 {
					v.digest -= o.facts[f.Key].hash()
					delete(o.facts, f.Key)
				}
			}
		}), sound.refute},
		"an older incarnation is heard": {sound.after(func(v *View, d Delta) {
			for _, f := range d.Facts {
				if o := v.owners[f.Owner]; o != nil && f.Incarnation < o.incarnation && !o.gone {
					v.clearOwner(f.Owner, o)
					o.incarnation = f.Incarnation
				}
			}
		}), sound.refute},
		"an end counts for all incarnations": {sound.after(func(v *View, d Delta) {
			for i, e := range d.Ends {
				if o := v.owners[e.Owner]; o != nil && !o.gone {
					d.Ends[i].Incarnation = max(e.Incarnation, o.incarnation)
				}
			}
		}), func(a *Publisher, d Delta) bool { return false }},
		"nobody refutes": {sound.merge, func(*Publisher, Delta) bool { return false }},
		"one refutes with the same incarnation": {sound.merge, func(a *Publisher, d Delta) bool {
			if !a.Refute(now, d) {
				return false
			}
			a.incarnation--
			return true
		}},
		"a digest that is not kept up": {sound.after(func(v *View, d Delta) {
			if len(d.Ends) > 0 {
				v.digest++
			}
		}), sound.refute},
	} {
		found := ""
		for _, b := range worlds {
			if states, course := explore(b, r, 20_000); course != nil {
				found = fmt.Sprintf("%d states, %d steps: %s", states, len(course)-1, course[len(course)-1])
				break
			}
		}
		require.NotEmpty(t, found, what)
		t.Logf("%s: found, %s", what, found)
	}
}

// after returns a merge with something wrong done before it.
func (r rules) after(first func(*View, Delta)) func(*View, Delta) Delta {
	return func(v *View, d Delta) Delta {
		d = Delta{slices.Clone(d.Facts), slices.Clone(d.Ends)}
		first(v, d)
		return r.merge(v, d)
	}
}
