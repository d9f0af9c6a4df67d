package intake

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/statement"
	"capercove/routing"
)

// routeWritesAsReads is the value of statement.Config.Writes that routes a statement labelled as a write as a read if
// it certainly only reads.
const routeWritesAsReads = "read"

// statementReader analyses statements, to find those whose labels are wrong.
type statementReader struct {
	config       statement.Config
	analyser     *statement.Analyser
	fingerprints *statement.FingerprintCache
	log          zerolog.Logger
	logInterval  time.Duration // least time between two log lines
	lastLogged   time.Duration // on the core's clock
	counters     StatementCounters
}

// StatementCounters count the analysed statements. Operators see them under the names of the fields.
type StatementCounters struct {
	Read       int64            // statements that were analysed
	Kinds      map[string]int64 // the same, by kind
	MayWrite   int64            // labelled as reads that may write
	OnlyRead   int64            // labelled as writes that certainly only read
	Forged     int64            // with a label inside a string or another comment
	Unreadable int64            // in which the analyser cannot find the ends of strings and comments
	ToPrimary  int64            // labelled as reads and routed as writes
	ToReplicas int64            // labelled as writes and routed as reads

	Shapes, Bytes         int   // number of fingerprints in the cache, and its size in bytes
	Hits, Misses, Evicted int64 // of the cache
}

// ConfigureStatements sets how later statements are analysed. bounds limits the cache of fingerprints and how often
// disagreements are logged. With mode off, statements are not analysed and the cache and the counters are dropped;
// otherwise an existing cache is reused, with its first bounds.
func (in *Intake) ConfigureStatements(
	config statement.Config, bounds limits.Statements, seed uint64, log zerolog.Logger,
) {
	in.core.EnableStatementRouting(config.Enforced())
	if !config.Enabled() {
		in.reader = nil
		return
	}
	if in.reader == nil {
		in.reader = &statementReader{
			fingerprints: statement.NewFingerprintCache(bounds.CacheBytes, seed),
			log:          log,
			logInterval:  bounds.LogInterval,
			counters:     StatementCounters{Kinds: map[string]int64{}},
		}
	}
	in.reader.config, in.reader.analyser = config, statement.New(config.Rules())
}

// StatementCounters returns a copy of the counters, or nil if statements are not analysed.
func (in *Intake) StatementCounters() *StatementCounters {
	if in.reader == nil {
		return nil
	}
	counters, cache := in.reader.counters, in.reader.fingerprints
	counters.Kinds = maps.Clone(counters.Kinds)
	counters.Shapes, counters.Bytes = cache.Len(), cache.Bytes()
	counters.Hits, counters.Misses, counters.Evicted = cache.Hits, cache.Misses, cache.Evicted
	return &counters
}

// TopFingerprints returns the first fingerprints in an order, at most limit; nil if statements are not analysed.
func (in *Intake) TopFingerprints(by statement.Order, limit int) []statement.Fingerprint {
	if in.reader == nil {
		return nil
	}
	return in.reader.fingerprints.Top(by, limit)
}

// routeByStatement analyses the statement of a request, and sets the request's route and expected work accordingly.
// class is the class that the label names. It returns a Problem if the label is forged and the mode is enforce.
func (in *Intake) routeByStatement(input *Input, class *routing.Class, request *core.Request) *Problem {
	reader := in.reader
	info, fingerprint := reader.analyse(input.SQL)
	enforced := reader.config.Enforced()
	if input.LabelOffset > 0 && !endsInLabel(&info, input.LabelOffset) {
		reader.counters.Forged++
		if enforced {
			return &Problem{FieldLabel, "the comment that tells id and class is a part of something else"}
		}
	}
	request.CostObserver = fingerprint
	mayWrite := info.MayWrite || input.IsUpdate
	labelledWrite := class.Read == routing.Write
	switch {
	case mayWrite && !labelledWrite:
		reader.counters.MayWrite++
		reader.recordDisagreement(in.core.Now(), input.Class, fingerprint, &info)
		if enforced {
			reader.counters.ToPrimary++
			request.Route = core.AsWrite
			request.Session = input.SessionKey
		}
	case !mayWrite && labelledWrite:
		reader.counters.OnlyRead++
		reader.recordDisagreement(in.core.Now(), input.Class, fingerprint, &info)
		if enforced && reader.config.Writes == routeWritesAsReads {
			reader.counters.ToReplicas++
			request.Route = core.AsRead
		}
	}
	if enforced {
		if typical, _, _, ok := fingerprint.Cost.Estimate(); ok {
			request.ExpectedWork = typical
		}
	}
	return nil
}

// analyse analyses a statement and counts it, in total and with its fingerprint.
func (r *statementReader) analyse(sql string) (statement.Info, *statement.Fingerprint) {
	info := r.analyser.Analyse(sql)
	fingerprint := r.fingerprints.Get(r.analyser.Fingerprint(), &info)
	fingerprint.Calls++
	r.counters.Read++
	r.counters.Kinds[info.Kind.String()]++
	if info.Why == statement.Unreadable {
		r.counters.Unreadable++
	}
	return info, fingerprint
}

// endsInLabel reports whether the comment at labelOffset ends the statement. A label elsewhere may be part of a value
// that users of the client have supplied.
func endsInLabel(info *statement.Info, labelOffset int) bool {
	return info.CommentAtEnd && info.Comment.Start == labelOffset
}

// recordDisagreement counts a label that disagrees with its statement, and logs it unless another was logged within
// logInterval. Each fingerprint is logged at most once.
func (r *statementReader) recordDisagreement(
	now time.Duration, class string, fingerprint *statement.Fingerprint, info *statement.Info,
) {
	fingerprint.Disagreed++
	if fingerprint.Logged || now-r.lastLogged < r.logInterval {
		return
	}
	fingerprint.Logged = true
	r.lastLogged = now
	r.log.Warn().
		Str("class", class).
		Str("shape", fingerprint.Text).
		Stringer("kind", info.Kind).
		Stringer("why", info.Why).
		Bool("enforced", r.config.Enforced()).
		Msg("statements: label does not match the statement")
}
