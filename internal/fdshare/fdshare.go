// Package fdshare divides the descriptors that a machine grants among the processes of one pooler that stand beside
// each other, as at an upgrade. Part decides and is pure; Beside carries it out through files in a directory that
// all of them see.
package fdshare

import "capercove/internal/clock"

// Claim is what one process says of itself.
type Claim struct {
	Born    int64       // when it joined, as Unix time in ns; decides only beside a process that tells no Joined
	Uses    int         // descriptors open
	Takes   int         // descriptors that it may open, all told
	Leaving bool        // it takes nothing new, and gives back as it empties
	Joined  clock.Stamp // when it joined; older versions do not tell it
}

const (
	spare  = 8  // one in so many of the grant is left to a process that is yet to come
	finish = 16 // one in so many of the grant: what a leaving process may add to finish what it has taken
)

// younger tells whether the process of a claim joined after the other's. Where one of the two is of a version that
// tells no Joined, both go by Born: that version does so too, and two that disagree would each wait for the other to
// give back.
func (c Claim) younger(other Claim) bool {
	if c.Joined.Boot != "" && c.Joined.Boot == other.Joined.Boot {
		return c.Joined.SinceBoot > other.Joined.SinceBoot
	}
	return c.Born > other.Born
}

// Part is how many descriptors a process may have open beside others, of a grant for all of them. The youngest takes
// over, so what the others do not use is its own, but for the spare part: one that starts while another hangs has
// room at once. An elder keeps what it uses and as much as the spare part beyond it, one that leaves less. Nobody
// gives back what it uses, and nobody takes more than the others have given back: as long as each looks at the
// others' claims and writes its own in one step, and opens no more than it claims, all stay within the grant,
// whatever dies or stops between two steps.
func Part(grant int, own Claim, others []Claim) int {
	free, want := grant, grant-grant/spare
	for _, o := range others {
		free -= o.Takes
		if o.younger(own) {
			want = min(want, own.Uses+grant/spare)
		}
	}
	if own.Leaving {
		want = min(want, own.Uses+grant/finish)
	}
	return max(min(want, free), min(own.Takes, own.Uses))
}
