package pooler

import "time"

// shutdownCheckTicks is how often a shutdown looks whether it can go on, in ticks of the timer wheel.
const shutdownCheckTicks = 4

// shutdown is a graceful shutdown in progress, on the event loop. Its phases follow each other:
//
//  1. During the linger time requests are served as before: in a rolling restart, the pooler that was restarted before
//     this one may not be back yet, and clients whose connections are closed could not connect to any.
//  2. While draining, accepted requests are finished, and each client's connection is closed between requests.
//  3. When all are answered, or the time is nearly over, the shutdown is ending: no request is accepted, open ones
//     fail, and clients get time to read their answers. Changes of the exclusions are written to disk or left for
//     the next process.
//
// The times are those in force when it began, whatever is reloaded since.
type shutdown struct {
	pooler   *Pooler
	drainAt  time.Duration // the linger time ends
	deadline time.Duration // the program ends, whatever is open

	draining, ending bool
	refusing         bool // no further connection is accepted
}

// shutDown begins the graceful shutdown, which stops the event loop at its end.
func (p *Pooler) shutDown() {
	p.log.Info().Int("open", p.core.OpenRequests()).Msg("stopping")
	close(p.stopping)
	p.core.Stopping()
	if p.peers != nil {
		p.peers.AnnounceStop()
	}
	begun, bounds := p.core.Now(), p.limits.Shutdown
	s := &shutdown{pooler: p, drainAt: begun + bounds.DrainDelay, deadline: begun + bounds.Timeout}
	if p.sharedListener { // other processes accept: clients that this one has not accepted are theirs, at once
		s.drainAt = s.deadline
		p.loop.StopAccepting(func() { s.drainAt, s.refusing = begun, true })
	}
	s.check()
}

// check enters the next phase when it is time. It schedules itself until the event loop is stopped.
func (s *shutdown) check() {
	p, now := s.pooler, s.pooler.core.Now()
	if !s.draining && now >= s.drainAt {
		s.drain()
	}
	if !s.ending && (now >= s.deadline-p.limits.Shutdown.AnswerMargin || s.answered()) {
		s.end()
	}
	if now >= s.deadline || s.finished() {
		p.loop.Stop()
		return
	}
	p.core.Wheel.Schedule(now+shutdownCheckTicks*p.limits.Shutdown.TimerTick, s.check)
}

// drain closes clients' connections between requests.
func (s *shutdown) drain() {
	s.draining = true
	s.pooler.front.Drain()
	if s.pooler.flight != nil {
		go s.pooler.flight.Stop()
	}
}

// end accepts no more requests and fails the open ones.
func (s *shutdown) end() {
	s.ending = true
	s.pooler.front.Stop(s.pooler.core.AnswerAll)
	if !s.pooler.sharedListener {
		s.pooler.loop.StopAccepting(func() { s.refusing = true })
	}
}

// answered reports whether all accepted requests are answered.
func (s *shutdown) answered() bool {
	p := s.pooler
	return s.draining && p.core.OpenRequests() == 0 && p.front.AllAnswered() && s.flightStopped()
}

// finished reports whether the program can end before its deadline.
func (s *shutdown) finished() bool {
	p := s.pooler
	return s.ending && s.refusing && s.flightStopped() && p.front.AllClosed() && p.exclusions.SafeToExit()
}

func (s *shutdown) flightStopped() bool {
	return s.pooler.flight == nil || s.pooler.flight.Stopped()
}
