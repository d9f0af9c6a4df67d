package clockoffset

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms    = time.Millisecond
	epoch = 1_800_000_000 * time.Second
)

// fleet makes samples as databases give them to a process whose clock is behind theirs by an offset.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration // of the process
	offset   time.Duration
	commits  float64 // share of the answers
	reports  float64
	skew     time.Duration // databases' clocks differ by up to this
	spoilt   float64       // share of positions that are anything
	lag      time.Duration // of the primary's position, where it is no commit's
	replicas time.Duration // these lag by up to this
}

func newFleet(seed uint64, offset time.Duration) *fleet {
	return &fleet{
		rng: rand.New(rand.NewPCG(seed, 36)), now: epoch, offset: offset, commits: 0.2, reports: 0.4,
		skew: 3 * ms, replicas: 3 * time.Second,
	}
}

func (f *fleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most) + 1))
}

// sample is the next answer or report. One in ten takes long.
func (f *fleet) sample() Sample {
	f.now += f.upTo(30 * ms)
	there, back := f.upTo(10*ms), f.upTo(10*ms)
	if f.rng.IntN(10) == 0 {
		there += f.upTo(2 * time.Second)
	}
	s := Sample{Kind: Primary, Sent: f.now, Received: f.now + there + back}
	position := s.Sent + there + f.offset
	switch dice := f.rng.Float64(); {
	case dice < f.commits:
		s.Kind = Commit
	case dice < f.commits+f.reports:
		s.Kind = Reported
		position -= f.upTo(f.replicas)
	default:
		position -= f.lag
	}
	position += f.upTo(f.skew) - f.skew/2
	if f.rng.Float64() < f.spoilt {
		position = epoch + f.offset + time.Duration((f.rng.Float64()-0.5)*float64(4*time.Hour))
	}
	s.Position = position.Truncate(ms)
	f.now = max(f.now, s.Received-f.upTo(there+back))
	return s
}

// requireNear requires bounds that lie at the offset, within what answers take.
func requireNear(t *testing.T, offset time.Duration, b Bounds) {
	t.Helper()
	require.InDelta(t, float64(offset), float64(b.Latest), float64(100*ms))
	require.InDelta(t, float64(offset), float64(b.Earliest), float64(100*ms))
}

// With right clocks, whatever answers take and however they are rounded, the offset is exactly zero and no sample is
// held to be wrong.
func TestRightClocks(t *testing.T) {
	for seed := range uint64(10) {
		f, e := newFleet(seed, 0), &Estimator{}
		for n := range 3000 {
			require.False(t, e.Add(f.sample()), "seed %d, sample %d", seed, n)
			require.Zero(t, e.Bounds())
			require.Zero(t, e.Dissent())
		}
	}
}

// A process whose clock is wrong finds the offset from a few answers. From then on, and while it is not known, what it
// takes it for is on the safe side: data no younger than it is, processes no longer up than they are.
func TestWrongClocks(t *testing.T) {
	offsets := []time.Duration{time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second, 300 * ms, -300 * ms}
	for _, offset := range offsets {
		for _, spoilt := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(offset, " spoilt ", spoilt), func(t *testing.T) {
				for seed := range uint64(4) {
					f, e := newFleet(seed, offset), &Estimator{}
					f.spoilt = spoilt
					found := 0
					for n := range 1000 {
						e.Add(f.sample())
						if b := e.Bounds(); b != (Bounds{}) && b.Latest != Unknown {
							found = max(found, 1)
							require.LessOrEqual(t, b.Earliest, offset, "seed %d, sample %d", seed, n)
							require.GreaterOrEqual(t, b.Latest, min(offset, 0), "seed %d, sample %d", seed, n)
							if offset > 0 {
								require.GreaterOrEqual(t, b.Latest, offset, "seed %d, sample %d", seed, n)
							}
						}
						if n > 200 {
							require.Positive(t, found, "seed %d", seed)
							requireNear(t, offset, e.Bounds())
						}
					}
				}
			})
		}
	}
}

// Positions that are spoilt, an eighth of them, move nothing while others show that the clocks are right.
func TestSpoiltPositions(t *testing.T) {
	for seed := range uint64(10) {
		f, e := newFleet(seed, 0), &Estimator{}
		for range 40 {
			e.Add(f.sample())
		}
		f.spoilt = 0.12
		for n := range 2000 {
			e.Add(f.sample())
			require.Zero(t, e.Bounds(), "seed %d, sample %d", seed, n)
		}
	}
}

// One wild value moves nothing, whenever it comes.
func TestOneWildValue(t *testing.T) {
	for _, wild := range []time.Duration{-epoch + 1, -time.Hour, -300 * ms, 300 * ms, time.Hour, 1000 * time.Hour} {
		for _, kind := range []Kind{Reported, Primary, Commit} {
			for first := range 12 {
				f, e := newFleet(1, 0), &Estimator{}
				for n := range 60 {
					s := f.sample()
					if n == first {
						s.Kind, s.Position = kind, s.Position+wild
					}
					e.Add(s)
					require.Zero(t, e.Bounds(), "%v of kind %d at %d, sample %d", wild, kind, first, n)
				}
			}
		}
	}
}

// answer is a commit at a time by the databases' clock, of a write that was sent so long before and answered at once.
func answer(now, position, before time.Duration) Sample {
	return Sample{Kind: Commit, Position: position, Sent: now - before, Received: now}
}

// However many answers come, those that are kept are not all of one moment.
func TestAnswersThatComeFast(t *testing.T) {
	for _, every := range []time.Duration{10 * time.Microsecond, ms, 20 * ms} {
		e, now := &Estimator{}, epoch
		for now < epoch+2*minSpread {
			now += every
			e.Add(answer(now, now-time.Hour, 10*time.Microsecond))
		}
		require.InDelta(t, float64(-time.Hour), float64(e.Bounds().Latest), float64(10*ms), every)
	}
}

// Answers of one moment prove nothing, as a position that stands still agrees with itself for as long.
func TestAnswersOfOneMoment(t *testing.T) {
	e := &Estimator{}
	const pending = 90 * ms // all are out at once
	for n := range 5 {
		received := epoch + pending + time.Duration(n)*minSpacing
		e.Add(answer(received, epoch-time.Hour, received-epoch))
		require.Zero(t, e.Bounds())
	}
	e.Add(answer(epoch+3*minSpread, epoch+3*minSpread-time.Hour, ms))
	require.InDelta(t, float64(-time.Hour), float64(e.Bounds().Latest), float64(10*ms))
}

// Where answers take long, most fit a little error of the clock as well as none. One or two that fit only the error
// move nothing.
func TestFewNarrowAnswers(t *testing.T) {
	e, now := &Estimator{}, epoch
	add := func(n int, position, before time.Duration) {
		for range n {
			now += minSpread
			e.Add(answer(now, now+position, before))
		}
	}
	add(5, -500*ms, time.Second)
	add(quorum-1, -200*ms, 10*ms)
	require.Zero(t, e.Bounds())
	add(1, -200*ms, 10*ms)
	require.InDelta(t, float64(-195*ms), float64(e.Bounds().Latest), float64(10*ms))
}

// A primary whose position lags makes no data look younger than it is: neither one that stands still, nor one that is
// always so far behind, nor beside another that takes itself for the primary too.
func TestPrimariesThatLag(t *testing.T) {
	stale := func(f *fleet, stands bool) func() Sample {
		at := f.now - 5*time.Second
		return func() Sample {
			s := f.sample()
			s.Kind, s.Position = Primary, s.Position-5*time.Second
			if stands {
				s.Position = at
			}
			return s
		}
	}
	for name, c := range map[string]struct {
		commits, reports float64
		stands           bool
		zero             bool // others show that the clocks agree
		of               int  // each so many answers, one is of the primary that lags; 1: all are
	}{
		"stands still, alone":          {stands: true, of: 1},
		"stands still, beside another": {stands: true, commits: 0.2, reports: 0.3, zero: true, of: 2},
		"always behind, alone":         {of: 1},
		"always behind, with commits":  {commits: 0.4, of: 2},
		"always behind, with replicas": {reports: 1, zero: true, of: 2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				f, e := newFleet(seed, 0), &Estimator{}
				f.commits, f.reports, f.replicas = c.commits, c.reports, 500*ms
				lagging := stale(f, c.stands)
				for n := range 500 {
					if n%c.of == 0 {
						e.Add(lagging())
					} else {
						e.Add(f.sample())
					}
					require.GreaterOrEqual(t, e.Bounds().Latest, time.Duration(0), "seed %d, sample %d", seed, n)
					if c.zero && n > 20 {
						require.Zero(t, e.Bounds(), "seed %d, sample %d", seed, n)
					}
				}
			}
		})
	}
}

// Before the offset is known, positions ahead of the own clock that agree show that nothing may be taken for fresh.
func TestUnknown(t *testing.T) {
	e := &Estimator{}
	for n := range 3 {
		require.Zero(t, e.Bounds())
		position := epoch + time.Hour - time.Duration(n)*time.Second
		e.Add(Sample{Kind: Reported, Position: position, Sent: epoch, Received: epoch + ms})
	}
	require.Equal(t, Bounds{Latest: Unknown}, e.Bounds())
}

// The process stood still while its machine was suspended: what was known is given up for what comes.
func TestOffsetChanges(t *testing.T) {
	for _, offsets := range [][2]time.Duration{
		{0, time.Hour},
		{time.Hour, 0},
		{-time.Hour, 0},
		{2 * time.Second, -2 * time.Second},
	} {
		for seed := range uint64(20) {
			f, e := newFleet(seed, offsets[0]), &Estimator{}
			for range 500 {
				e.Add(f.sample())
			}
			f.offset = offsets[1]
			for range 200 {
				e.Add(f.sample())
			}
			requireNear(t, offsets[1], e.Bounds())
		}
	}
}

// What is kept is bounded, and the count of dissent is that of what is kept.
func TestWindowsAreBounded(t *testing.T) {
	f, e := newFleet(1, time.Hour), &Estimator{}
	f.spoilt = 0.5
	for range 2000 {
		e.Add(f.sample())
		dissent := 0
		for _, w := range e.windows {
			require.LessOrEqual(t, len(w.samples), windowSize)
			for _, i := range w.samples {
				if i.contradictsZero() {
					dissent++
				}
			}
		}
		require.Equal(t, dissent, e.Dissent())
	}
}

func TestInstant(t *testing.T) {
	require.Zero(t, Instant{}.By(time.Hour))
	require.Equal(t, 5*ms, Instant{Remote: 5 * ms}.By(time.Hour))
	require.Equal(t, time.Hour+5*ms, Instant{Own: 5 * ms}.By(time.Hour))
	both := Instant{Own: 5 * ms}.Later(Instant{Remote: 8 * ms})
	require.Equal(t, 8*ms, both.By(ms))
	require.Equal(t, 9*ms, both.By(4*ms))
}
