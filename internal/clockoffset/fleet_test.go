package clockoffset

import (
	"math/rand/v2"
	"time"
)

const (
	ms    = time.Millisecond
	epoch = 1_800_000_000 * time.Second
)

// fleet generates the samples that a process gets from databases whose clocks are ahead of its own by offset.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration // on the process's clock
	offset     time.Duration
	commits    float64       // share of the samples that are commits
	reports    float64       // share of the samples that are load reports
	skew       time.Duration // greatest difference between the databases' clocks
	corrupt    float64       // share of positions that are random
	primaryLag time.Duration // of the primary's position, unless it is a commit
	replicaLag time.Duration // greatest lag of replicas
}

// newFleet returns a fleet with a small clock skew, lagging replicas and no corrupt positions.
func newFleet(seed uint64, offset time.Duration) *fleet {
	return &fleet{
		rng: rand.New(rand.NewPCG(seed, 36)), now: epoch, offset: offset, commits: 0.2, reports: 0.4,
		skew: 3 * ms, replicaLag: 3 * time.Second,
	}
}

// upTo draws a duration from 0 to limit.
func (f *fleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit) + 1))
}

// sample returns the next sample. In one of ten samples, the request takes up to 2 s longer than usual.
func (f *fleet) sample() Sample {
	f.now += f.upTo(30 * ms)
	requestTime, answerTime := f.upTo(10*ms), f.upTo(10*ms)
	if f.rng.IntN(10) == 0 {
		requestTime += f.upTo(2 * time.Second)
	}
	sample := Sample{Kind: Primary, Sent: f.now, Received: f.now + requestTime + answerTime}
	position := sample.Sent + requestTime + f.offset
	switch draw := f.rng.Float64(); {
	case draw < f.commits:
		sample.Kind = Commit
	case draw < f.commits+f.reports:
		sample.Kind = Reported
		position -= f.upTo(f.replicaLag)
	default:
		position -= f.primaryLag
	}
	position += f.upTo(f.skew) - f.skew/2
	if f.rng.Float64() < f.corrupt {
		position = epoch + f.offset + time.Duration((f.rng.Float64()-0.5)*float64(4*time.Hour))
	}
	sample.Position = position.Truncate(ms)
	f.now = max(f.now, sample.Received-f.upTo(requestTime+answerTime))
	return sample
}

// addSamples adds count samples of the fleet to the estimator.
func (f *fleet) addSamples(estimator *Estimator, count int) {
	for range count {
		estimator.Add(f.sample())
	}
}
