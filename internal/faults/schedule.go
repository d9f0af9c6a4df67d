package faults

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Action is what a step of a schedule does.
type Action string

// The actions of a schedule.
const (
	Cut       Action = "cut"     // between Process and Peer, both directions
	OneWay    Action = "one way" // from Process to Peer only
	Lossy     Action = "lossy"   // between Process and Peer: loss, duplicates, reordering, delay
	Garble    Action = "garble"  // from Process to Peer: corrupted data
	Partition Action = "split"   // a partition between Sides
	Heal      Action = "heal"    // all links
	Kill      Action = "kill"    // Process
	Pause     Action = "pause"   // Process, until Resume
	Resume    Action = "resume"  // Process, which is paused
	Restart   Action = "restart" // Process, which was killed
)

// drawn are the actions that Plan draws from; their order is part of what a seed means.
var drawn = []Action{Cut, OneWay, Lossy, Garble, Partition, Heal, Kill, Pause, Resume, Restart}

// planStream separates the random numbers of Plan from others of the same seed.
const planStream = 0x5ced

// The impairments of the actions Lossy and Garble.
var (
	lossyLink = Link{
		Loss: 0.2, Twice: 0.1, Late: 0.1,
		Delay: time.Millisecond, Jitter: 5 * time.Millisecond,
	}
	garblingLink = Link{Flip: 0.2, Truncate: 0.1}
)

// Step is one fault, or the end of one. Which fields are set depends on the action.
type Step struct {
	What          Action
	Process, Peer string // names of processes
	Sides         [2][]string
}

// String describes the step, for the log of a network.
func (s Step) String() string {
	switch s.What {
	case Partition:
		return fmt.Sprintf("split %s | %s", strings.Join(s.Sides[0], " "), strings.Join(s.Sides[1], " "))
	case Heal:
		return "heal"
	case Kill, Pause, Resume, Restart:
		return fmt.Sprintf("%s %s", s.What, s.Process)
	default:
		return fmt.Sprintf("%s %s %s", s.What, s.Process, s.Peer)
	}
}

// Plan generates a schedule of faults for some processes from a seed. It has the given number of steps, and after them
// those that heal all links, and resume and restart all processes. Only running processes are killed or paused, only
// killed ones are restarted, and at least one process runs at any time.
func Plan(seed uint64, names []string, steps int) []Step {
	random := rand.New(rand.NewPCG(seed, planStream))
	state := newProcessStates()
	var plan []Step
	for len(plan) < steps {
		step, ok := drawStep(random, names, state)
		if ok && state.apply(step) {
			plan = append(plan, step)
		}
	}
	plan = append(plan, Step{What: Heal})
	return append(plan, state.recovery()...)
}

// drawStep draws a step, and returns false for one that is not wanted now.
func drawStep(random *rand.Rand, names []string, state processStates) (Step, bool) {
	step := Step{What: drawn[random.IntN(len(drawn))], Process: names[random.IntN(len(names))]}
	switch step.What {
	case Cut, OneWay, Lossy, Garble:
		step.Peer = names[random.IntN(len(names))]
		return step, step.Peer != step.Process
	case Partition:
		shuffled := slices.Clone(names)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		size := 1 + random.IntN(max(1, len(shuffled)-1))
		return Step{What: Partition, Sides: [2][]string{shuffled[:size], shuffled[size:]}}, true
	case Heal:
		return Step{What: Heal}, true
	case Kill, Pause:
		running := len(names) - len(state.killed) - len(state.paused)
		return step, running >= 2
	default:
		return step, true
	}
}

// processStates says which processes are killed or paused at a point of a schedule. A process is not both.
type processStates struct{ killed, paused map[string]bool }

func newProcessStates() processStates {
	return processStates{killed: map[string]bool{}, paused: map[string]bool{}}
}

// apply applies a step, and returns false for one that is impossible now.
func (p processStates) apply(step Step) bool {
	killed, paused := p.killed[step.Process], p.paused[step.Process]
	running := !killed && !paused
	switch {
	case step.What == Kill && running:
		p.killed[step.Process] = true
	case step.What == Pause && running:
		p.paused[step.Process] = true
	case step.What == Restart && killed:
		delete(p.killed, step.Process)
	case step.What == Resume && paused:
		delete(p.paused, step.Process)
	case step.What == Kill, step.What == Pause, step.What == Restart, step.What == Resume:
		return false
	}
	return true
}

// recovery returns the steps after which all processes run.
func (p processStates) recovery() (steps []Step) {
	for _, name := range slices.Sorted(maps.Keys(p.paused)) {
		steps = append(steps, Step{What: Resume, Process: name})
	}
	for _, name := range slices.Sorted(maps.Keys(p.killed)) {
		steps = append(steps, Step{What: Restart, Process: name})
	}
	return steps
}

// repair leaves out steps that are impossible, and adds those after which all processes run.
func repair(steps []Step) (plan []Step) {
	state := newProcessStates()
	for _, step := range steps {
		if state.apply(step) {
			plan = append(plan, step)
		}
	}
	return append(plan, state.recovery()...)
}

// Possible returns whether a schedule can be carried out: only running processes are killed or paused, only killed or
// paused ones are restarted or resumed, and all run at the end.
func Possible(plan []Step) bool { return len(repair(plan)) == len(plan) }

// Shrink reduces a failing schedule as long as it still fails, in at most the given number of attempts. It leaves out
// parts, larger ones first, and repairs the rest.
func Shrink(plan []Step, attempts int, fails func([]Step) bool) []Step {
	for size := len(plan) / 2; size > 0 && attempts > 0; {
		shrunk := false
		for at := 0; at+size <= len(plan) && attempts > 0; {
			rest := repair(slices.Concat(plan[:at], plan[at+size:]))
			if len(rest) >= len(plan) {
				at++
				continue
			}
			attempts--
			if !fails(rest) {
				at++
				continue
			}
			plan, shrunk = rest, true
		}
		if !shrunk || size > len(plan)/2 {
			size /= 2
		}
	}
	return plan
}

// Apply carries out a step that concerns links, and returns false for one that concerns a process.
func (n *Net) Apply(step Step) bool {
	switch step.What {
	case Cut:
		n.Both(step.Process, step.Peer, Link{Cut: true})
	case OneWay:
		n.Set(step.Process, step.Peer, Link{Cut: true})
	case Lossy:
		n.Both(step.Process, step.Peer, lossyLink)
	case Garble:
		n.Set(step.Process, step.Peer, garblingLink)
	case Partition:
		n.Partition(step.Sides[0], step.Sides[1])
	case Heal:
		n.Heal()
	default:
		return false
	}
	return true
}
