package rig

import (
	"fmt"
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
	down, paused := map[string]bool{}, map[string]bool{}
	for len(plan) < steps {
		one := names[random.IntN(len(names))]
		other := names[random.IntN(len(names))]
		what := []What{Cut, OneWay, Lossy, Garble, Split, Healed, Kill, Pause, Resume, Restart}[random.IntN(10)]
		runs := len(names) - len(down) - len(paused)
		step := Step{What: what, One: one}
		switch what {
		case Cut, OneWay, Lossy, Garble:
			if one == other {
				continue
			}
			step.Other = other
		case Split:
			sides := slices.Clone(names)
			random.Shuffle(len(sides), func(i, j int) { sides[i], sides[j] = sides[j], sides[i] })
			k := 1 + random.IntN(max(1, len(sides)-1))
			step = Step{What: Split, Sides: [2][]string{sides[:k], sides[k:]}}
		case Healed:
			step = Step{What: Healed}
		case Kill, Pause:
			if down[one] || paused[one] || runs < 2 {
				continue
			}
			map[What]map[string]bool{Kill: down, Pause: paused}[what][one] = true
		case Resume:
			if !paused[one] {
				continue
			}
			delete(paused, one)
		case Restart:
			if !down[one] {
				continue
			}
			delete(down, one)
		}
		plan = append(plan, step)
	}
	return append(plan, finish(plan)...)
}

// finish is what makes all whole after some steps.
func finish(plan []Step) (end []Step) {
	down, paused := map[string]bool{}, map[string]bool{}
	for _, s := range plan {
		switch s.What {
		case Kill:
			down[s.One] = true
		case Pause:
			paused[s.One] = true
		case Restart:
			delete(down, s.One)
		case Resume:
			delete(paused, s.One)
		}
	}
	end = []Step{{What: Healed}}
	for _, what := range []What{Resume, Restart} {
		var names []string
		for name := range map[What]map[string]bool{Resume: paused, Restart: down}[what] {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			end = append(end, Step{What: what, One: name})
		}
	}
	return end
}

// mend leaves out of some steps those that cannot be carried out any more, and adds what then makes the processes whole.
func mend(steps []Step) (plan []Step) {
	down, paused := map[string]bool{}, map[string]bool{}
	for _, s := range steps {
		switch {
		case (s.What == Kill || s.What == Pause) && (down[s.One] || paused[s.One]),
			s.What == Resume && !paused[s.One], s.What == Restart && !down[s.One]:
			continue
		}
		switch s.What {
		case Kill:
			down[s.One] = true
		case Pause:
			paused[s.One] = true
		case Resume:
			delete(paused, s.One)
		case Restart:
			delete(down, s.One)
		}
		plan = append(plan, s)
	}
	return append(plan, finish(plan)[1:]...)
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
