// Package pending bounds how many requests wait at a pooler without having been sent anywhere. Each keeps its caller's
// connection, of which callers have only so many: while a group has no primary, the writes that wait for one would
// leave none for requests that can be served. It is pure: no clock, no I/O.
package pending

import "slices"

const few = 64 // places that may be wasted

// Queue holds what waits, in the order in which it came. The zero value is empty.
type Queue[T comparable] struct {
	order []T
	waits map[T]struct{}
}

// Enter adds one.
func (q *Queue[T]) Enter(one T) {
	if q.waits == nil {
		q.waits = map[T]struct{}{}
	}
	q.waits[one] = struct{}{}
	q.order = append(q.order, one)
}

// Leave takes one out that has been sent or is over; one that is not there is no error.
func (q *Queue[T]) Leave(one T) {
	delete(q.waits, one)
	if len(q.order) <= 2*len(q.waits)+few {
		return
	}
	// Against places of those that have left, behind one that stays.
	q.order = slices.DeleteFunc(q.order, func(one T) bool { _, waits := q.waits[one]; return !waits })
}

// Kept is how many places the queue takes up: at most some more than twice those that wait.
func (q *Queue[T]) Kept() int { return len(q.order) }

// Len is how many wait.
func (q *Queue[T]) Len() int { return len(q.waits) }

// Over takes out and returns the one that has waited longest, if more than most wait. That one is given up first: the newest
// may still be answered within the time that it is wanted in, and those that were there before it are the nearest to
// being given up anyway.
func (q *Queue[T]) Over(most int) (one T, over bool) {
	if len(q.waits) <= most {
		return one, false
	}
	for {
		one, q.order = q.order[0], q.order[1:]
		if _, waits := q.waits[one]; waits {
			q.Leave(one)
			return one, true
		}
	}
}
