// Package fdshare divides the file descriptors that a machine grants to a pooler among the pooler's processes, of which
// there are several during an upgrade. ComputeQuota is a pure function that computes the quota of a process. Member
// applies the quota and exchanges claims with the other processes through files in a common directory.
package fdshare

import "capercove/internal/clock"

// Claim is what a process publishes about itself. It is stored as JSON.
type Claim struct {
	// JoinedUnixNano is when the process joined, as Unix time in nanoseconds. It orders two processes whose Joined
	// cannot be compared.
	JoinedUnixNano int64 `json:"Born"`
	// InUse is the number of its open descriptors.
	InUse int `json:"Uses"`
	// Quota is the number of descriptors that it may have open.
	Quota int `json:"Takes"`
	// ShuttingDown means that the process shuts down: it accepts no new work and releases its quota as it drains.
	ShuttingDown bool `json:"Leaving"`
	// Joined is when the process joined. Claims of older versions lack it.
	Joined clock.Stamp `json:"Joined"`
}

const (
	// reserveDivisor divides the grant to give the reserve for the process that starts next.
	reserveDivisor = 8
	// drainDivisor divides the grant to give the descriptors that a process that shuts down may open beyond those in
	// use, to finish the requests that it has accepted.
	drainDivisor = 16
)

// younger reports whether the process of the claim joined after the process of other. If one of the two is of an older
// version, which has no Joined, JoinedUnixNano decides, as in that version. Otherwise both processes could rank
// themselves as the younger, or as the older, and disagree on which process has to release descriptors.
func (c Claim) younger(other Claim) bool {
	if c.Joined.Boot != "" && c.Joined.Boot == other.Joined.Boot {
		return c.Joined.SinceBoot > other.Joined.SinceBoot
	}
	return c.JoinedUnixNano > other.JoinedUnixNano
}

// ComputeQuota returns how many descriptors a process may have open, out of the grant to all processes of the pooler.
//
// The youngest process takes over: it gets the descriptors that the others do not claim, up to the grant less a
// reserve. The reserve is for a process that starts while another process hangs. An older process keeps the
// descriptors in use and as many as the reserve in addition; a process that shuts down keeps fewer in addition. No
// process has to close a descriptor in use, and no process gets more than the others have released.
//
// All processes together stay within the grant if each reads the others' claims and writes its own in one atomic step,
// and opens no more descriptors than it claims. This is true even if processes die or stop between two steps.
func ComputeQuota(grant int, own Claim, others []Claim) int {
	free, want := grant, grant-grant/reserveDivisor
	for _, other := range others {
		free -= other.Quota
		if other.younger(own) {
			want = min(want, own.InUse+grant/reserveDivisor)
		}
	}
	if own.ShuttingDown {
		want = min(want, own.InUse+grant/drainDivisor)
	}
	return max(min(want, free), min(own.Quota, own.InUse))
}
