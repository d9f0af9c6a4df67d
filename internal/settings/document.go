package settings

import (
	"math"
	"time"
)

// document has the keys of the JSON text that are used; other keys are ignored. Fields that have the names of fields of
// routing.Settings and routing.Class are documented there.
type document struct {
	Routers    int        `json:"balancers"`
	Projects   []project  `json:"projects"`
	OverQuota  float64    `json:"overShareWorth"`
	Membership string     `json:"membershipMode"`
	Zones      []string   `json:"zones"`
	Classes    []class    `json:"lanes"`
	Extra      extra      `json:"extra"`
	Feedback   feedback   `json:"feedback"`
	Allowed    allowances `json:"allowed"`
	Rules      rules      `json:"rules"`
}

// project is one tenant.
type project struct {
	Quota float64 `json:"quotaPerS"` // requests per second
}

// class is one class of requests.
type class struct {
	Name             string       `json:"name"`
	LatencyObjective milliseconds `json:"aimMs"`
	ObjectivePerWork float64      `json:"aimStretch"`
	Deadline         milliseconds `json:"deadlineMs"`
	DedupWindow      milliseconds `json:"dedupWindowMs"`
	Effect           string       `json:"idempotency"`
	DedupGroup       string       `json:"group"`
	Weight           float64      `json:"credit"`
	LateWeight       float64      `json:"lateValue"`
}

// extra holds the settings of the freshness of reads.
type extra struct {
	StaleReads   string         `json:"behind"`
	MaxAge       []milliseconds `json:"maxAgeMs"`  // by class, in order; the last classes may have none
	ReadKinds    []string       `json:"classRead"` // by class, in order
	ListRole     string         `json:"listRole"`
	SessionMarks string         `json:"sessionMarks"`
	Origin       milliseconds   `json:"originTimeMs"`
}

// feedback describes the load reports of databases.
type feedback struct {
	Fields []string `json:"fields"` // of a load report, in order
}

// allowances hold the permissions and bounds of routers, and the timeouts of connections.
type allowances struct {
	Cancel         bool         `json:"cancel"`
	MaxAttempts    int          `json:"sendCap"`
	MaxRetryAfter  milliseconds `json:"maxRetryAfterMs"`
	Probes         bool         `json:"probes"`
	Hedges         bool         `json:"secondCopies"`
	ConnectTimeout milliseconds `json:"connectTimeoutMs"`
	Keepalive      milliseconds `json:"keepaliveMs"`
	Streams        *int         `json:"streamsPerConn"` // nil: not limited
}

// streams returns how many attempts one connection may carry at once; 0: any number.
func (a *allowances) streams() int {
	if a.Streams == nil {
		return 0
	}
	return *a.Streams
}

// rules hold the times and bounds of the endpoint list, of slow start and of overload.
type rules struct {
	PollWithin       milliseconds `json:"askWithinMs"`
	SlowStartShare   float64      `json:"coldFrom"`
	SlowStartTime    milliseconds `json:"coldMs"`
	DrainGrace       milliseconds `json:"drainGraceMs"`
	OverloadMultiple float64      `json:"tipMultiple"`
	OverloadWindow   milliseconds `json:"fallMs"`
	MayUseGoneNodes  bool         `json:"drainBindsAlone"`
}

// milliseconds is a duration in the JSON text. It may have a fraction.
type milliseconds float64

// duration returns the duration, rounded to nanoseconds.
func (m milliseconds) duration() time.Duration {
	return time.Duration(math.Round(float64(m) * float64(time.Millisecond)))
}
