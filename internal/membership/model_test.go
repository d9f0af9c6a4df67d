package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model check explores all interleavings of events in a cluster of three poolers. The poolers publish, crash and
// restart without a view. Correct and false failure reports occur, and the poolers refute the false ones. Each message
// may be late, duplicated or lost. Every state must satisfy the invariants, and from every state, exchanges between all
// live poolers must make their views converge.

// delivery is a message in transit to a member.
type delivery struct {
	to    int
	delta Delta
}

// modelMember is one pooler of the model.
type modelMember struct {
	up        bool
	view      *View
	publisher *Publisher
}

// model is a state of the cluster, with the events that led to it.
type model struct {
	members   [3]modelMember
	messages  []delivery
	clock     uint64 // source of incarnations
	remaining budget
	trace     []string
	// ended are the highest incarnations that each member knows to have ended, by name. Until it restarts, the member
	// must have no facts of them.
	ended [3]map[string]uint64
}

// budget is how often each event may still happen. It limits the state space.
type budget struct{ publish, crash, restart, falseReport, duplicate, lose, sync int }

// protocolRules define how members merge and refute. Planted faults change them.
type protocolRules struct {
	merge  func(view *View, delta Delta) Delta
	refute func(publisher *Publisher, delta Delta) bool
}

var correctRules = protocolRules{
	merge:  func(view *View, delta Delta) Delta { return view.Merge(now, delta) },
	refute: func(publisher *Publisher, delta Delta) bool { return publisher.Refute(now, delta) },
}

// newModel returns a model whose members know each other.
func newModel(events budget) *model {
	created := &model{remaining: events}
	for i := range created.members {
		created.start(i)
	}
	for i := range created.members {
		for j := range created.members {
			created.members[i].view.Merge(now, created.members[j].view.All())
		}
	}
	return created
}

func memberName(i int) string { return string(rune('a' + i)) }

// start starts a member with an empty view.
func (m *model) start(i int) {
	m.clock += 10
	publisher := NewPublisher(memberName(i), m.clock, DefaultBounds())
	m.members[i] = modelMember{true, NewView(DefaultBounds()), publisher}
	m.ended[i] = map[string]uint64{}
	m.members[i].view.Merge(now, publisher.Publish(now, publishedValues(0)))
}

// publishedValues returns values that differ for each n.
func publishedValues(n int) map[Key][]byte { return map[Key][]byte{{}: {byte('0' + n)}} }

func (m *model) clone() *model {
	copied := *m
	copied.messages = slices.Clone(m.messages)
	copied.trace = slices.Clip(m.trace)
	for i := range copied.members {
		member := &copied.members[i]
		if !member.up {
			continue
		}
		view := NewView(member.view.bounds)
		for name, original := range member.view.owners {
			owner := *original
			owner.facts = maps.Clone(original.facts)
			view.owners[name] = &owner
		}
		view.digest = member.view.digest
		publisher := *member.publisher
		publisher.published = maps.Clone(publisher.published)
		member.view, member.publisher = view, &publisher
		copied.ended[i] = maps.Clone(m.ended[i])
	}
	return &copied
}

// stateKey identifies a state, regardless of the order of its messages.
func (m *model) stateKey() string {
	var text strings.Builder
	fmt.Fprint(&text, m.clock, m.remaining)
	for i, member := range m.members {
		if member.up {
			publisher := member.publisher
			fmt.Fprint(&text, publisher.incarnation, publisher.sequence, member.view.All(), m.ended[i])
		}
		text.WriteByte('/')
	}
	var messages []string
	for _, message := range m.messages {
		messages = append(messages, fmt.Sprint(message))
	}
	slices.Sort(messages)
	fmt.Fprint(&text, messages)
	return text.String()
}

// receive merges a delta at a member. If the member refutes the delta, it sends its new facts and the changes to the
// other members.
func (m *model) receive(rules protocolRules, i int, delta Delta) {
	member := &m.members[i]
	changed := rules.merge(member.view, delta)
	for _, end := range changed.Ends {
		m.ended[i][end.Owner] = max(m.ended[i][end.Owner], end.Incarnation)
	}
	if !rules.refute(member.publisher, delta) {
		return
	}
	refutation := member.publisher.Publish(now, publishedValues(0))
	rules.merge(member.view, refutation)
	changed.Facts = append(changed.Facts, refutation.Facts...)
	if !changed.Empty() {
		m.send(i, changed)
	}
}

// send sends a delta to all other members that are up.
func (m *model) send(from int, delta Delta) {
	for i := range m.members {
		if i != from && m.members[i].up {
			m.messages = append(m.messages, delivery{i, delta})
		}
	}
}

// drop removes a message from those in transit.
func (m *model) drop(i int) { m.messages = slices.Delete(m.messages, i, i+1) }

// successors collects the states that are one event after a state.
type successors struct {
	from   *model
	rules  protocolRules
	states []*model
}

// add adds the state after the event, which apply carries out.
func (s *successors) add(event string, apply func(state *model)) {
	state := s.from.clone()
	state.trace = append(state.trace, event)
	apply(state)
	s.states = append(s.states, state)
}

// next returns all states after one more event.
func (m *model) next(rules protocolRules) []*model {
	following := &successors{from: m, rules: rules}
	for i, message := range m.messages {
		isEqual := func(other delivery) bool { return fmt.Sprint(message) == fmt.Sprint(other) }
		if m.members[message.to].up && !slices.ContainsFunc(m.messages[:i], isEqual) {
			following.addDeliveries(i, message)
		}
	}
	for i := range m.members {
		following.addOwnEvents(i)
		for j := range m.members {
			if m.members[i].up && i != j {
				following.addEventsBetween(i, j)
			}
		}
	}
	return following.states
}

// addDeliveries adds the states after the events of one message: its receipt, duplication or loss.
func (s *successors) addDeliveries(i int, message delivery) {
	to, delta := message.to, message.delta
	s.add(fmt.Sprintf("%s receives %v", memberName(to), delta), func(state *model) {
		state.drop(i)
		state.receive(s.rules, to, delta)
	})
	if s.from.remaining.duplicate > 0 {
		s.add(fmt.Sprintf("%s receives a copy of %v", memberName(to), delta), func(state *model) {
			state.remaining.duplicate--
			state.receive(s.rules, to, delta)
		})
	}
	if s.from.remaining.lose > 0 {
		s.add(fmt.Sprintf("%v to %s is lost", delta, memberName(to)), func(state *model) {
			state.remaining.lose--
			state.drop(i)
		})
	}
}

// addOwnEvents adds the states after a member's restart, publication or crash.
func (s *successors) addOwnEvents(i int) {
	isUp := s.from.members[i].up
	if !isUp && s.from.remaining.restart > 0 {
		s.add(memberName(i)+" restarts", func(state *model) {
			state.remaining.restart--
			state.start(i)
			state.send(i, state.members[i].view.All())
		})
	}
	if isUp && s.from.remaining.publish > 0 {
		s.add(memberName(i)+" publishes", func(state *model) {
			state.remaining.publish--
			delta := state.members[i].publisher.Publish(now, publishedValues(state.remaining.publish+1))
			state.receive(s.rules, i, delta)
			state.send(i, delta)
		})
	}
	if isUp && s.from.remaining.crash > 0 {
		s.add(memberName(i)+" crashes", func(state *model) {
			state.remaining.crash--
			state.members[i] = modelMember{}
		})
	}
}

// addEventsBetween adds the states after a member that is up reports another one as failed or synchronizes with it.
func (s *successors) addEventsBetween(own, other int) {
	incarnation, gone := s.from.members[own].view.Incarnation(memberName(other))
	otherIsUp := s.from.members[other].up
	if !gone && incarnation > 0 && (!otherIsUp || s.from.remaining.falseReport > 0) {
		s.add(fmt.Sprintf("%s reports %s as failed", memberName(own), memberName(other)), func(state *model) {
			if otherIsUp {
				state.remaining.falseReport--
			}
			delta := Delta{Ends: []End{{memberName(other), incarnation, now, false}}}
			state.receive(s.rules, own, delta)
			state.send(own, delta)
		})
	}
	if s.from.remaining.sync > 0 && otherIsUp {
		s.add(fmt.Sprintf("%s sends its summary to %s", memberName(own), memberName(other)), func(state *model) {
			state.remaining.sync--
			state.sync(s.rules, own, other)
		})
	}
}

// sync delivers to member i the entries of member j's view that it lacks.
func (m *model) sync(rules protocolRules, i, j int) {
	m.receive(rules, i, m.members[j].view.Missing(m.members[i].view.Summary()))
}

// violatedInvariant describes an invariant that the state violates; empty if there is none.
func (m *model) violatedInvariant() string {
	for i, member := range m.members {
		if !member.up {
			continue
		}
		if member.view.recount() != member.view.digest {
			return memberName(i) + "'s digest is not that of its view"
		}
		for name, owner := range member.view.owners {
			if owner.gone && len(owner.facts) > 0 {
				return memberName(i) + " has facts of a member that it knows to have ended"
			}
			for _, fact := range owner.facts {
				if fact.Incarnation <= m.ended[i][name] || fact.Incarnation != owner.incarnation {
					return memberName(i) + " has facts of an incarnation that has ended"
				}
			}
		}
	}
	return ""
}

// divergence makes all live members exchange their views until they converge, and report members that are down. It
// describes the remaining fault; empty if there is none.
func (m *model) divergence(rules protocolRules) string {
	state := m.clone()
	for range 6 {
		for i := range state.members {
			state.syncWithAll(rules, i)
		}
	}
	var first *View
	for i, member := range state.members {
		if !member.up {
			continue
		}
		if first == nil {
			first = member.view
		}
		if member.view.Digest() != first.Digest() {
			return "views differ"
		}
		for j := range state.members {
			if fault := state.viewFault(i, j, first); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// syncWithAll synchronizes a member that is up with all others that are up, and makes it report those that are down.
func (m *model) syncWithAll(rules protocolRules, i int) {
	for j, other := range m.members {
		if !m.members[i].up || i == j {
			continue
		}
		if other.up {
			m.sync(rules, i, j)
			continue
		}
		if incarnation, gone := m.members[i].view.Incarnation(memberName(j)); incarnation > 0 && !gone {
			m.receive(rules, i, Delta{Ends: []End{{memberName(j), incarnation, now, false}}})
		}
	}
}

// viewFault describes a fault in a member's view of another member or of itself; empty if there is none. First is the
// view of any live member, which must have the same facts.
func (m *model) viewFault(own, of int, first *View) string {
	member, other := m.members[own], m.members[of]
	incarnation, gone := member.view.Incarnation(memberName(of))
	if live := incarnation > 0 && !gone; live != other.up {
		return fmt.Sprintf("at %s, %s is live: %v", memberName(own), memberName(of), live)
	}
	if !other.up {
		return ""
	}
	isEqual := func(a, b Fact) bool { return a.hash() == b.hash() }
	if !slices.EqualFunc(member.view.FactsWithKey(Key{}), first.FactsWithKey(Key{}), isEqual) {
		return "facts differ between views"
	}
	if incarnation != other.publisher.incarnation {
		return memberName(of) + " is known by an ended incarnation"
	}
	if owner := member.view.owners[memberName(of)]; owner.facts[Key{}].Sequence != other.publisher.sequence {
		return fmt.Sprintf("%s has published facts that %s lacks", memberName(of), memberName(own))
	}
	return ""
}

// explore visits all states within the budget, up to a limit. It returns the number of visited states and, if a state
// is faulty, the events up to that state and a description of the fault.
func explore(events budget, rules protocolRules, limit int) (states int, trace []string) {
	seen := map[string]bool{}
	queue := []*model{newModel(events)}
	for len(queue) > 0 && states < limit {
		state := queue[0]
		queue = queue[1:]
		states++
		if fault := cmp.Or(state.violatedInvariant(), state.divergence(rules)); fault != "" {
			return states, append(state.trace, fault)
		}
		for _, next := range state.next(rules) {
			if key := next.stateKey(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return states, nil
}

// budgets limit the events of each model run. All states within a budget are explored.
var budgets = map[string]budget{
	"a crash and a restart":                       {publish: 1, crash: 1, restart: 1},
	"wrongly reported as failed":                  {publish: 1, falseReport: 1, sync: 1},
	"duplicated and lost":                         {publish: 2, duplicate: 1, lose: 1},
	"a crash, and one wrongly reported as failed": {crash: 1, restart: 1, falseReport: 1},
}

// All states satisfy the invariants and converge.
func TestModelSatisfiesInvariantsAndConverges(t *testing.T) {
	const limit = 200_000
	for name, events := range budgets {
		states, trace := explore(events, correctRules, limit)
		require.Empty(t, trace, "%s: %s", name, strings.Join(trace, "\n"))
		require.Less(t, states, limit, "%s: not explored completely", name)
		t.Logf("%s: %d states", name, states)
	}
}

// faultyRules are protocol rules with one planted fault each.
var faultyRules = map[string]protocolRules{
	"a late message removes an end": {correctRules.mergeAfter(func(view *View, delta Delta) {
		for _, fact := range delta.Facts {
			if owner := view.owners[fact.Owner]; owner != nil && owner.gone && owner.incarnation == fact.Incarnation {
				view.clearOwner(fact.Owner, owner)
				owner.gone = false
			}
		}
	}), correctRules.refute},
	"the last received fact wins, not the last published": {correctRules.mergeAfter(func(view *View, delta Delta) {
		for _, fact := range delta.Facts {
			owner := view.owners[fact.Owner]
			if owner != nil && owner.incarnation == fact.Incarnation && len(owner.facts) > 0 {
				view.digest -= owner.facts[fact.Key].hash()
				delete(owner.facts, fact.Key)
			}
		}
	}), correctRules.refute},
	"an older incarnation is accepted": {correctRules.mergeAfter(func(view *View, delta Delta) {
		for _, fact := range delta.Facts {
			if owner := view.owners[fact.Owner]; owner != nil && fact.Incarnation < owner.incarnation && !owner.gone {
				view.clearOwner(fact.Owner, owner)
				owner.incarnation = fact.Incarnation
			}
		}
	}), correctRules.refute},
	"an end counts for all incarnations": {correctRules.mergeAfter(func(view *View, delta Delta) {
		for i, end := range delta.Ends {
			if owner := view.owners[end.Owner]; owner != nil && !owner.gone {
				delta.Ends[i].Incarnation = max(end.Incarnation, owner.incarnation)
			}
		}
	}), func(*Publisher, Delta) bool { return false }},
	"no pooler refutes": {correctRules.merge, func(*Publisher, Delta) bool { return false }},
	"a refutation has the same incarnation": {correctRules.merge, func(publisher *Publisher, delta Delta) bool {
		if !publisher.Refute(now, delta) {
			return false
		}
		publisher.incarnation--
		return true
	}},
	"the digest is wrong after an end": {correctRules.mergeAfter(func(view *View, delta Delta) {
		if len(delta.Ends) > 0 {
			view.digest++
		}
	}), correctRules.refute},
}

// The model check finds each planted fault. Otherwise its invariants would be too weak.
func TestModelFindsFaults(t *testing.T) {
	for name, rules := range faultyRules {
		found := ""
		for _, events := range budgets {
			if states, trace := explore(events, rules, 20_000); trace != nil {
				found = fmt.Sprintf("%d states, %d steps: %s", states, len(trace)-1, trace[len(trace)-1])
				break
			}
		}
		require.NotEmpty(t, found, name)
		t.Logf("%s: found, %s", name, found)
	}
}

// mergeAfter returns a merge function that first applies the faulty change to the view and a copy of the delta.
func (r protocolRules) mergeAfter(faulty func(*View, Delta)) func(*View, Delta) Delta {
	return func(view *View, delta Delta) Delta {
		delta = Delta{slices.Clone(delta.Facts), slices.Clone(delta.Ends)}
		faulty(view, delta)
		return r.merge(view, delta)
	}
}
