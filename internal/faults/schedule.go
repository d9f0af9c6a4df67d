package faults

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// What is done in one step of a schedule.
type What string

const (
	Cut     What = "cut"     // both ways between One and Other
	OneWay  What = "one way" // from One to Other alone
	Lossy   What = "lossy"   // between them: loss, doubles, late ones, delay
	Garble  What = "garble"  // from One to Other
	Split   What = "split"   // Sides
	Healed  What = "heal"    // all links
	Kill    What = "kill"    // One
	Pause   What = "pause"   // One, until Resume
	Resume  What = "resume"
	Restart What = "restart" // One, which was killed
)

// Step is one fault, or the end of one.
type Step struct {
	What       What
	One, Other string
	Sides      [2][]string
}

func (s Step) String() string {
	switch s.What {
	case Split:
		return fmt.Sprintf("split %s | %s", strings.Join(s.Sides[0], " "), strings.Join(s.Sides[1], " "))
	case Healed:
		return "heal"
	case Kill, Pause, Resume, Restart:
		return fmt.Sprintf("%s %s", s.What, s.One)
	default:
		return fmt.Sprintf("%s %s %s", s.What, s.One, s.Other)
	}
}

// Plan draws a schedule of so many steps over the processes. It can be carried out: only what runs is killed or paused, only
// what was killed is restarted; at the end all is healed, resumed and restarted. At least one process runs at any time.
func Plan(seed uint64, names []string, steps int) (plan []Step) {
	random := rand.New(rand.NewPCG(seed, 0x5ced))
	r := newRun()
	for len(plan) < steps {
		step := Step{What: []What{Cut, OneWay, Lossy, Garble, Split, Healed, Kill, Pause, Resume, Restart}[random.IntN(10)],
			One: names[random.IntN(len(names))]}
		switch step.What {
		case Cut, OneWay, Lossy, Garble:
			if step.Other = names[random.IntN(len(names))]; step.Other == step.One {
				continue
			}
		case Split:
			sides := slices.Clone(names)
			random.Shuffle(len(sides), func(i, j int) { sides[i], sides[j] = sides[j], sides[i] })
			k := 1 + random.IntN(max(1, len(sides)-1))
			step = Step{What: Split, Sides: [2][]string{sides[:k], sides[k:]}}
		case Healed:
			step = Step{What: Healed}
		case Kill, Pause:
			if len(names)-len(r.down)-len(r.paused) < 2 {
				continue
			}
		}
		if r.step(step) {
			plan = append(plan, step)
		}
	}
	return append(append(plan, Step{What: Healed}), r.finish()...)
}

// run keeps who of the processes is down or paused in the course of a schedule.
type run struct{ down, paused map[string]bool }

func newRun() run { return run{map[string]bool{}, map[string]bool{}} }

// step takes a step, and returns false for one that cannot be carried out now.
func (r run) step(s Step) bool {
	down, paused := r.down[s.One], r.paused[s.One]
	switch {
	case (s.What == Kill || s.What == Pause) && (down || paused), s.What == Resume && !paused, s.What == Restart && !down:
		return false
	case s.What == Kill:
		r.down[s.One] = true
	case s.What == Pause:
		r.paused[s.One] = true
	case s.What == Restart:
		delete(r.down, s.One)
	case s.What == Resume:
		delete(r.paused, s.One)
	}
	return true
}

// finish is what makes all run again.
func (r run) finish() (end []Step) {
	for _, name := range slices.Sorted(maps.Keys(r.paused)) {
		end = append(end, Step{What: Resume, One: name})
	}
	for _, name := range slices.Sorted(maps.Keys(r.down)) {
		end = append(end, Step{What: Restart, One: name})
	}
	return end
}

// mend leaves out of some steps those that cannot be carried out any more, and adds what then makes the processes whole.
func mend(steps []Step) (plan []Step) {
	r := newRun()
	for _, s := range steps {
		if r.step(s) {
			plan = append(plan, s)
		}
	}
	return append(plan, r.finish()...)
}

// Possible tells whether a schedule can be carried out: only what runs is killed or paused, only what was is restarted or
// resumed, and all run at the end.
func Possible(plan []Step) bool { return len(mend(plan)) == len(plan) }

// Shrink makes a failing schedule smaller as long as it still fails, in at most so many tries: parts are left out, larger
// ones first, and what it takes to make all whole again is added anew.
func Shrink(plan []Step, tries int, fails func([]Step) bool) []Step {
	for size := len(plan) / 2; size > 0 && tries > 0; {
		smaller := false
		for at := 0; at+size <= len(plan) && tries > 0; {
			rest := mend(slices.Concat(plan[:at], plan[at+size:]))
			if len(rest) >= len(plan) {
				at++
				continue
			}
			if tries--; fails(rest) {
				plan, smaller = rest, true
				continue
			}
			at++
		}
		if !smaller || size > len(plan)/2 {
			size /= 2
		}
	}
	return plan
}

// Apply carries out the steps that are of links; it returns false for those that are of processes.
func (n *Net) Apply(s Step) bool {
	switch s.What {
	case Cut:
		n.Both(s.One, s.Other, Link{Cut: true})
	case OneWay:
		n.Set(s.One, s.Other, Link{Cut: true})
	case Lossy:
		n.Both(s.One, s.Other, Link{Loss: 0.2, Twice: 0.1, Late: 0.1, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
	case Garble:
		n.Set(s.One, s.Other, Link{Flip: 0.2, Truncate: 0.1})
	case Split:
		n.Partition(s.Sides[0], s.Sides[1])
	case Healed:
		n.Heal()
	default:
		return false
	}
	return true
}
