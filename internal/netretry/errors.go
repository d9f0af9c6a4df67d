// Package netretry handles transient failures of network calls. It provides a listener whose Accept fails only after
// Close, and retries with exponential backoff. It also classifies errors as a shortage on this machine or as an
// unreachable peer.
package netretry

import (
	"errors"
	"slices"
	"syscall"
)

// ErrShortage is wrapped by errors without an errno that a shortage of system resources on this machine causes.
var ErrShortage = errors.New("short of system resources")

// shortages are the errnos by which Linux reports a lack of descriptors, memory, ports or watches on this machine.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR,
}

// unreachables are the errnos by which Linux reports that no packet can be sent to an address. The cause may be on this
// machine (a route, an interface, a firewall) or elsewhere. It may affect only that address.
var unreachables = []syscall.Errno{
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EPERM, syscall.EACCES,
}

// IsShortage reports whether a call failed because this machine lacks a resource. Such an error says nothing about the
// peer.
func IsShortage(err error) bool { return errors.Is(err, ErrShortage) || isOneOf(err, shortages) }

// IsUnreachable reports whether a call failed because no packet can be sent to the peer's address.
func IsUnreachable(err error) bool { return isOneOf(err, unreachables) }

// IsMomentary reports whether an error is transient: the same call may succeed a moment later without intervention.
func IsMomentary(err error) bool { return IsShortage(err) || IsUnreachable(err) }

// Always returns true. It is the condition of Within for calls that are retried after any error.
func Always(error) bool { return true }

// isOneOf reports whether an error wraps one of the errnos.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
