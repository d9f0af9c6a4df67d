package eventloop

import (
	"context"
	"errors"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// pausedFileName is the name of the os.File of a paused connection. It appears in error messages.
const pausedFileName = "paused client"

// Paused is a connection that is not read: its bytes wait in the kernel, and TCP slows the peer down. gnet cannot stop
// reading, so the connection is removed from gnet, and Resume hands it over again. A Paused must be used on the loop.
type Paused struct {
	descriptor int // a duplicate that keeps the connection open
	loop       gnet.EventLoop
}

// ResumableSocket is the Socket of a connection that can be paused.
type ResumableSocket interface {
	DialedSocket
	// ResumeFailed is called instead of Opened if Resume fails. The connection is still paused.
	ResumeFailed(err error)
}

// Pause stops the reading of a connection. Its Socket gets no further call. gnet's output buffer must be empty, as it
// would be lost: the owner writes by WriteNow. After an error the connection is as before.
func Pause(connection gnet.Conn) (*Paused, error) {
	descriptor, err := connection.Dup()
	if err != nil {
		return nil, err
	}
	paused := &Paused{descriptor: descriptor, loop: connection.EventLoop()}
	connection.SetContext(nil)
	CloseNow(connection)
	return paused, nil
}

// Resume begins to hand the connection over to the loop. When that is done, the loop calls the socket's Opened, and the
// owner must call Close. Until then the connection is still paused.
func (paused *Paused) Resume(socket ResumableSocket) error {
	connection, err := paused.duplicate()
	if err != nil {
		return err
	}
	pending := &enrollment{dialed: socket}
	result, err := paused.loop.Enroll(gnet.NewContext(context.Background(), pending), connection)
	if err != nil {
		return errors.Join(err, connection.Close())
	}
	go func() {
		err := (<-result).Err
		if err == nil {
			err = pending.result()
		}
		if err == nil {
			return
		}
		// It fails only when the loop ends.
		_ = paused.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			socket.ResumeFailed(err)
			return nil
		}))
	}()
	return nil
}

// duplicate returns the connection with a descriptor of its own.
func (paused *Paused) duplicate() (net.Conn, error) {
	descriptor, err := unix.FcntlInt(uintptr(paused.descriptor), unix.F_DUPFD_CLOEXEC, lowestDescriptor)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), pausedFileName)
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}

// Descriptor returns a descriptor of the connection. It may be written to.
func (paused *Paused) Descriptor() int { return paused.descriptor }

// Close releases the descriptor. The connection is closed if it has not been resumed.
func (paused *Paused) Close() { _ = unix.Close(paused.descriptor) }
