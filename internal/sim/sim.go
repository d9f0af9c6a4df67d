// Package sim runs calls at their times, in order: in virtual time, where a day takes as long as its calls, or by the
// clock. What is built on a Loop runs in both unchanged.
package sim

import (
	"container/heap"
	"time"
)

// Loop runs calls one after another. All its methods belong to the goroutine that runs them.
type Loop interface {
	// Now is the time since the Unix epoch, as databases tell their positions.
	Now() time.Duration
	// At runs a call at a time, or next if that has passed. Calls for one time run in the order in which they were made.
	At(at time.Duration, call func())
}

// event is a call that is due.
type event struct {
	at   time.Duration
	turn uint64 // of the calls for one time
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Virtual is a Loop whose time passes only from call to call.
type Virtual struct {
	now    time.Duration
	turn   uint64
	events events
}

// NewVirtual returns a loop at a time.
func NewVirtual(now time.Duration) *Virtual { return &Virtual{now: now} }

func (v *Virtual) Now() time.Duration { return v.now }

func (v *Virtual) At(at time.Duration, call func()) {
	v.turn++
	heap.Push(&v.events, event{max(at, v.now), v.turn, call})
}

// Run runs all calls up to a time, which it is then.
func (v *Virtual) Run(until time.Duration) {
	for len(v.events) > 0 && v.events[0].at <= until {
		e := heap.Pop(&v.events).(event)
		v.now = e.at
		e.call()
	}
	v.now = max(v.now, until)
}

// Clock is a Loop by the clock, on a goroutine of its own.
type Clock struct {
	start  time.Time
	epoch  time.Duration
	events events
	turn   uint64
	calls  chan func()
	stop   chan struct{}
	done   chan struct{}
	Late   time.Duration // the latest that a call has run behind its time; the loop's
}

// NewClock returns a loop that runs until Stop.
func NewClock() *Clock {
	now := time.Now()
	c := &Clock{start: now, epoch: time.Duration(now.UnixNano()), calls: make(chan func(), 4096), stop: make(chan struct{}),
		done: make(chan struct{})}
	go c.run()
	return c
}

// Now may be called from anywhere.
func (c *Clock) Now() time.Duration { return c.epoch + time.Since(c.start) }

func (c *Clock) At(at time.Duration, call func()) {
	c.turn++
	heap.Push(&c.events, event{at, c.turn, call})
}

// Do runs a call on the loop, from any goroutine. After Stop it is dropped, and Do returns false.
func (c *Clock) Do(call func()) bool {
	select {
	case <-c.stop:
		return false
	default:
	}
	select {
	case c.calls <- call:
		return true
	case <-c.stop:
		return false
	}
}

// Wait runs a call on the loop and returns when it has run, or when the loop has ended.
func (c *Clock) Wait(call func()) {
	ran := make(chan struct{})
	if !c.Do(func() { call(); close(ran) }) {
		return
	}
	select {
	case <-ran:
	case <-c.done:
	}
}

// Stop ends the loop and waits for the call that runs.
func (c *Clock) Stop() {
	close(c.stop)
	<-c.done
}

func (c *Clock) run() {
	defer close(c.done)
	timer := time.NewTimer(time.Hour)
	for {
		wait := time.Hour
		if len(c.events) > 0 {
			wait = c.events[0].at - c.Now()
		}
		if wait <= 0 {
			e := heap.Pop(&c.events).(event)
			c.Late = max(c.Late, -wait)
			e.call()
			select {
			case <-c.stop:
				return
			default:
				continue
			}
		}
		timer.Reset(wait)
		select {
		case <-c.stop:
			return
		case call := <-c.calls:
			call()
		case <-timer.C:
		}
	}
}
