// Package pending bounds how many requests wait at a pooler that have not been sent to any database. Each of them
// occupies a connection, and clients have a limited number of connections. Without the bound, the writes that wait
// while a group has no primary would leave no connections for requests that can be served. The package is pure: it uses
// no clock and does no I/O.
package pending

import "slices"

// slack is how many more elements that have left may remain in Queue.order than elements wait.
const slack = 64

// Queue contains the waiting elements in the order of their arrival. The zero value is empty.
type Queue[T comparable] struct {
	order   []T // oldest first, including some elements that have left
	waiting map[T]struct{}
}

// Enter appends an element.
func (q *Queue[T]) Enter(element T) {
	if q.waiting == nil {
		q.waiting = map[T]struct{}{}
	}
	q.waiting[element] = struct{}{}
	q.order = append(q.order, element)
}

// Leave removes an element that has been sent or has ended. It has no effect on an element that is not in the queue.
// Elements that have left are dropped from the order once there are many, and do not accumulate behind one that stays.
func (q *Queue[T]) Leave(element T) {
	delete(q.waiting, element)
	if len(q.order) <= 2*len(q.waiting)+slack {
		return
	}
	q.order = slices.DeleteFunc(q.order, func(stored T) bool { return !q.waits(stored) })
}

func (q *Queue[T]) waits(element T) bool {
	_, waits := q.waiting[element]
	return waits
}

// Slots returns the number of stored elements, including those that have left. It is at most slack more than twice the
// number of waiting elements.
func (q *Queue[T]) Slots() int { return len(q.order) }

// Len returns the number of waiting elements.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// RemoveOver removes and returns elements until no more than limit wait. Those with the greatest cost come first, and
// among equal ones that which has waited longest: it is the nearest to its deadline, and newer ones are more likely to
// be answered in time.
func (q *Queue[T]) RemoveOver(limit int, compareCost func(a, b T) int) []T {
	excess := len(q.waiting) - limit
	if excess <= 0 {
		return nil
	}
	q.order = slices.DeleteFunc(q.order, func(stored T) bool { return !q.waits(stored) })
	ranked := slices.Clone(q.order)
	slices.SortStableFunc(ranked, func(a, b T) int { return compareCost(b, a) })
	removed := ranked[:excess]
	for _, element := range removed {
		delete(q.waiting, element)
	}
	q.order = slices.DeleteFunc(q.order, func(stored T) bool { return !q.waits(stored) })
	return removed
}
