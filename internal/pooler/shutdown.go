package pooler

import ()

// stop ends the program. For a while it serves as ever: in a rolling restart the one before may not be back yet, and
// clients sent away would find nobody. Then it finishes what was taken and closes each client between requests. When all is
// answered, or the time is nearly up, it takes nothing more, fails what is open, and waits for the clients to read their answers, and
// for the operators' bans to be on disk or left for the next process. The
// times are those of the moment in which it was told to end, whatever is reloaded since.
func (p *program) stop() {
	p.log.Info().Int("open", p.core.Open()).Msg("stopping")
	close(p.stops)
	p.core.Stopping()
	if p.peers != nil {
		p.peers.Stopping()
	}
	begun, linger := p.core.Now(), p.limits.Linger
	by := begun + p.limits.Stop
	draining, ending, refusing := false, false, false
	if p.shared { // Others accept: whom this process has not taken in is theirs, at once.
		linger = p.limits.Stop
		p.loop.Refuse(func() { linger, refusing = 0, true })
	}
	var check func()
	check = func() {
		now := p.core.Now()
		if !draining && now >= begun+linger {
			draining = true
			p.front.Drain()
			if p.flight != nil {
				go p.flight.Stop()
			}
		}
		flightDone := p.flight == nil || p.flight.Stopped()
		if !ending && (now >= by-p.limits.StopLeaving || draining && p.core.Open() == 0 && p.front.Idle() && flightDone) {
			ending = true
			p.front.Stop(p.core.AnswerAll)
			if !p.shared {
				p.loop.Refuse(func() { refusing = true })
			}
		}
		if now >= by || ending && refusing && flightDone && p.front.ClientsGone() && p.bans.Settled() {
			p.loop.Stop()
			return
		}
		p.core.Wheel.At(now+4*p.limits.Tick, check)
	}
	check()
}
