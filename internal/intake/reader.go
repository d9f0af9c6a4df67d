package intake

import (
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/statement"
	"capercove/routing"
)

// reader reads the statements themselves, where the label is not to be believed.
type reader struct {
	config   statement.Config
	analyser *statement.Analyser
	shapes   *statement.Fingerprints
	log      zerolog.Logger
	every    time.Duration // at most one line in so long
	logged   time.Duration
	count    Readings
}

// Readings count what was read.
type Readings struct {
	Read       int64            // statements
	Kinds      map[string]int64 // of them, by kind
	MayWrite   int64            // labelled as reads, that may write
	OnlyRead   int64            // labelled as writes, that surely read
	Forged     int64            // whose comment with the label is not one, but a part of a string or of another comment
	Unreadable int64
	ToPrimary  int64 // routed otherwise than labelled: as writes
	ToReplicas int64 // ... as reads

	Shapes, Bytes         int
	Hits, Misses, Evicted int64
}

// Statements lets statements be read from now on by these rules, in a cache of so many bytes; with mode off they are not.
// What is known of shapes stays.
func (in *Intake) Statements(c statement.Config, bytes int, seed uint64, every time.Duration, log zerolog.Logger) {
	in.core.EnableStatementRouting(c.Enforced())
	if !c.On() {
		in.reader = nil
		return
	}
	if in.reader == nil {
		in.reader = &reader{
			shapes: statement.NewFingerprints(bytes, seed), log: log, every: every,
			count: Readings{Kinds: map[string]int64{}},
		}
	}
	in.reader.config, in.reader.analyser = c, statement.New(c.Rules())
}

// Readings returns what was read, nil if nothing is.
func (in *Intake) Readings() *Readings {
	if in.reader == nil {
		return nil
	}
	c, s := in.reader.count, in.reader.shapes
	c.Kinds = map[string]int64{}
	for kind, n := range in.reader.count.Kinds {
		c.Kinds[kind] = n
	}
	c.Shapes, c.Bytes, c.Hits, c.Misses, c.Evicted = s.Len(), s.Bytes(), s.Hits, s.Misses, s.Evicted
	return &c
}

// Top returns the first shapes in an order, nil if statements are not read.
func (in *Intake) Top(by statement.Order, most int) []statement.Fingerprint {
	if in.reader == nil {
		return nil
	}
	return in.reader.shapes.Top(by, most)
}

// read looks at the statement of a request and says how it is to be routed.
func (in *Intake) read(a *Input, class *routing.Class, q *core.Request) *Problem {
	r := in.reader
	info := r.analyser.Read(a.SQL)
	shape := r.shapes.Get(r.analyser.Fingerprint(), &info)
	shape.Calls++
	r.count.Read++
	r.count.Kinds[info.Kind.String()]++
	if info.Why == statement.Unreadable {
		r.count.Unreadable++
	}
	if a.Label > 0 && !(info.Tail && info.Comment.Start == a.Label) { // Against a label smuggled in by a value.
		r.count.Forged++
		if r.config.Enforced() {
			return &Problem{FieldLabel, "the comment that tells id and class is a part of something else"}
		}
	}
	mayWrite := info.MayWrite || a.Update
	q.CostObserver = shape
	switch labelled := class.Read == routing.Write; {
	case mayWrite && !labelled:
		r.count.MayWrite++
		r.disagrees(in.core.Now(), a.Class, shape, &info)
		if r.config.Enforced() {
			r.count.ToPrimary++
			q.Route, q.Session = core.AsWrite, a.Key
		}
	case !mayWrite && labelled:
		r.count.OnlyRead++
		r.disagrees(in.core.Now(), a.Class, shape, &info)
		if r.config.Enforced() && r.config.Writes == "read" {
			r.count.ToReplicas++
			q.Route = core.AsRead
		}
	}
	if r.config.Enforced() {
		if typical, _, _, ok := shape.Cost.Estimate(); ok {
			q.ExpectedWork = typical
		}
	}
	return nil
}

// disagrees notes a label that is not what was read. Each shape is logged once, as far as the pace allows.
func (r *reader) disagrees(now time.Duration, class string, s *statement.Fingerprint, info *statement.Info) {
	s.Disagreed++
	if s.Logged || now-r.logged < r.every {
		return
	}
	s.Logged, r.logged = true, now
	r.log.Warn().Str("class", class).Str("shape", s.Text).Stringer("kind", info.Kind).Stringer("why", info.Why).
		Bool("enforced", r.config.Enforced()).Msg("statements: the label is not what the statement does")
}
