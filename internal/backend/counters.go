package backend

// Counters count connections to databases and their failures since the start of the pool. Readers of the log depend on
// the JSON names.
type Counters struct {
	Dials       int64 // connections that were dialed
	DialsFailed int64 // dials and startups that failed or took too long
	Reused      int64 // idle connections that carried another job

	Stale   int64 // idle connections that a job could not use: too old, closed by the database, or to an old address
	Expired int64 // idle connections that were closed because of their age or because their database was excluded
	Evicted int64 // idle connections that were closed because the limit of connections was reached
	// OverIdleLimit counts idle connections that were closed because LimitIdle lowered the limit.
	OverIdleLimit int64 `json:"Divided"`

	TooLate int64 // attempts that got a connection when they could no longer be sent
	Capped  int64 // jobs that got no connection because the limit of connections was reached

	UnexpectedInput int64 `json:"Unasked"` // connections closed because bytes arrived that belong to no answer
	BadReplies      int64 // replies that could not be parsed or could not be the answer to their statement
	Streamed        int64 `json:"Long"` // long answers, which are passed to the client in pieces

	LocalShortages int64 `json:"Short"` // failures because this machine lacked a resource
	Unreachable    int64 // dials that failed because no packet could be sent to the address
}
