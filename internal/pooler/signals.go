package pooler

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are those that are waited for. Each kind has a place of its own: of several that have yet to be looked at one is enough,
// and none takes the place of another.
type signals struct{ end, reload, print chan os.Signal }

func notify() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	return s
}

// follow does what the signals say. The end does not wait for a reload that is under way, and a second one changes nothing.
func (p *program) follow(s signals) {
	go func() {
		<-s.end
		p.loop.Do(p.stop)
	}()
	for {
		select {
		case <-s.print:
			p.loop.Do(func() { p.counters("counters") })
		case <-s.reload:
			p.reload()
		}
	}
}
