package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/routing"
)

// A program that is stopped before it is ready must not start to accept clients.
func TestNeverReadyOnceStopping(t *testing.T) {
	for name, stopping := range map[string]bool{"running": false, "stopping": true} {
		t.Run(name, func(t *testing.T) {
			readyCalls := 0
			harness := newStartingHarness(func() { readyCalls++ })
			harness.pass(50 * time.Millisecond)
			require.Zero(t, readyCalls)
			if stopping {
				harness.core.Stopping()
			}
			harness.pass(5 * time.Second)
			require.Equal(t, stopping, readyCalls == 0)
		})
	}
}

// When the program exits, requests that were never sent are rejected, since another pooler may serve them. Requests
// that may have run fail. Each gets one answer.
func TestAnswerAllRejectsRequestsNeverSent(t *testing.T) {
	harness := newHarness()
	sent, waiting := &client{}, &client{}
	harness.submitFirst(t, harness.request("a", sent))
	harness.core.Submit(harness.request("b", waiting))
	harness.core.AnswerAll()
	harness.core.Flush()
	require.Equal(t, []string{"failed"}, sent.answers)
	require.Equal(t, []string{"rejected"}, waiting.answers)
	late := &client{} // for example a call that was accepted earlier and reaches the core only now
	harness.core.Submit(harness.request("c", late))
	require.Equal(t, []string{"rejected"}, late.answers)
	harness.core.Flush()
	require.Len(t, harness.sent, 1, "nothing is sent after AnswerAll")
	require.Zero(t, harness.core.OpenRequests())
}

// knownMembers returns the number of members with IDs below 20,000.
func (h *harness) knownMembers() (known int) {
	for id := routing.NodeID(1); id < 20_000; id++ {
		if h.core.HasMember(id) {
			known++
		}
	}
	return known
}

// Databases that have been gone for a long time are evicted, and watchers are notified; an evicted database that is
// listed again is used again. A list adds members only up to the bound; the entries left out are counted.
func TestGoneMembersAreEvictedAndMembersAreBounded(t *testing.T) {
	harness := newHarness()
	for id := routing.NodeID(10); id < 200; id++ {
		harness.now += time.Minute
		harness.core.UpdateMembers([]core.Member{newMember(id, routing.Gone), newMember(id+1, routing.Ready)})
		harness.core.Flush()
	}
	known := harness.knownMembers()
	require.LessOrEqual(t, known, 3+1+11)
	require.Equal(t, 3+191, known+len(harness.forgotten), "each listed database is known or was evicted")
	harness.core.ReplaceMembers([]core.Member{newMember(10, routing.Ready)})
	harness.core.Flush()
	attempt := harness.submitFirst(t, harness.request("x", &client{}))
	require.Equal(t, routing.NodeID(10), attempt.Member.ID)

	const bound = 4096
	var list []core.Member
	for id := routing.NodeID(1000); id < 10_000; id++ {
		list = append(list, newMember(id, routing.Ready))
	}
	before := harness.knownMembers()
	harness.core.UpdateMembers(list)
	harness.core.Flush()
	require.Equal(t, bound, harness.knownMembers())
	require.EqualValues(t, before+len(list)-bound, harness.core.Counters().Unlisted)
}
