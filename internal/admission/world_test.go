package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// world is a door before databases of a number of cores, in virtual time. What is let in waits for a core and then
// takes its work. It checks as it goes that every offer ends exactly once.
type world struct {
	t       *testing.T
	d       *Controller
	now     time.Duration
	cores   int
	queue   []*job // let in, waiting for a core
	running []*job
	jobs    map[uint64]*job
	last    uint64
	events  []Event
	rng     *rand.Rand
	most    int // queued at once
}

type job struct {
	id       uint64
	offer    Offer
	work     time.Duration
	at       time.Duration // offered
	in, ends time.Duration
	state    jobState
	after    time.Duration
	done     func(*job)
}

type jobState uint8

const (
	waits jobState = iota
	runs
	served
	refused
	left
)

func settings(weights ...float64) Settings {
	s := Settings{Classes: []Class{{Name: "read", Aim: 300 * ms}, {Name: "report", Aim: 5 * time.Second},
		{Name: "write", Aim: time.Second, Primary: true}}, Tolerance: 1.3, MaxRetryAfter: 2 * time.Second,
		Bounds: Bounds{Queue: 512, Lanes: 8, Promises: 1024, LimitMin: 2, LimitMax: 1000}}
	for i, w := range weights {
		s.Tenants = append(s.Tenants, Tenant{Name: string(rune('a' + i)), Weight: w})
	}
	return s
}

func newWorld(t *testing.T, cores int, s Settings) *world {
	return &world{t: t, d: New(s, 7), now: time.Hour, cores: cores, jobs: map[uint64]*job{}, rng: rand.New(rand.NewPCG(1, 2))}
}

// ask offers a request; done, if any, is called when it ends.
func (w *world) ask(tenant, class int, client uint64, work time.Duration, done func(*job)) *job {
	w.last++
	expires := 4 * w.d.set.Classes[class].Aim
	j := &job{id: w.last, offer: Offer{Tenant: tenant, Class: class, Client: client, Expires: expires}, work: work, at: w.now, done: done}
	w.jobs[j.id] = j
	w.events = append(w.events, Event{Kind: Offered, Request: j.id, Offer: j.offer})
	return j
}

func (w *world) leave(j *job) {
	if j.state == waits {
		w.end(j, left)
		w.events = append(w.events, Event{Kind: Left, Request: j.id})
	}
}

// step hands over what has come and carries out what is decided.
func (w *world) step() {
	events := w.events
	w.events = nil
	gone := map[uint64]bool{}
	for _, e := range events {
		gone[e.Request] = gone[e.Request] || e.Kind == Left
	}
	for _, a := range w.d.Step(w.now, events, nil) {
		j := w.jobs[a.Request]
		if gone[a.Request] { // refused in the batch that brought the client's leave too
			require.NotEqual(w.t, Admit, a.Kind)
			continue
		}
		switch a.Kind {
		case Admit:
			require.Equal(w.t, waits, j.state, "admitted twice, or after its end")
			j.state, j.in = runs, w.now
			w.queue = append(w.queue, j)
		case Refuse:
			require.Equal(w.t, waits, j.state, "refused twice, or after its end")
			require.LessOrEqual(w.t, a.After, w.d.set.MaxRetryAfter)
			j.after = a.After
			w.end(j, refused)
		}
	}
	w.most = max(w.most, w.d.queued)
}

func (w *world) end(j *job, s jobState) {
	j.state = s
	delete(w.jobs, j.id)
	if j.done != nil {
		j.done(j)
	}
}

// run lets time pass, a millisecond at a time or, if batch is longer, in batches as after pauses. Each millisecond each
// is called.
func (w *world) run(long, batch time.Duration, each func()) {
	for end := w.now + long; w.now < end; {
		w.now += ms
		if each != nil {
			each()
		}
		kept := w.running[:0]
		for _, j := range w.running {
			if j.ends > w.now {
				kept = append(kept, j)
				continue
			}
			w.events = append(w.events, Event{Kind: Ended, Request: j.id, Outcome: Outcome{Ran: true, Took: w.now - j.in}})
			w.end(j, served)
		}
		w.running = kept
		if w.now%max(batch, ms) == 0 {
			w.step()
		}
		for len(w.queue) > 0 && len(w.running) < w.cores {
			j := w.queue[0]
			w.queue = w.queue[1:]
			j.ends = w.now + j.work
			w.running = append(w.running, j)
		}
	}
}

// settle lets all that is open end, and checks that nothing of it is left behind.
func (w *world) settle() {
	w.run(20*time.Second, ms, nil)
	require.Empty(w.t, w.jobs, "every offer ends")
	require.Zero(w.t, w.d.queued)
	require.Empty(w.t, w.d.at)
	c := w.d.Count
	require.Equal(w.t, c.Offered, c.Admitted+c.Left+c.TooLate+c.NoRoom+c.Capped+c.Gone+c.Overtook)
	for _, l := range w.d.lanes {
		require.Zero(w.t, l.queued)
		require.Zero(w.t, l.inside)
		require.Zero(w.t, l.backlog)
		require.Empty(w.t, l.active)
		for _, p := range l.pairs {
			if p != nil {
				require.Zero(w.t, p.queued)
				require.Zero(w.t, p.inside)
				require.Empty(w.t, p.active[short])
				require.Empty(w.t, p.active[long])
			}
		}
	}
}

// every calls f at a rate a second, by chance.
func (w *world) every(rate float64, f func()) {
	for n := rate / 1000; n > 0; n-- {
		if w.rng.Float64() < n {
			f()
		}
	}
}

// tally counts how requests ended.
type tally struct {
	asked, served, inTime, refused int
	work                           time.Duration // served
}

func (y *tally) note(w *world) func(*job) {
	y.asked++
	return func(j *job) {
		if j.state == served {
			y.served++
			y.work += j.work
			if w.now-j.at <= w.d.set.Classes[j.offer.Class].Aim {
				y.inTime++
			}
		} else {
			y.refused++
		}
	}
}

func (y *tally) share() float64 { return float64(y.inTime) / float64(max(1, y.asked)) }
