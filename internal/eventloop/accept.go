package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"

	"capercove/internal/netretry"
)

// clientFileName is the name of the os.File of a client's duplicated descriptor. It appears in error messages.
const clientFileName = "client"

// lowestDescriptor is the least number that a duplicated descriptor may get: any free number will do.
const lowestDescriptor = 0

// Accept begins to accept clients in new goroutines. It does not block and may be called on the loop. If the address
// cannot be listened on, Run returns the error. Once the listener is open, failed accepts are retried and do not end
// Run.
func (l *Loop) Accept() {
	l.accepting.Add(1)
	go func() {
		defer l.accepting.Done()
		err := netretry.Retry(l.limits.StartTimeout, l.backoff, netretry.IsTransient, l.listen)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.listenFailed <- fmt.Errorf("listen: %w", err)
			return
		}
		for range l.limits.MaxAccepting {
			l.accepting.Add(1)
			go l.acceptUntilClosed()
		}
	}()
}

// StopAccepting closes the listener without blocking. It calls done on the loop when the loop serves every accepted
// connection or has dropped it. Connections that are not accepted yet are left to other processes that share the
// listening socket.
func (l *Loop) StopAccepting(done func()) {
	go func() {
		// Close waits for accepts in progress, and the loop must not block. Its error is ignored, since the listener
		// is not used again.
		_ = l.listener.Close()
		l.accepting.Wait()
		l.Do(done)
	}()
}

// AcceptsFailed returns the number of failed accepts plus the number of failed attempts to hand an accepted connection
// over to the loop. It may be called from any goroutine.
func (l *Loop) AcceptsFailed() int64 { return l.acceptFailures.Count() }

// acceptUntilClosed accepts connections one at a time until the listener is closed.
func (l *Loop) acceptUntilClosed() {
	defer l.accepting.Done()
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.enrollAccepted(connection.(*net.TCPConn))
	}
}

// enrollAccepted hands an accepted connection over to the loop, and waits until the loop serves it. gnet closes the
// descriptor of a connection that it cannot enroll, for instance while descriptors are short, but the client of an
// accepted connection must get an answer. A duplicate of the descriptor therefore stays open until the loop serves the
// connection. If the first descriptor cannot be enrolled, the duplicate is enrolled instead.
func (l *Loop) enrollAccepted(connection *net.TCPConn) {
	descriptor, err := l.duplicate(connection)
	if err != nil {
		_ = connection.Close() // the connection is dropped
		return
	}
	err = l.enroll(connection)
	if err == nil {
		_ = unix.Close(descriptor) // the loop has its own duplicate
		return
	}
	l.acceptFailures.Note(err)
	l.enrollDuplicate(descriptor)
}

// enrollDuplicate hands a connection over to the loop by its duplicated descriptor, and closes that descriptor. It
// retries until AcceptRetryTimeout has passed.
func (l *Loop) enrollDuplicate(descriptor int) {
	file := os.NewFile(uintptr(descriptor), clientFileName)
	defer func() { _ = file.Close() }() // the loop has its own duplicate, or the connection is dropped
	enroll := func() error { return l.enrollFile(file) }
	if err := netretry.Retry(l.limits.AcceptRetryTimeout, l.backoff, netretry.Always, enroll); err != nil {
		l.log.Error().Err(err).Msg("accept: client connection dropped")
	}
}

// duplicate returns a new descriptor of a connection, which the caller has to close. While descriptors are short, it
// retries until AcceptRetryTimeout has passed.
func (l *Loop) duplicate(connection *net.TCPConn) (descriptor int, err error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = netretry.Retry(l.limits.AcceptRetryTimeout, l.backoff, netretry.IsShortage, func() error {
		var duplicateErr error
		controlErr := raw.Control(func(original uintptr) {
			descriptor, duplicateErr = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, lowestDescriptor)
		})
		err := errors.Join(controlErr, duplicateErr)
		if err != nil {
			l.acceptFailures.Note(err)
		}
		return err
	})
	return descriptor, err
}

// enroll hands a client's connection over to gnet, which duplicates its descriptor and closes the original. It blocks
// until the loop serves the connection or the enrollment fails.
func (l *Loop) enroll(connection net.Conn) error {
	pending := &enrollment{}
	if _, err := l.client.EnrollContext(connection, pending); err != nil {
		return err
	}
	return pending.result()
}

// enrollFile is like enroll for a connection that is given as a file. The file stays open.
func (l *Loop) enrollFile(file *os.File) error {
	connection, err := net.FileConn(file)
	if err != nil {
		return err
	}
	return l.enroll(connection)
}
