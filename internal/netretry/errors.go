// Package netretry carries network calls past failures that last for a moment: a listener whose Accept fails only once
// it is closed, calls at the start that are made again for a while, and what an error of a dial says about the peer.
package netretry

import (
	"errors"
	"slices"
	"syscall"
)

// ErrShortage wraps failures that are known to be a want of something on this machine where no errno says so.
var ErrShortage = errors.New("short of system resources")

// shortages are the errors by which Linux says that this machine lacks something: descriptors, memory, ports, watches.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR}

// unreachables are the errors by which Linux says that no packet gets from here to an address. They may be this
// machine's fault (a route, an interface, a firewall) or the other's, and may concern that address alone.
var unreachables = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EPERM, syscall.EACCES}

// IsShortage tells whether a call failed for want of something on this machine. It says nothing about any peer.
func IsShortage(err error) bool { return errors.Is(err, ErrShortage) || isOneOf(err, shortages) }

// IsUnreachable tells whether a call failed as no packet gets from here to the peer's address.
func IsUnreachable(err error) bool { return isOneOf(err, unreachables) }

// IsMomentary tells whether the same call may well succeed a moment later, without anything being done about it.
func IsMomentary(err error) bool { return IsShortage(err) || IsUnreachable(err) }

// Always takes every error for one that a further call may not meet.
func Always(error) bool { return true }

func isOneOf(err error, class []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(class, errno)
}
