package server

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"capercove/internal/netretry"
)

// accepted marks a client's connection that is yet to be taken in.
type accepted struct {
	opened bool // the loop watches it; set before gnet says that it has it
}

// Accept begins to take clients in. An address that cannot be listened on ends Run; once it is listened on, no accept
// does.
func (d *EventLoop) Accept() {
	d.accepting.Add(1)
	go func() {
		defer d.accepting.Done()
		err := netretry.Within(d.limits.StartRetry, d.backoff, netretry.IsMomentary, d.listen)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.failed <- fmt.Errorf("listen: %w", err)
			return
		}
		for range d.limits.Accepting { // Each waits for the loop: a few at once, as each holds three descriptors.
			d.accepting.Add(1)
			go d.acceptOn()
		}
	}()
}

// acceptOn accepts until the listener is closed.
func (d *EventLoop) acceptOn() {
	defer d.accepting.Done()
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.takeIn(c.(*net.TCPConn))
	}
}

// AcceptsFailed is how many accepts have failed, and how many connections could not be taken in at the first try.
func (d *EventLoop) AcceptsFailed() int64 { return d.accepts.Count() }

// takeIn gives a connection to the loop. Once accepted it is owed an answer, and gnet closes what it can not take, as
// while descriptors are short: a duplicate is held until it has been taken.
func (d *EventLoop) takeIn(c *net.TCPConn) {
	held, err := d.duplicate(c)
	if err != nil {
		c.Close()
		return
	}
	err = d.enroll(c)
	if err == nil {
		unix.Close(held)
		return
	}
	d.accepts.Note(err)
	file := os.NewFile(uintptr(held), "client")
	defer file.Close()
	again := func() error { return d.enrollFile(file) }
	if err := netretry.Within(d.limits.Startup, d.backoff, netretry.Always, again); err != nil {
		d.log.Error().Err(err).Msg("a client's connection is given up")
	}
}

// duplicate returns a second descriptor of a connection, as soon as there is one.
func (d *EventLoop) duplicate(c *net.TCPConn) (fd int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = netretry.Within(d.limits.Startup, d.backoff, netretry.IsShortage, func() (err error) {
		failed := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) })
		if err = errors.Join(failed, err); err != nil {
			d.accepts.Note(err)
		}
		return err
	})
	return fd, err
}

// enroll gives a connection to gnet, which closes this descriptor of it and has one of its own.
func (d *EventLoop) enroll(c net.Conn) error {
	a := &accepted{}
	if _, err := d.client.EnrollContext(c, a); err != nil {
		return err
	}
	if !a.opened {
		return errUnwatched
	}
	return nil
}

func (d *EventLoop) enrollFile(file *os.File) error {
	c, err := net.FileConn(file)
	if err != nil {
		return err
	}
	return d.enroll(c)
}

// Refuse stops to accept, and calls then on the loop when all that was accepted is on it. What is not accepted by then
// is left to whom else the listener belongs to.
func (d *EventLoop) Refuse(then func()) {
	go func() {
		d.listener.Close() // It waits for an accept that is under way; the loop must not.
		d.accepting.Wait()
		d.Do(then)
	}()
}
