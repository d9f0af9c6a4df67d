package sim

import (
	"container/heap"
	"time"
)

// event is a scheduled callback.
type event struct {
	at       time.Duration // since the Unix epoch
	sequence uint64        // orders events of the same time by when they were scheduled
	callback func()
}

// eventHeap implements heap.Interface: the earliest event is at index 0.
type eventHeap []event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventHeap) Push(added any) { *events = append(*events, added.(event)) }

func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	(*events)[last] = event{} // so that the callback can be collected
	*events = (*events)[:last]
	return removed
}

// eventQueue is a priority queue of events by time.
type eventQueue struct {
	events       eventHeap
	lastSequence uint64
}

// push adds a callback that is due at a time.
func (queue *eventQueue) push(at time.Duration, callback func()) {
	queue.lastSequence++
	heap.Push(&queue.events, event{at: at, sequence: queue.lastSequence, callback: callback})
}

// next returns when the earliest event is due, and false if there is none.
func (queue *eventQueue) next() (at time.Duration, ok bool) {
	if len(queue.events) == 0 {
		return 0, false
	}
	return queue.events[0].at, true
}

// pop removes the earliest event. The queue must not be empty.
func (queue *eventQueue) pop() event { return heap.Pop(&queue.events).(event) }
