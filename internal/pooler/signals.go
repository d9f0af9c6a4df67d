package pooler

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are the received signals that have yet to be handled. Each kind has a channel of its own with capacity for
// one: of several that wait one is enough, and none takes the place of another kind.
type signals struct {
	stop, reload, logCounters chan os.Signal
}

// subscribeSignals catches the signals from now on.
func subscribeSignals() signals {
	received := signals{
		stop:        make(chan os.Signal, 1),
		reload:      make(chan os.Signal, 1),
		logCounters: make(chan os.Signal, 1),
	}
	signal.Notify(received.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(received.reload, syscall.SIGHUP)
	signal.Notify(received.logCounters, syscall.SIGUSR1)
	return received
}

// handleSignals handles signals as they arrive. The shutdown does not wait for a reload in progress, and a second
// signal to stop changes nothing.
func (p *Pooler) handleSignals(received signals) {
	go func() {
		<-received.stop
		p.loop.Do(p.shutDown)
	}()
	for {
		select {
		case <-received.logCounters:
			p.loop.Do(func() { p.logCounters("counters") })
		case <-received.reload:
			p.reload()
		}
	}
}
